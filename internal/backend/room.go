package backend

import (
	"math"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// queueShare of the slots is how many requests may stand in engines' queues, over a
	// service. Behind all slots, q requests of s slots cost q/s of a turn's time. A third
	// costs a third of a turn; turns are some three quarters of a program's ideal time, and
	// the strictest aims leave 0.3 of that as slack.
	queueShare = 1.0 / 3
	// bearableWait is how long a short request may stand in a queue in any case: half of the
	// shortest objective that callers name for one. Nodes know nothing newer of such requests
	// than a view that is several times as old as they take, and need the queues to make up
	// for it. mostQueueShare bounds what that makes of requests of few milliseconds: engines
	// with longer queues are not seen.
	bearableWait   = 40 * time.Millisecond
	mostQueueShare = 2.0
	// engineQueueShare is how much more a single engine may have by a view of all nodes. What
	// it shows of one engine is as old as the requests there: where nodes pass over engines
	// that are a little busier than the mean, all turn to the few others until the next view.
	// At 1.5 times the load of turns in the replay of TestOverloadDoesNotSustainItself,
	// engines served 0.80 of their capacity with nothing here, 0.89 with a third and 0.95
	// with two thirds, and no more with a longer queue.
	engineQueueShare = 2.0 / 3
	// assignedQueueShare is how much more still a turn may find whose line is kept on the
	// engine: about what it costs to read its prompt again elsewhere and to drive another one
	// out of memory there. A longer queue costs more, and the turn goes elsewhere or waits.
	assignedQueueShare = 1.0 / 3
	// shortestShown is the time below which requests are over before a view of them is heard,
	// which is some 0.2 s old. Nodes that go by such a view hold calls back at engines that
	// have become idle since; engines' own queues and refusals bound what is sent there.
	shortestShown = 50 * time.Millisecond
	// unboundedRoom stands for the room of an engine without a bound.
	unboundedRoom = 1 << 16
)

// othersAt is what the other nodes are thought to have at an engine.
type othersAt struct {
	requests float64
	known    bool
}

// estimateOthers works out what the other nodes have at each engine of a service.
//
// It answers a load in which all nodes see one view at once and would all turn to the
// engine that was idle when it was made. What a view shows of one engine fades with its
// age against how long a request takes: the requests it counted have ended since. What
// remains is the mean over the engines, by their slots. The caller holds the mutex.
func (directory *Directory) estimateOthers(service string, engines []*Engine, now time.Time) {
	requests, slots := 0.0, 0.0
	shows := feature.Enabled(feature.LoadBasedCapacity) && directory.viewShows(service)
	for _, engine := range engines {
		others, known := directory.load.RemoteEngine(engine.ID, now)
		engine.others = othersAt{requests: float64(others.Running), known: known && shows}
		requests += engine.others.requests
		slots += float64(max(engine.Slots, 1))
	}
	age, _ := directory.load.Age(now)
	shown := shownOf(age, directory.durations[service])
	for _, engine := range engines {
		mean := requests * float64(max(engine.Slots, 1)) / slots
		engine.others.requests = mean + shown*(engine.others.requests-mean)
		if !engine.others.known {
			engine.others.requests = 0
		}
	}
}

// viewShows tells whether a view of the load says anything of the requests of a service.
func (directory *Directory) viewShows(service string) bool {
	duration := directory.durations[service]
	return duration == 0 || duration >= shortestShown
}

// shownOf is the part of an engine's difference from the mean that a view of an age counts
// for, where requests take a time.
func shownOf(age, duration time.Duration) float64 {
	if duration == 0 {
		return 1
	}
	return math.Exp(-max(age, 0).Seconds() / duration.Seconds())
}

// under is the number of requests thought to be under way at an engine, over all nodes.
// The caller holds the mutex and has estimated the others.
func (engine *Engine) under() float64 { return engine.others.requests + float64(engine.running) }

// mostUnder is the number of requests that may be under way at an engine, 0 for no bound.
func (engine *Engine) mostUnder(share float64) float64 {
	if engine.Slots <= 0 {
		return 0
	}
	return float64(engine.Slots) + math.Ceil(share*float64(engine.Slots))
}

// toleratedShare is how much more of a queue than its service the engine may have. Where the
// view is unknown nothing else bounds the service.
func (engine *Engine) toleratedShare() float64 {
	if engine.others.known {
		return engineQueueShare
	}
	return 0
}

// queueShareOf is how much of a queue the requests of a service may find. The caller holds
// the mutex and has estimated the others.
func (directory *Directory) queueShareOf(service string, engines []*Engine) float64 {
	under, slots := 0.0, 0.0
	for _, engine := range engines {
		under += engine.under()
		slots += float64(engine.Slots)
	}
	duration := directory.durations[service].Seconds()
	if duration == 0 || slots == 0 {
		return queueShare
	}
	// What a request takes without a queue before it.
	alone := duration * min(1, slots/max(under, 1))
	return min(max(bearableWait.Seconds()/alone, queueShare), mostQueueShare)
}

