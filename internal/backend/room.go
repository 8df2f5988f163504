package backend

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/load"
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
	// durationWeight is the weight of the newest request in the mean duration.
	durationWeight = 0.1
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
	for _, engine := range engines {
		others, known := directory.load.Others(engine.ID, now)
		engine.others = othersAt{requests: float64(others.Running), known: known && feature.Enabled(feature.RoomByLoad)}
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

// Took notes how long a request to a service took that was answered.
func (directory *Directory) Took(service string, took time.Duration) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if directory.durations == nil {
		directory.durations = map[string]time.Duration{}
	}
	mean, known := directory.durations[service]
	if !known {
		mean = took
	}
	directory.durations[service] = mean + time.Duration(durationWeight*float64(took-mean))
}

// Duration is how long a request to a service takes at present, 0 where none was seen.
func (directory *Directory) Duration(service string) time.Duration {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.durations[service]
}

// Room is how many more requests the engines of a service have room for, as far as is known.
func (directory *Directory) Room(service string, now time.Time) int {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.room(service, now)
}

func (directory *Directory) room(service string, now time.Time) int {
	engines := directory.usable(service)
	directory.estimateOthers(service, engines, now)
	noticed := sound{heedDoubt: heedsDoubt(engines, now)}
	share := directory.queueShareOf(service, engines)
	sure, doubtful, unrefused := 0, 0, false
	for _, engine := range engines {
		if !(notFull{}).Admits(engine, nil, now) {
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
	if learned := directory.learned(service).inForce(now); learned > 0 && !directory.knowsOthers(now) {
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

const (
	// overcommit is how many times its part of the room a node may take between two views
	// for calls that have not waited. Nodes seldom all take theirs, and where they do engines
	// still have places in their queues.
	overcommit = 2.0
	// burstShare of the room a node may take in any case: the calls that a program makes at
	// once come to one node.
	burstShare = 1.0 / 8
)

// bounds is how many requests this node may have at a service until the next view.
type bounds map[string]int

// Renew takes in that the view of the load has changed. here counts the calls that wait at
// this node.
//
// It answers the load of many nodes that see at one moment how much room there is: if each
// took what it sees, together they would take it many times over, and all would hold back
// at the next view. Each node takes its part, and in place of its requests that end it may
// send others at once. Where the engines have more than they have room for, it gives back
// its part.
func (directory *Directory) Renew(here map[load.Queue]int, now time.Time) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.bounds = bounds{}
	total, known := directory.load.Total(now)
	if !known {
		return
	}
	directory.usable("")
	for service, engines := range directory.services {
		directory.estimateOthers(service, engines, now)
		share := directory.queueShareOf(service, engines)
		room, all, own, bounded := 0.0, 0.0, 0, true
		for _, engine := range engines {
			most := engine.mostUnder(share)
			bounded = bounded && most > 0
			room += most - float64(total.Engines[engine.ID].Running)
			all += float64(total.Engines[engine.ID].Running)
			own += engine.running
		}
		if bounded {
			waits := ranksIn(here, service)
			waitsElsewhere := waitingElsewhere(total, service, waits)
			part := partOfRoom{room: room, all: all, own: float64(own), nodes: directory.countNodes()}
			directory.bounds[service] = own + part.of(waits, waitsElsewhere, rand.Float64())
		}
	}
}

// UseNodes tells the directory how many nodes there are. It is called before anything else.
func (directory *Directory) UseNodes(nodes func() int) { directory.nodes = nodes }

func (directory *Directory) countNodes() float64 {
	if directory.nodes == nil {
		return 1
	}
	return float64(max(directory.nodes(), 1))
}

// ranksIn counts a service's waiting calls by rank.
func ranksIn(waiting map[load.Queue]int, service string) map[int]int {
	counts := map[int]int{}
	for queue, calls := range waiting {
		if queue.Service == service {
			counts[queue.Rank] += calls
		}
	}
	return counts
}

// partOfRoom divides room at a service, negative where engines have more than they have room
// for, among nodes: all is what all nodes have there, own what this one has.
type partOfRoom struct {
	room, all, own, nodes float64
}

// of is this node's part: first for the calls that wait, then of what is left for those that
// come. It is negative where the node is to give back.
func (part partOfRoom) of(here, elsewhere map[int]int, draw float64) int {
	if part.room <= 0 {
		return int(math.Floor(part.room*part.own/max(part.all, 1) + draw))
	}
	waiting := 0
	for _, counts := range []map[int]int{here, elsewhere} {
		for _, calls := range counts {
			waiting += calls
		}
	}
	left := max(part.room-float64(waiting), 0)
	coming := max(overcommit*left*(part.own+1)/(part.all+part.nodes), burstShare*left)
	return int(math.Floor(shareOfRoom(part.room, here, elsewhere) + coming + draw))
}

// waitingElsewhere counts the calls to a service that wait at other nodes, by rank; here
// counts those of this node, which the total holds too.
func waitingElsewhere(total load.Report, service string, here map[int]int) map[int]int {
	elsewhere := map[int]int{}
	for queue, calls := range total.Waiting {
		if queue.Service == service {
			elsewhere[queue.Rank] += max(calls-here[queue.Rank], 0)
		}
	}
	return elsewhere
}

// shareOfRoom divides room among the calls that wait here and elsewhere, more urgent ranks
// first, and within a rank by their number.
func shareOfRoom(room float64, here, elsewhere map[int]int) float64 {
	left := room
	share := 0.0
	for _, rank := range ranksOf(here) {
		before := 0
		for other, calls := range elsewhere {
			if other < rank {
				before += calls
			}
		}
		free := max(left-float64(before), 0)
		all := here[rank] + elsewhere[rank]
		granted := min(free, float64(all)) * float64(here[rank]) / float64(all)
		share += granted
		left -= granted
	}
	return share
}

// knowsOthers tells whether it is known what other nodes have under way.
func (directory *Directory) knowsOthers(now time.Time) bool {
	_, known := directory.load.Total(now)
	return known
}

// NextRoom is when an engine that has refused may be asked again, false where none has.
func (directory *Directory) NextRoom(service string, now time.Time) (time.Time, bool) {
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

// Line is what a call that would wait finds.
type Line struct {
	// Ahead is the number of calls before it, Running that of requests at the engines, over
	// all nodes where that is known.
	Ahead   int
	Running int
	// Wait is the predicted one, Interval the time between two ends of this node's requests.
	Wait     time.Duration
	Interval time.Duration
}

// Over tells whether the predicted wait is longer than a call's patience.
func (line Line) Over(patience time.Duration) bool { return line.Wait > patience }

// Predict tells what a call would find behind ahead calls of those that wait here, which
// are counted by rank; it is false where nothing is known to predict from.
func (directory *Directory) Predict(waiter Waiter, ahead int, here map[int]int, now time.Time) (Line, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	engines := directory.usable(waiter.Service)
	directory.estimateOthers(waiter.Service, engines, now)
	under := 0.0
	for _, engine := range engines {
		under += engine.under()
	}
	total, known := directory.load.Total(now)
	if known {
		ahead += aheadElsewhere(waitingElsewhere(total, waiter.Service, here), waiter.Rank)
	}
	return predict(ahead, int(under+roundingSlack), runningHere(engines), directory.durations[waiter.Service])
}

// aheadElsewhere counts the calls at other nodes that come before one of a rank: all of more
// urgent ranks, and half of its own, for how near their aims are is not known here.
func aheadElsewhere(elsewhere map[int]int, rank int) int {
	ahead := elsewhere[rank] / 2
	for other, calls := range elsewhere {
		if other < rank {
			ahead += calls
		}
	}
	return ahead
}

// predict works out a wait by Little's law: of some requests under way that take a time
// each, one ends each time/requests; here of them are this node's. It answers the load of a
// queue longer than engines can serve in the callers' patience.
func predict(ahead, running, here int, duration time.Duration) (Line, bool) {
	if running == 0 || duration == 0 {
		return Line{Ahead: ahead}, false
	}
	wait := duration * time.Duration(ahead+1) / time.Duration(running)
	return Line{Ahead: ahead, Running: running, Wait: wait, Interval: duration / time.Duration(max(here, 1))}, true
}
