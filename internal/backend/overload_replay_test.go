package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/load"
	. "github.com/onsi/gomega"
)

// The replay: nodes share engines of some slots and a queue, of which each refuses what is
// over both. The view of all nodes comes every viewPeriod and is then viewAge old.
const (
	replayNodes   = 58
	replaySlots   = 6
	replayQueue   = 18
	replayService = "s"
	replayStep    = 2 * time.Millisecond
	viewPeriod    = 200 * time.Millisecond
	viewAge       = 150 * time.Millisecond
	replayAfter   = 2 * time.Second
	// oftenUrgent of the calls are of rank 0, the others of rank 2.
	oftenUrgent = 0.5
)

// replayKind is a kind of calls and the engines that serve them.
type replayKind struct {
	name    string
	engines int
	// takes is how long one usually takes, patience how long it may wait.
	takes    time.Duration
	patience time.Duration
	// comeBack is the latest time that a refused one is told: 0.3 of what callers have left.
	comeBack time.Duration
	// together is how many come to one node at a time.
	together int
}

var (
	turns = replayKind{name: "turns", engines: 45, takes: 230 * time.Millisecond, patience: 300 * time.Millisecond, comeBack: 800 * time.Millisecond, together: 1}
	tools = replayKind{name: "tools", engines: 8, takes: 25 * time.Millisecond, patience: 500 * time.Millisecond, comeBack: 300 * time.Millisecond, together: 3}
)

// perSecond is what the engines can serve.
func (kind replayKind) perSecond() float64 {
	return float64(kind.engines) * replaySlots / kind.takes.Seconds()
}

// replayCall is a call at a node.
type replayCall struct {
	node     *replayNode
	waiter   Waiter
	begun    time.Time
	waited   bool
	asking   RefusalState
	tried    []string
	entered  *waiting
	engine   *Engine
	sent     time.Time
	comeback bool
}

type replayNode struct {
	directory *Directory
	view      *load.View
	queue     *WaitQueue
	budget    RetryBudget
	returns   RetryScheduler
	waiting   []*replayCall
}

type replayEngine struct {
	running []*replayCall
	ends    []time.Time
	queued  []*replayCall
	// refuses is true for an engine that refuses all it gets.
	refuses bool
}

type replayTimer struct {
	at  time.Time
	run func()
}

type replay struct {
	kind   replayKind
	random *rand.Rand
	clock  time.Time
	// lasts is how long calls come, loadEnds when nothing more is offered.
	lasts    time.Duration
	loadEnds time.Time
	nodes    []*replayNode
	engines  map[string]*replayEngine
	timers   []replayTimer
	blind    bool
	shown    load.Report
	owns     []load.Report
	// counts
	asks, refusals, lateRefusals, served, servedUnderLoad int
	took, before                                          time.Duration
	offered, lost                                         map[int]int
}

func newReplay(kind replayKind, blind bool) *replay {
	world := &replay{kind: kind, lasts: 3 * time.Second, random: rand.New(rand.NewPCG(1, 2)), clock: time.Unix(1000, 0), engines: map[string]*replayEngine{}, blind: blind,
		offered: map[int]int{}, lost: map[int]int{}}
	for range replayNodes {
		node := &replayNode{directory: NewDirectory(), view: load.NewView(), queue: NewWaitQueue()}
		node.directory.SetLoadView(node.view)
		node.directory.SetNodeCount(func() int { return replayNodes })
		node.queue.SetCapacitySource(node.directory)
		node.queue.now = func() time.Time { return world.clock }
		node.queue.after = func(while time.Duration, run func()) {
			world.timers = append(world.timers, replayTimer{at: world.clock.Add(while), run: run})
		}
		for number := range world.kind.engines {
			id := fmt.Sprint("e", number)
			node.directory.Upsert(Instance{ID: id, Service: replayService, Zone: fmt.Sprint(number % 3), Slots: replaySlots}, time.Time{})
			world.engines[id] = &replayEngine{}
		}
		world.nodes = append(world.nodes, node)
	}
	return world
}

// run offers a multiple of what the engines can serve and then nothing.
func (world *replay) run(times float64) {
	perStep := times * world.kind.perSecond() * replayStep.Seconds() / float64(world.kind.together)
	begins := world.clock
	world.loadEnds = begins.Add(world.lasts)
	due := 0.0
	for world.clock.Sub(begins) < world.lasts+replayAfter {
		world.clock = world.clock.Add(replayStep)
		world.endRequests()
		world.runTimers()
		world.showLoad(begins)
		world.goOn()
		if world.clock.Sub(begins) < world.lasts {
			for due += perStep; due >= 1; due-- {
				node := world.nodes[world.random.IntN(replayNodes)]
				for range world.kind.together {
					world.offer(node)
				}
			}
		}
	}
}