// roomFor is how many more requests an engine has room for within a share of queue.
func (engine *Engine) roomFor(share float64, now time.Time) float64 {
	room := float64(unboundedRoom)
	if most := engine.mostUnder(share); most > 0 {
		room = most - engine.under()
	}
	if most := engine.limit.inForce(now); most > 0 && feature.Enabled(feature.EngineLimits) {
		room = min(room, most-float64(engine.running))
	}
	return max(math.Floor(room+roundingSlack), 0)
}

// roundingSlack keeps a whole number of requests whole.
const roundingSlack = 1e-6

// hasRoom admits engines with room for one more request by what is known of all nodes, or
// by this node's own requests where the view is unknown.
//
// It answers the load of an overload in which nearly nine of ten asks were refused: each
// refused ask takes the engine's time, and the asks sustain the overload when the load is
// over.
type hasRoom struct {
	// left is how many more requests this node may have at the service.
	left int
	// share is how much of a queue the service may have.
	share float64
}

// Admits implements Filter.
func (filter hasRoom) Admits(engine *Engine, request *Request, now time.Time) bool {
	share := filter.share + engine.toleratedShare()
	if request.Assigned == engine.ID {
		share += assignedQueueShare
	}
	return filter.left >= 1 && engine.roomFor(share, now) >= 1
}

// notFull admits engines that have not refused a request for want of room just now. It is
// never given up: what was full a moment ago still is.
type notFull struct{}

// Admits implements Filter.
func (notFull) Admits(engine *Engine, _ *Request, now time.Time) bool {
	return !now.Before(engine.fullUntil)
}

// FreeCapacity is how many more requests the engines of a service have room for, as far as is known.
func (directory *Directory) FreeCapacity(service string, now time.Time) int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.room(service, now)
}

func (directory *Directory) room(service string, now time.Time) int {
	engines := directory.usableNow(service, now)
	directory.estimateOthers(service, engines, now)
	noticed := sound{heedDoubt: heedsDoubt(engines, now)}
	share := directory.queueShareOf(service, engines)
	sure, doubtful, unrefused := 0, 0, false
	for _, engine := range engines {
		if !(notFull{}).Admits(engine, nil, now) || !directory.warms(engine, now) {
			continue
		}
		unrefused = true
		room := int(engine.roomFor(share+engine.toleratedShare(), now))
		doubtful += room
		if noticed.Admits(engine, nil, now) {
			sure += room
		}
	}
	room := sure
	if room == 0 {
		room = doubtful
	}
	room = min(room, directory.leftHere(service, engines, now))
	if room == 0 && unrefused && runningHere(engines) == 0 {
		return 1
	}
	return room
}

// leftHere is how many more requests this node may have at a service: by its part of the
// room that the view showed, or else by what it has learned from refusals.
func (directory *Directory) leftHere(service string, engines []*Engine, now time.Time) int {
	most := unboundedRoom
	if bound, known := directory.bounds[service]; known && directory.knowsOthers(now) {
		most = bound
	}
	if learned := directory.learned(service).inForce(now); learned > 0 && !(directory.knowsOthers(now) && directory.viewShows(service)) {
		most = min(most, int(learned))
	}
	return max(most-runningHere(engines), 0)
}

func runningHere(engines []*Engine) int {
	running := 0
	for _, engine := range engines {
		running += engine.running
	}
	return running
}

// learned is the bound of this node's requests at a service that it learns from refusals.
func (directory *Directory) learned(service string) *limit {
	if directory.limits == nil {
		directory.limits = map[string]*limit{}
	}
	found := directory.limits[service]
	if found == nil {
		found = &limit{}
		directory.limits[service] = found
	}
	return found
}

// fullShare of its engines have to refuse requests for a service to count as full: fewer may
// refuse for faults of their own, and are passed over.
const fullShare = 1.0 / 3

// noteFull learns from a refusal of an engine where most of its service refuse too. The
// caller holds the mutex.
func (directory *Directory) noteFull(engine *Engine, now time.Time) {
	engines := directory.usable(engine.Service)
	refusing := 0
	for _, each := range engines {
		if each.limit.inForce(now) > 0 {
			refusing++
		}
	}
	if float64(refusing) >= fullShare*float64(len(engines)) {
		directory.learned(engine.Service).cut(runningHere(engines), now)
	}
}

// knowsOthers tells whether it is known what other nodes have under way.
func (directory *Directory) knowsOthers(now time.Time) bool {
	_, known := directory.load.Total(now)
	return known
}

// NextRetryTime is when an engine that has refused may be asked again, false where none has.
func (directory *Directory) NextRetryTime(service string, now time.Time) (time.Time, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	var next time.Time
	for _, engine := range directory.usable(service) {
		if now.Before(engine.fullUntil) && (next.IsZero() || engine.fullUntil.Before(next)) {
			next = engine.fullUntil
		}
	}
	return next, !next.IsZero()
}
