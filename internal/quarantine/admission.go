package quarantine

import (
	"slices"
	"time"
)

const (
	// suspectContentEnds is the number of engines that ended one after another under the same content of
	// several programs, from which one attempt with it is under way at a time. Programs with equal content
	// are common, and one end is shared by all that an engine runs.
	suspectContentEnds = MaxLosses - 1
	// minContentPrograms is the number of programs from which ends count against a content that they share.
	// A single program's ends count against its own request.
	minContentPrograms = 2
)

// Verdict says whether a request may be sent to an engine.
type Verdict int

// Verdicts.
const (
	// Admitted: the request may be sent.
	Admitted Verdict = iota
	// Held: it may be sent once other attempts with it are known to have ended well.
	Held
	// Quarantined: too many engines have ended under it.
	Quarantined
)

// contentEnd is an engine that ended under a content.
type contentEnd struct {
	at      time.Time
	request Fingerprint
	engine  EngineLife
}

// contentEnds returns the engines that ended one after another under a content, latest first. Each attempt
// began after the end before: engines that end together for another reason count as one. Ends after an
// answer do not count: programs with the same content have been answered at most engines a short while ago.
// The caller holds the mutex.
func (tracker *Tracker) contentEnds(content Fingerprint, now time.Time) []contentEnd {
	if (content == Fingerprint{}) {
		return nil
	}
	losses := slices.DeleteFunc(slices.Clone(tracker.byContent[content]), func(loss *Loss) bool {
		return !loss.Counts() || loss.Cause == Answered || tracker.requests[loss.Request].expired(now)
	})
	slices.SortFunc(losses, func(left, right *Loss) int { return left.At.Compare(right.At) })
	var ends []contentEnd
	for _, loss := range losses {
		counted := slices.ContainsFunc(ends, func(end contentEnd) bool { return end.engine == loss.Engine })
		if len(ends) == 0 || !counted && !loss.Began.Before(ends[0].at) {
			ends = slices.Insert(ends, 0, contentEnd{at: loss.At, request: loss.Request, engine: loss.Engine})
		}
	}
	return ends
}

// countedContentEnds returns the contentEnds that count against the content: those of several programs.
func (tracker *Tracker) countedContentEnds(content Fingerprint, now time.Time) []contentEnd {
	ends := tracker.contentEnds(content, now)
	var programs []Fingerprint
	for _, end := range ends {
		if !slices.Contains(programs, end.request) {
			programs = append(programs, end.request)
		}
	}
	if len(programs) < minContentPrograms {
		return nil
	}
	return ends
}

// contentLasts reports whether losses of a request are to outlive the loss of all nodes because of what it
// shares with other programs. The caller holds the mutex.
func (tracker *Tracker) contentLasts(held *request, now time.Time) bool {
	return slices.ContainsFunc(held.losses, func(loss *Loss) bool {
		return loss.Counts() && len(tracker.countedContentEnds(loss.Content, now)) >= suspectContentEnds
	})
}

// Count returns how many engines have ended under a request, or under its content if those are more.
func (tracker *Tracker) Count(identity Identity, now time.Time) int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return max(tracker.count(identity.Request, now), len(tracker.countedContentEnds(identity.Content, now)))
}

// QuarantinedFor returns for how long a request must not be sent to an engine, 0 if it may be.
func (tracker *Tracker) QuarantinedFor(identity Identity, now time.Time) time.Duration {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.quarantinedFor(identity, now)
}

// quarantinedFor is QuarantinedFor. The caller holds the mutex.
func (tracker *Tracker) quarantinedFor(identity Identity, now time.Time) time.Duration {
	return max(tracker.requestQuarantine(identity.Request, now), tracker.contentQuarantine(identity.Content, now))
}

// requestQuarantine returns for how long a request is quarantined for the ends under it alone. The caller
// holds the mutex.
func (tracker *Tracker) requestQuarantine(request Fingerprint, now time.Time) time.Duration {
	return remaining(quarantineEnd(tracker.endings(request, now)), now)
}

// contentQuarantine returns for how long a content is quarantined over all programs. The caller holds the
// mutex.
func (tracker *Tracker) contentQuarantine(content Fingerprint, now time.Time) time.Duration {
	var times []time.Time
	for _, end := range tracker.countedContentEnds(content, now) {
		times = append(times, end.at)
	}
	return remaining(quarantineEnd(times), now)
}

func remaining(end, now time.Time) time.Duration {
	if end.IsZero() {
		return 0
	}
	return max(end.Sub(now), 0)
}

// RetryAfter returns when a quarantined or held request may be tried again: soon, while what holds it may
// yet be refuted.
func (tracker *Tracker) RetryAfter(identity Identity, now time.Time) time.Duration {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	quarantined := tracker.quarantinedFor(identity, now)
	endings := tracker.endings(identity.Request, now)
	switch {
	case quarantined == 0:
		return max(tracker.firstSettled(identity.Request).Sub(now), refutationPeriod)
	case len(endings) == MaxLosses && now.Sub(endings[0]) < refutationPeriod:
		return refutationPeriod
	}
	return quarantined
}