func (world *replay) offer(node *replayNode) {
	rank := 2
	if world.random.Float64() < oftenUrgent {
		rank = 0
	}
	world.offered[rank]++
	call := &replayCall{node: node, begun: world.clock,
		waiter: Waiter{Service: replayService, Priority: rank, SoftDeadline: world.clock.Add(world.kind.patience)}}
	world.try(call)
}

// try does what a node does for a call: it asks engines until one takes it, or waits.
func (world *replay) try(call *replayCall) {
	for world.mayAsk(call) {
		picked := call.node.directory.Pick(&Request{Service: replayService, Tried: call.tried}, world.clock)
		if picked == nil {
			call.asking.ReleaseAttempt(&call.node.budget)
			break
		}
		call.engine = picked
		call.sent = world.clock
		if world.ask(call) {
			return
		}
		call.node.directory.Finish(picked, Full, world.clock)
		call.asking.RecordRefusal()
		call.tried = append(call.tried, picked.ID)
	}
	world.wait(call)
}

func (world *replay) mayAsk(call *replayCall) bool {
	return (call.waited || !call.node.queue.HasWaiters(replayService)) && call.asking.AcquireAttempt(&call.node.budget, world.clock)
}

func (world *replay) wait(call *replayCall) {
	node := call.node
	left := world.kind.patience - world.clock.Sub(call.begun)
	forecast, known := node.directory.Predict(call.waiter, node.queue.Ahead(call.waiter, world.clock), node.queue.CountByPriority(replayService), world.clock)
	if left <= 0 || call.asking.Exhausted() || feature.Enabled(feature.LoadBasedCapacity) && known && forecast.Exceeds(left) {
		world.refuse(call, forecast)
		return
	}
	call.entered = newWaiting(call.waiter, world.clock)
	node.queue.enter(replayService, call.entered)
	node.waiting = append(node.waiting, call)
}

// refuse ends a call. Its caller comes back once, when it was told to.
func (world *replay) refuse(call *replayCall, forecast Forecast) {
	if call.comeback {
		world.lost[call.waiter.Priority]++
		return
	}
	later := call.node.returns.RetryAfter(replayService, max(forecast.Wait, 100*time.Millisecond), forecast.Interval, world.kind.comeBack, world.clock)
	world.timers = append(world.timers, replayTimer{at: world.clock.Add(later), run: func() {
		again := &replayCall{node: world.nodes[world.random.IntN(replayNodes)], begun: world.clock, comeback: true,
			waiter: Waiter{Service: replayService, Priority: call.waiter.Priority, SoftDeadline: world.clock.Add(world.kind.patience)}}
		world.try(again)
	}})
}

// goOn lets calls look for an engine whose turn has come or whose patience is over.
func (world *replay) goOn() {
	for _, node := range world.nodes {
		held := node.waiting
		node.waiting = nil
		for _, call := range held {
			over := world.clock.Sub(call.begun) >= world.kind.patience
			if len(call.entered.woken) == 0 && !over {
				node.waiting = append(node.waiting, call)
				continue
			}
			node.queue.leave(replayService, call.entered)
			call.waited = true
			call.asking.RecordWait()
			call.tried = nil
			world.try(call)
		}
	}
}

// ask offers a call to its engine.
func (world *replay) ask(call *replayCall) bool {
	engine := world.engines[call.engine.ID]
	world.asks++
	if engine.refuses || len(engine.running) >= replaySlots && len(engine.queued) >= replayQueue {
		world.refusals++
		if world.clock.After(world.loadEnds.Add(time.Second)) {
			world.lateRefusals++
		}
		return false
	}
	engine.queued = append(engine.queued, call)
	world.start(engine)
	return true
}

func (world *replay) start(engine *replayEngine) {
	for len(engine.running) < replaySlots && len(engine.queued) > 0 {
		takes := time.Duration((0.5 + world.random.Float64()) * float64(world.kind.takes))
		engine.running = append(engine.running, engine.queued[0])
		engine.ends = append(engine.ends, world.clock.Add(takes))
		engine.queued = engine.queued[1:]
	}
}

func (world *replay) endRequests() {
	for number := range world.kind.engines {
		engine := world.engines[fmt.Sprint("e", number)]
		for place := 0; place < len(engine.running); {
			if world.clock.Before(engine.ends[place]) {
				place++
				continue
			}
			call := engine.running[place]
			engine.running = append(engine.running[:place], engine.running[place+1:]...)
			engine.ends = append(engine.ends[:place], engine.ends[place+1:]...)
			world.served++
			world.took += world.clock.Sub(call.sent)
			world.before += call.sent.Sub(call.begun)
			if world.clock.Before(world.loadEnds) {
				world.servedUnderLoad++
			}
			call.node.directory.Finish(call.engine, Succeeded, world.clock)
			call.node.directory.RecordDuration(replayService, world.clock.Sub(call.sent))
			call.node.budget.RecordSuccess()
			call.node.queue.WakeNext(replayService)
		}
		world.start(engine)
	}
}

