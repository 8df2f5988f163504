package scheduler

import "time"

// unarchivedIntent is a committed intent of a call that must not run twice. It
// is sent once the log holds it, so that a group rebuilt from the log knows that
// the call may have run. The wait is bounded: work goes on without the log.
type unarchivedIntent struct {
	run   RunKey
	index uint64
	since time.Duration
}

// sendArchived sends a call whose intent has just been applied, a call that is
// not repeatable once its intent is archived.
func (host *host) sendArchived(live *liveCall) {
	home := host.core.homes[host.number]
	index := host.replica.CommittedIndex()
	waits := host.core.config.ArchiveIntents > 0 &&
		!live.call.Accepted().Repeatable &&
		home != nil && !home.logSlow &&
		host.replica.ArchivedIndex() < index
	if !waits {
		host.send(live)
		return
	}
	host.unarchived = append(host.unarchived, unarchivedIntent{run: live.run(), index: index, since: host.core.now})
	host.core.archiveEntries(host, home)
}

// sendNowArchived sends what the log holds by now.
func (host *host) sendNowArchived(home *home) {
	archived := host.replica.ArchivedIndex()
	host.releaseIntents(func(intent unarchivedIntent) bool { return intent.index <= archived })
	if len(host.unarchived) > 0 {
		host.core.archiveEntries(host, home)
	}
}

// sendOverdue sends what has waited for too long. From then on nothing waits
// until the log has answered again.
func (host *host) sendOverdue(home *home) {
	bound := host.core.config.ArchiveIntents
	host.releaseIntents(func(intent unarchivedIntent) bool {
		overdue := host.core.now-intent.since >= bound
		home.logSlow = home.logSlow || overdue
		return overdue
	})
}

func (host *host) releaseIntents(ready func(unarchivedIntent) bool) {
	if len(host.unarchived) == 0 {
		return
	}
	waiting := host.unarchived
	host.unarchived = nil
	for _, intent := range waiting {
		if !ready(intent) {
			host.unarchived = append(host.unarchived, intent)
			continue
		}
		live := host.calls[callID{program: intent.run.Program, requestID: intent.run.RequestID}]
		if live != nil && live.run() == intent.run && live.phase == phaseIntending {
			host.send(live)
		}
	}
}
