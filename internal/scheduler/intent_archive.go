package scheduler

import "time"

// unarchivedIntent is the committed intent of a call that is not repeatable. The call is sent
// after the intent is archived, so that a group rebuilt from the log knows that the call may
// have run. The wait is bounded so that calls are still sent during a log outage.
type unarchivedIntent struct {
	run   RunKey
	index uint64
	since time.Duration
}

// sendWhenArchived sends a call whose intent is applied. A call that is not repeatable waits
// until its intent is archived.
func (host *host) sendWhenArchived(live *liveCall) {
	assignment := host.core.assignments[host.number]
	index := host.replica.CommittedIndex()
	waits := host.core.config.ArchiveIntents > 0 &&
		!live.call.Accepted().Repeatable &&
		assignment != nil && !assignment.logSlow &&
		host.replica.ArchivedIndex() < index
	if !waits {
		host.send(live)
		return
	}
	host.unarchived = append(host.unarchived, unarchivedIntent{run: live.run(), index: index, since: host.core.now})
	host.core.archiveEntries(host, assignment)
}

// sendArchivedIntents sends the calls whose intents are archived now.
func (host *host) sendArchivedIntents(assignment *assignment) {
	archived := host.replica.ArchivedIndex()
	host.releaseIntents(func(intent unarchivedIntent) bool { return intent.index <= archived })
	if len(host.unarchived) > 0 {
		host.core.archiveEntries(host, assignment)
	}
}

// sendOverdueIntents sends the calls that have waited for the configured maximum. After that,
// no call waits until the log has acknowledged an append.
func (host *host) sendOverdueIntents(assignment *assignment) {
	bound := host.core.config.ArchiveIntents
	host.releaseIntents(func(intent unarchivedIntent) bool {
		overdue := host.core.now-intent.since >= bound
		assignment.logSlow = assignment.logSlow || overdue
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
		if live != nil && live.run() == intent.run && live.phase == phaseCommittingIntent {
			host.send(live)
		}
	}
}
