package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// MaxLosses is the number of engines that may end under one request. A single end says little:
	// all requests of a batch end with their engine. Three engines in a row are rarely shared by
	// chance.
	MaxLosses = 3
	// Lifetime is how long losses are held against their request, counted from the latest of them, and
	// how long a request is quarantined first. It exceeds the pauses after which callers and programs
	// come back with the same request, and ends so that a request that was blamed in error, or whose
	// engines have been repaired, can run again.
	Lifetime = 5 * time.Minute
	// maxQuarantine bounds the quarantine, which doubles with each further engine that ends.
	maxQuarantine = time.Hour
	// refutedLifetime is how long a request is remembered whose losses are all refuted, so that late
	// messages do not revive them.
	refutedLifetime = time.Minute
	// exchangeMargin is how long before they expire nodes stop comparing losses. They expire at
	// slightly different times at each node.
	exchangeMargin = 5 * time.Second
	// refutationPeriod is how long after a loss it is usually refuted, if its engine goes on: other
	// requests are answered there.
	refutationPeriod = time.Second
	// lastingAge is the age from which a single loss is to outlive the loss of all nodes. Most losses
	// whose engine goes on are refuted before.
	lastingAge = 500 * time.Millisecond
	// maxRequests bounds the requests that a node remembers, to some 2 MB. When a whole zone of
	// engines ends, requests with a single loss are forgotten first.
	maxRequests = 8192
	// evictedShare is the fraction of maxRequests that is forgotten at once when the bound is
	// reached.
	evictedShare = 0.125
	// maxLossesKept bounds the losses kept of one request. More than MaxLosses are kept because some are
	// refuted, and several nodes may hold the end of one engine against the request.
	maxLossesKept = 16
)

// request is what is held against one request.
type request struct {
	losses []*Loss
}

// latestLoss returns when the latest loss was, refuted or not.
func (request *request) latestLoss() time.Time {
	var latest time.Time
	for _, loss := range request.losses {
		if loss.At.After(latest) {
			latest = loss.At
		}
	}
	return latest
}

// find returns the loss with an ID, or nil.
func (request *request) find(id uint64) *Loss {
	for _, loss := range request.losses {
		if loss.ID == id {
			return loss
		}
	}
	return nil
}

// endings returns the times at which engines ended under the request, latest first. Of several losses
// at one engine, the latest counts.
func (request *request) endings() []time.Time {
	if len(request.losses) == 1 && request.losses[0].Counts() {
		return []time.Time{request.losses[0].At}
	}
	byEngine := map[EngineLife]time.Time{}
	for _, loss := range request.losses {
		if loss.Counts() && loss.At.After(byEngine[loss.Engine]) {
			byEngine[loss.Engine] = loss.At
		}
	}
	return slices.SortedFunc(maps.Values(byEngine), func(left, right time.Time) int { return right.Compare(left) })
}

// quarantineEnd returns until when a request is quarantined under which engines ended at these times,
// latest first. It is the zero time if there are too few.
func quarantineEnd(endings []time.Time) time.Time {
	if len(endings) < MaxLosses {
		return time.Time{}
	}
	duration := Lifetime
	for range len(endings) - MaxLosses {
		duration = min(2*duration, maxQuarantine)
	}
	return endings[0].Add(duration)
}

// expiry returns when the losses of the request no longer count. All of them count until then: a
// request may run for long before its engine ends, and after its quarantine one more end renews it.
func (request *request) expiry() time.Time {
	from, endings := request.latestLoss(), request.endings()
	if len(endings) == 0 && !request.isUnrefuted() {
		return from.Add(refutedLifetime)
	}
	if end := quarantineEnd(endings); end.After(from) {
		from = end
	}
	return from.Add(Lifetime)
}

// unrefuted returns the losses that are not refuted.
func (request *request) unrefuted() []Loss {
	var losses []Loss
	for _, loss := range request.losses {
		if !loss.Refuted {
			losses = append(losses, *loss)
		}
	}
	return losses
}