func (world *replay) runTimers() {
	pending := world.timers
	world.timers = nil
	for _, timer := range pending {
		if timer.at.After(world.clock) {
			world.timers = append(world.timers, timer)
		} else {
			timer.run()
		}
	}
}

// showLoad gathers what all nodes have, and shows it to them when it is viewAge old.
func (world *replay) showLoad(begins time.Time) {
	since := world.clock.Sub(begins) % viewPeriod
	if world.blind {
		return
	}
	if since == 0 {
		world.shown = load.NewReport()
		world.owns = nil
		for _, node := range world.nodes {
			own := load.NewReport()
			for id, running := range node.directory.Running() {
				own.Engines[id] = load.Engine{Running: running}
			}
			own.Waiting = node.queue.Counts()
			world.owns = append(world.owns, own)
			world.shown.Add(own)
		}
	}
	if since == viewAge && world.owns != nil {
		for number, node := range world.nodes {
			node.view.Update(world.shown, world.owns[number], viewAge, world.clock)
			node.queue.WakeForLoadUpdate()
		}
	}
}

const (
	// asksPerServed is the most asks of engines for each request that they serve. One is
	// needed; the retry budget allows a tenth more, and its floor as much again.
	asksPerServed = 1.2
	// blindAsksPerServed is the same where nodes know nothing of each other: until each has
	// learned from refusals of its own, a call of those that come may be refused once.
	blindAsksPerServed = 1.4
	// busyShare of what they can serve is what engines serve at least while the load lasts,
	// once the first turns have ended.
	busyShare = 0.8
)

func TestOverloadDoesNotSustainItself(t *testing.T) {
	for _, blind := range []bool{false, true} {
		for _, times := range []float64{0.5, 1, 1.5, 2, 3} {
			for _, kind := range []replayKind{turns, tools} {
				t.Run(fmt.Sprintf("%s, %g times what engines serve, blind %v", kind.name, times, blind), func(t *testing.T) {
					replayOverload(t, kind, blind, times)
				})
			}
		}
	}
}

func replayOverload(t *testing.T, kind replayKind, blind bool, times float64) {
	expect := NewWithT(t)
	world := newReplay(kind, blind)
	world.run(times)
	served, asks := float64(world.served), float64(world.asks)
	capacity := kind.perSecond() * (world.lasts - kind.takes).Seconds()
	t.Logf("offered %v, served %.2f of capacity under load, %s before engines, %s there, %.3f asks per served, %d refusals by engines, lost %v",
		world.offered, float64(world.servedUnderLoad)/capacity,
		world.before/time.Duration(world.served), world.took/time.Duration(world.served), asks/served, world.refusals, world.lost)
	most := asksPerServed
	if blind {
		most = blindAsksPerServed
	}
	expect.Expect(asks / served).To(BeNumerically("<=", most))
	expect.Expect(world.lateRefusals).To(BeZero(), "refusals end within a second after the load")
	expect.Expect(float64(world.servedUnderLoad)).To(BeNumerically(">=", busyShare*min(times, 1)*capacity), "engines have work")
	expect.Expect(world.lost[0]).To(BeNumerically("<=", world.lost[2]), "the more urgent are not lost first")
}

// TestOverloadWithoutTheGates shows that the replay holds the failure.
func TestOverloadWithoutTheGates(t *testing.T) {
	expect := NewWithT(t)
	t.Cleanup(func() { _ = feature.Disable("") })
	expect.Expect(feature.Disable("room-by-load,retry-budget")).To(Succeed())
	world := newReplay(turns, true)
	world.lasts = time.Second
	world.run(2)
	t.Logf("%.2f asks per served, %d refusals by engines", float64(world.asks)/float64(world.served), world.refusals)
	expect.Expect(float64(world.asks) / float64(world.served)).To(BeNumerically(">", blindAsksPerServed))
}

// TestEngineThatRefusesAllCostsNoCalls replays a load that the other engines can serve well.
func TestEngineThatRefusesAllCostsNoCalls(t *testing.T) {
	for _, blind := range []bool{false, true} {
		expect := NewWithT(t)
		world := newReplay(tools, blind)
		world.engines["e0"].refuses = true
		world.run(0.6)
		t.Logf("%.3f asks per served, %d refusals by engines, %s before engines, lost %v", float64(world.asks)/float64(world.served),
			world.refusals, world.before/time.Duration(world.served), world.lost)
		expect.Expect(world.lost).To(BeEmpty())
		expect.Expect(float64(world.asks) / float64(world.served)).To(BeNumerically("<=", asksPerServed))
	}
}