// firstSettled returns when the first unfinished attempt of a request is to be over, the zero time if there
// is none. The caller holds the mutex.
func (tracker *Tracker) firstSettled(request Fingerprint) time.Time {
	var first time.Time
	held := tracker.requests[request]
	if held == nil {
		return first
	}
	for _, loss := range held.losses {
		if loss.Cause == Unfinished && !loss.Refuted && (first.IsZero() || loss.Settled.Before(first)) {
			first = loss.Settled
		}
	}
	return first
}

// IsSuspect reports whether an attempt of a request is announced to all nodes before it is sent: an engine
// has ended under the request, or several have under its content. That a caller has left is too weak a sign.
func (tracker *Tracker) IsSuspect(identity Identity, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.isSuspect(identity, now)
}

// isSuspect is IsSuspect. The caller holds the mutex.
func (tracker *Tracker) isSuspect(identity Identity, now time.Time) bool {
	held := tracker.requests[identity.Request]
	if held != nil && !held.expired(now) && slices.ContainsFunc(held.losses, func(loss *Loss) bool { return loss.Counts() && loss.Cause != Left }) {
		return true
	}
	return len(tracker.countedContentEnds(identity.Content, now)) >= suspectContentEnds
}

// Admit returns whether the attempt may be sent that announced is the Unfinished loss of. All attempts of a
// request that are not known to be finished could end their engines: with the engines that have ended
// already, there are no more than MaxLosses of them, and one at a time after a quarantine.
func (tracker *Tracker) Admit(announced Loss, now time.Time) Verdict {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.quarantinedFor(announced.Identity, now) > 0 {
		return Quarantined
	}
	ended := tracker.count(announced.Request, now)
	if ended+tracker.othersUnfinished(announced, now)+1 > max(MaxLosses, ended+1) {
		return Held
	}
	if tracker.sharesLastEngine(announced, ended, now) {
		return Held
	}
	if ends := tracker.countedContentEnds(announced.Content, now); len(ends) >= suspectContentEnds && tracker.contentUnfinished(announced, ends[0].at) {
		return Held
	}
	return Admitted
}

// sharesLastEngine reports whether an engine would run two suspects of which one is quarantined if the engine
// ends: the sound one of them would be refused with the other. ended is the number of engines that have ended
// under the announced request. The caller holds the mutex.
func (tracker *Tracker) sharesLastEngine(announced Loss, ended int, now time.Time) bool {
	return slices.ContainsFunc(tracker.byEngine[announced.Engine], func(loss *Loss) bool {
		if loss.Cause != Unfinished || loss.Request == announced.Request {
			return false
		}
		others := tracker.count(loss.Request, now)
		return ended > 0 && others > 0 && max(ended, others) >= MaxLosses-1
	})
}

// othersUnfinished returns the number of engines, without that of an attempt, at which the same request is
// unfinished and that have not ended under it. The caller holds the mutex.
func (tracker *Tracker) othersUnfinished(announced Loss, now time.Time) int {
	held := tracker.requests[announced.Request]
	if held == nil || held.expired(now) {
		return 0
	}
	unfinished := map[EngineLife]bool{}
	for _, loss := range held.losses {
		if loss.Cause == Unfinished && !loss.Refuted && loss.Engine != announced.Engine {
			unfinished[loss.Engine] = true
		}
	}
	for _, loss := range held.losses {
		if loss.Counts() {
			delete(unfinished, loss.Engine)
		}
	}
	return len(unfinished)
}

// contentUnfinished reports whether another attempt with the same content is unfinished that began after a time.
// The caller holds the mutex.
func (tracker *Tracker) contentUnfinished(announced Loss, after time.Time) bool {
	return slices.ContainsFunc(tracker.byContent[announced.Content], func(loss *Loss) bool {
		return loss.Cause == Unfinished && loss.ID != announced.ID && loss.Began.After(after)
	})
}

// Finish refutes the Unfinished losses of an attempt's request at its engine, and returns them.
func (tracker *Tracker) Finish(attempt Attempt) []Loss {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	held := tracker.requests[attempt.Request]
	if held == nil {
		return nil
	}
	return tracker.refuteAll(held.losses, func(loss *Loss) bool { return loss.Cause == Unfinished && loss.Engine == attempt.Engine })
}

// Knows reports whether any loss is known of an attempt's request at its engine that is not refuted.
func (tracker *Tracker) Knows(attempt Attempt) bool {
	return tracker.hasLoss(attempt, func(loss *Loss) bool { return !loss.Refuted })
}

// LostAt reports whether an attempt's request is known to have been lost with its engine.
func (tracker *Tracker) LostAt(attempt Attempt) bool {
	return tracker.hasLoss(attempt, func(loss *Loss) bool { return loss.Counts() && !loss.Cause.GivenUp() })
}

// hasLoss reports whether a loss of an attempt's request at its engine matches.
func (tracker *Tracker) hasLoss(attempt Attempt, matches func(loss *Loss) bool) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	held := tracker.requests[attempt.Request]
	return held != nil && slices.ContainsFunc(held.losses, func(loss *Loss) bool { return loss.Engine == attempt.Engine && matches(loss) })
}

// LostAs reports whether an attempt's request is known to have been lost with its engine for a cause.
func (tracker *Tracker) LostAs(attempt Attempt, cause Cause) bool {
	return tracker.hasLoss(attempt, func(loss *Loss) bool { return loss.Counts() && loss.Cause == cause })
}