// spare returns the losses without which the same engines count as ended: refuted ones, or else further ones
// of an engine, or else unfinished ones. If there are none, it returns all.
func (request *request) spare() []*Loss {
	for _, isSpare := range []func(loss *Loss) bool{
		func(loss *Loss) bool { return loss.Refuted },
		request.isFurther,
		func(loss *Loss) bool { return loss.Cause == Unfinished },
	} {
		spare := slices.DeleteFunc(slices.Clone(request.losses), func(loss *Loss) bool { return !isSpare(loss) })
		if len(spare) > 0 {
			return spare
		}
	}
	return request.losses
}

// isFurther reports whether another loss holds the end of the same engine against the request.
func (request *request) isFurther(loss *Loss) bool {
	return loss.Counts() && slices.ContainsFunc(request.losses, func(other *Loss) bool {
		return other != loss && other.Engine == loss.Engine && other.Counts()
	})
}

// isUnrefuted reports whether any loss of the request is not refuted.
func (request *request) isUnrefuted() bool {
	return slices.ContainsFunc(request.losses, func(loss *Loss) bool { return !loss.Refuted })
}

// lasts reports whether the losses of the request are to outlive the loss of all nodes.
func (request *request) lasts(now time.Time) bool {
	if request.expired(now) {
		return false
	}
	return len(request.endings()) > 1 || request.lostBetween(time.Time{}, now.Add(-lastingAge))
}

// expired reports whether the losses of the request no longer count.
func (request *request) expired(now time.Time) bool { return now.After(request.expiry()) }

// exchanged reports whether nodes compare the losses of the request.
func (request *request) exchanged(now time.Time) bool {
	return now.Before(request.expiry().Add(-exchangeMargin))
}

// Tracker counts the engines that ended under each request. It is safe for concurrent use.
type Tracker struct {
	mutex    sync.Mutex
	requests map[Fingerprint]*request
	// byEngine holds the losses of each engine that are not refuted.
	byEngine map[EngineLife][]*Loss
	// byContent holds the losses of each content that are not refuted, over all programs.
	byContent map[Fingerprint][]*Loss
	// onQuarantine is called, without the mutex, when a request reaches MaxLosses; may be nil.
	onQuarantine func(Fingerprint)
}

// NewTracker returns an empty tracker. onQuarantine is called for each request that reaches
// MaxLosses; it may be nil.
func NewTracker(onQuarantine func(Fingerprint)) *Tracker {
	return &Tracker{requests: map[Fingerprint]*request{}, byEngine: map[EngineLife][]*Loss{}, byContent: map[Fingerprint][]*Loss{}, onQuarantine: onQuarantine}
}

// Empty reports whether nothing is held against any request.
func (tracker *Tracker) Empty() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return len(tracker.requests) == 0
}

// Merge adds losses of this node or of others, and returns those that were new or newly refuted.
// Merging the same losses again, or in another order, has the same result.
func (tracker *Tracker) Merge(losses []Loss, now time.Time) []Loss {
	news, quarantined := tracker.merge(losses, now)
	if tracker.onQuarantine != nil {
		for _, fingerprint := range quarantined {
			tracker.onQuarantine(fingerprint)
		}
	}
	return news
}

// merge returns the news, and the requests that are quarantined by them.
func (tracker *Tracker) merge(losses []Loss, now time.Time) (news []Loss, quarantined []Fingerprint) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, loss := range losses {
		requestBefore, contentBefore := tracker.requestQuarantine(loss.Request, now), tracker.contentQuarantine(loss.Content, now)
		if !tracker.mergeOne(loss, now) {
			continue
		}
		news = append(news, loss)
		if requestBefore <= 0 && tracker.requestQuarantine(loss.Request, now) > 0 {
			quarantined = append(quarantined, loss.Request)
		}
		if contentBefore <= 0 && tracker.contentQuarantine(loss.Content, now) > 0 {
			quarantined = append(quarantined, loss.Content)
		}
	}
	return news, quarantined
}

// mergeOne reports whether the loss was new or newly refuted. The caller holds the mutex.
func (tracker *Tracker) mergeOne(loss Loss, now time.Time) bool {
	if now.Sub(loss.At) > maxQuarantine+Lifetime {
		return false
	}
	held := tracker.requests[loss.Request]
	if held == nil {
		tracker.makeRoom(now)
		held = &request{}
		tracker.requests[loss.Request] = held
	}
	known := held.find(loss.ID)
	if known != nil {
		return loss.Refuted && tracker.refute(known)
	}
	if len(held.losses) >= maxLossesKept {
		tracker.dropOldest(held)
	}
	added := loss
	held.losses = append(held.losses, &added)
	if !added.Refuted {
		tracker.addToIndexes(&added)
	}
	return true
}

// addToIndexes adds a loss to its engine's list and its content's. The caller holds the mutex.
func (tracker *Tracker) addToIndexes(loss *Loss) {
	tracker.byEngine[loss.Engine] = append(tracker.byEngine[loss.Engine], loss)
	if loss.Content != (Fingerprint{}) {
		tracker.byContent[loss.Content] = append(tracker.byContent[loss.Content], loss)
	}
}

// refute marks a loss as refuted and reports whether it was not before. The caller holds the mutex.
func (tracker *Tracker) refute(loss *Loss) bool {
	if loss.Refuted {
		return false
	}
	loss.Refuted = true
	tracker.dropFromIndexes(loss)
	return true
}

// dropFromIndexes removes a loss from its engine's list and its content's. The caller holds the mutex.
func (tracker *Tracker) dropFromIndexes(loss *Loss) {
	dropFrom(tracker.byEngine, loss.Engine, loss)
	dropFrom(tracker.byContent, loss.Content, loss)
}

// dropFrom removes a loss from the list of a key, and the list if nothing is left.
func dropFrom[Key comparable](index map[Key][]*Loss, key Key, loss *Loss) {
	remaining := slices.DeleteFunc(index[key], func(other *Loss) bool { return other == loss })
	if len(remaining) == 0 {
		delete(index, key)
		return
	}
	index[key] = remaining
}

// dropOldest forgets a request's oldest loss, a spare one if there is any. The caller holds the mutex.
func (tracker *Tracker) dropOldest(held *request) {
	oldest := slices.MinFunc(held.spare(), func(left, right *Loss) int { return left.At.Compare(right.At) })
	tracker.dropFromIndexes(oldest)
	held.losses = slices.DeleteFunc(held.losses, func(other *Loss) bool { return other == oldest })
}

// EngineAnswered records that an engine answered an attempt that began at a time. It returns the
// losses that this refutes: the engine has not ended by then.
func (tracker *Tracker) EngineAnswered(engine EngineLife, began time.Time) []Loss {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.refuteAll(slices.Clone(tracker.byEngine[engine]), func(loss *Loss) bool { return began.After(loss.Settled) })
}

// RequestAnswered records that an engine answered a request completely at a time, and goes on. It returns
// the losses that this refutes: those of the request, and of its content under other programs.
func (tracker *Tracker) RequestAnswered(identity Identity, at time.Time) []Loss {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	losses := slices.Clone(tracker.byContent[identity.Content])
	if held := tracker.requests[identity.Request]; held != nil {
		losses = append(losses, held.losses...)
	}
	return tracker.refuteAll(losses, func(loss *Loss) bool { return at.After(loss.At) })
}

// ContentAnswered is RequestAnswered for the content under other programs alone.
func (tracker *Tracker) ContentAnswered(identity Identity, at time.Time) []Loss {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	losses := slices.Clone(tracker.byContent[identity.Content])
	return tracker.refuteAll(losses, func(loss *Loss) bool { return loss.Request != identity.Request && at.After(loss.At) })
}

// KnownToEnd reports whether an engine is known to have ended that counts as ended under a request: it ended
// after its answer, or isKnown says so. Otherwise connections to engines have ended, as far as is known.
func (tracker *Tracker) KnownToEnd(request Fingerprint, isKnown func(engine EngineLife) bool, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	held := tracker.requests[request]
	return held != nil && !held.expired(now) &&
		slices.ContainsFunc(held.losses, func(loss *Loss) bool { return loss.Counts() && (loss.Cause == Answered || isKnown(loss.Engine)) })
}

// Withdraw refutes a single loss, and returns it if it was not refuted before.
func (tracker *Tracker) Withdraw(loss Loss) []Loss {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	held := tracker.requests[loss.Request]
	if held == nil {
		return nil
	}
	return tracker.refuteAll(held.losses, func(other *Loss) bool { return other.ID == loss.ID })
}

// Release refutes all losses of the request whose fingerprint logs show as content, and returns them.
func (tracker *Tracker) Release(content string) []Loss {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var released []Loss
	for fingerprint, held := range tracker.requests {
		if fingerprint.String() == content {
			released = append(released, tracker.refuteAll(held.losses, func(*Loss) bool { return true })...)
		}
	}
	for fingerprint, losses := range tracker.byContent {
		if fingerprint.String() == content {
			released = append(released, tracker.refuteAll(slices.Clone(losses), func(*Loss) bool { return true })...)
		}
	}
	return released
}

// refuteAll refutes the losses that match and returns copies of them. The caller holds the mutex.
func (tracker *Tracker) refuteAll(losses []*Loss, matches func(loss *Loss) bool) []Loss {
	var refuted []Loss
	for _, loss := range losses {
		if matches(loss) && tracker.refute(loss) {
			refuted = append(refuted, *loss)
		}
	}
	return refuted
}

// count returns how many engines have ended under a request, as far as is known. The caller holds
// the mutex.
func (tracker *Tracker) count(fingerprint Fingerprint, now time.Time) int {
	return len(tracker.endings(fingerprint, now))
}

// endings returns the times at which engines ended under a request, latest first. The caller holds the
// mutex.
func (tracker *Tracker) endings(fingerprint Fingerprint, now time.Time) []time.Time {
	held := tracker.requests[fingerprint]
	if held == nil || held.expired(now) {
		return nil
	}
	return held.endings()
}

// Losses returns all losses that still count.
func (tracker *Tracker) Losses(now time.Time) []Loss {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var all []Loss
	for _, held := range tracker.requests {
		if held.expired(now) {
			continue
		}
		for _, loss := range held.losses {
			all = append(all, *loss)
		}
	}
	return all
}

// Unrefuted returns the losses of a request that are not refuted.
func (tracker *Tracker) Unrefuted(fingerprint Fingerprint, now time.Time) []Loss {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	held := tracker.requests[fingerprint]
	if held == nil || held.expired(now) {
		return nil
	}
	return held.unrefuted()
}

// Lasting returns the losses that count against each request and are to outlive the loss of all nodes:
// those of requests under which several engines ended, or one did lastingAge ago.
func (tracker *Tracker) Lasting(now time.Time) map[Fingerprint][]Loss {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	lasting := map[Fingerprint][]Loss{}
	for fingerprint, held := range tracker.requests {
		if held.lasts(now) || tracker.contentLasts(held, now) {
			lasting[fingerprint] = held.unrefuted()
		}
	}
	return lasting
}

// Expire forgets losses that no longer count.
func (tracker *Tracker) Expire(now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.expire(now)
}

// expire is Expire. The caller holds the mutex.
func (tracker *Tracker) expire(now time.Time) {
	for fingerprint, held := range tracker.requests {
		if held.expired(now) {
			tracker.forget(fingerprint)
		}
	}
}

// forget removes a request. The caller holds the mutex.
func (tracker *Tracker) forget(fingerprint Fingerprint) {
	for _, loss := range tracker.requests[fingerprint].losses {
		tracker.dropFromIndexes(loss)
	}
	delete(tracker.requests, fingerprint)
}

// makeRoom keeps the number of requests below maxRequests. The caller holds the mutex.
func (tracker *Tracker) makeRoom(now time.Time) {
	if len(tracker.requests) < maxRequests {
		return
	}
	tracker.expire(now)
	if len(tracker.requests) < maxRequests {
		return
	}
	order := make([]Fingerprint, 0, len(tracker.requests))
	for fingerprint := range tracker.requests {
		order = append(order, fingerprint)
	}
	slices.SortFunc(order, func(left, right Fingerprint) int {
		return compareForEviction(tracker.requests[left], tracker.requests[right])
	})
	for _, fingerprint := range order[:int(evictedShare*maxRequests)] {
		tracker.forget(fingerprint)
	}
}

// compareForEviction orders requests by the number of their losses, then by the time of the latest.
func compareForEviction(left, right *request) int {
	if len(left.losses) != len(right.losses) {
		return len(left.losses) - len(right.losses)
	}
	return left.latestLoss().Compare(right.latestLoss())
}
