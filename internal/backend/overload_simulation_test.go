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

// The simulated nodes share engines that refuse requests when their slots and queues are full.
// A load view arrives every viewInterval and is viewAge old.
const (
	simNodes     = 58
	simSlots     = 6
	simQueue     = 18
	simService   = "s"
	simStep      = 2 * time.Millisecond
	viewInterval = 200 * time.Millisecond
	viewAge      = 150 * time.Millisecond
	simDrainTime = 2 * time.Second
	// urgentShare is the share of calls with priority 0; the others have priority 2.
	urgentShare = 0.5
)

// simWorkload is a kind of calls and the engines that serve them.
type simWorkload struct {
	name    string
	engines int
	// duration is the mean duration of a request, maxWait the maximum wait of a call.
	duration time.Duration
	maxWait  time.Duration
	// maxRetryAfter is the maximum retry delay returned to rejected calls.
	maxRetryAfter time.Duration
	// burst is the number of calls that arrive at one node at a time.
	burst int
}

var (
	turnWorkload = simWorkload{name: "turns", engines: 45, duration: 230 * time.Millisecond, maxWait: 300 * time.Millisecond, maxRetryAfter: 800 * time.Millisecond, burst: 1}
	toolWorkload = simWorkload{name: "tools", engines: 8, duration: 25 * time.Millisecond, maxWait: 500 * time.Millisecond, maxRetryAfter: 300 * time.Millisecond, burst: 3}
)

// capacityPerSecond is the number of requests per second that the engines can serve.
func (workload simWorkload) capacityPerSecond() float64 {
	return float64(workload.engines) * simSlots / workload.duration.Seconds()
}

type simCall struct {
	node     *simNode
	waiter   Waiter
	arrived  time.Time
	waited   bool
	refusals RefusalState
	tried    []string
	queued   *queuedRequest
	engine   *Engine
	sent     time.Time
	isRetry  bool
}

type simNode struct {
	directory *Directory
	view      *load.View
	queue     *WaitQueue
	budget    RetryBudget
	retries   RetryScheduler
	waiting   []*simCall
}

type simEngine struct {
	running  []*simCall
	finishAt []time.Time
	queued   []*simCall
	// refusesAll is true for an engine that refuses all requests.
	refusesAll bool
}

type simTimer struct {
	at  time.Time
	run func()
}

type overloadSim struct {
	workload simWorkload
	random   *rand.Rand
	clock    time.Time
	// loadDuration is how long calls arrive, loadEnd when the last one does.
	loadDuration time.Duration
	loadEnd      time.Time
	nodes        []*simNode
	engines      map[string]*simEngine
	timers       []simTimer
	withoutView  bool
	viewReport   load.Report
	nodeReports  []load.Report
	// Results of the run.
	attempts, refusals, lateRefusals, served, servedUnderLoad int
	engineTime, queueTime                                     time.Duration
	offered, lost                                             map[int]int
}

func newOverloadSim(workload simWorkload, withoutView bool) *overloadSim {
	sim := &overloadSim{workload: workload, loadDuration: 3 * time.Second, random: rand.New(rand.NewPCG(1, 2)), clock: time.Unix(1000, 0), engines: map[string]*simEngine{}, withoutView: withoutView,
		offered: map[int]int{}, lost: map[int]int{}}
	for range simNodes {
		node := &simNode{directory: NewDirectory(), view: load.NewView(), queue: NewWaitQueue()}
		node.directory.SetLoadView(node.view)
		node.directory.SetNodeCount(func() int { return simNodes })
		node.queue.SetCapacitySource(node.directory)
		node.queue.now = func() time.Time { return sim.clock }
		node.queue.after = func(delay time.Duration, run func()) {
			sim.timers = append(sim.timers, simTimer{at: sim.clock.Add(delay), run: run})
		}
		for number := range sim.workload.engines {
			id := fmt.Sprint("e", number)
			node.directory.Upsert(Instance{ID: id, Service: simService, Zone: fmt.Sprint(number % 3), Slots: simSlots}, time.Time{})
			sim.engines[id] = &simEngine{}
		}
		sim.nodes = append(sim.nodes, node)
	}
	return sim
}

// run offers a multiple of the engines' capacity for loadDuration, then nothing.
func (sim *overloadSim) run(loadFactor float64) {
	perStep := loadFactor * sim.workload.capacityPerSecond() * simStep.Seconds() / float64(sim.workload.burst)
	start := sim.clock
	sim.loadEnd = start.Add(sim.loadDuration)
	due := 0.0
	for sim.clock.Sub(start) < sim.loadDuration+simDrainTime {
		sim.clock = sim.clock.Add(simStep)
		sim.endRequests()
		sim.runTimers()
		sim.shareLoad(start)
		sim.resumeWaiting()
		if sim.clock.Sub(start) < sim.loadDuration {
			for due += perStep; due >= 1; due-- {
				node := sim.nodes[sim.random.IntN(simNodes)]
				for range sim.workload.burst {
					sim.offer(node)
				}
			}
		}
	}
}

func (sim *overloadSim) offer(node *simNode) {
	priority := 2
	if sim.random.Float64() < urgentShare {
		priority = 0
	}
	sim.offered[priority]++
	call := &simCall{node: node, arrived: sim.clock,
		waiter: Waiter{Service: simService, Priority: priority, SoftDeadline: sim.clock.Add(sim.workload.maxWait)}}
	sim.try(call)
}

// try handles a call as a node does: it tries engines until one accepts the call, or waits.
func (sim *overloadSim) try(call *simCall) {
	for sim.mayAttempt(call) {
		picked := call.node.directory.Pick(&Request{Service: simService, Tried: call.tried}, sim.clock)
		if picked == nil {
			call.refusals.ReleaseAttempt(&call.node.budget)
			break
		}
		call.engine = picked
		call.sent = sim.clock
		if sim.attempt(call) {
			return
		}
		call.node.directory.Finish(picked, Full, sim.clock)
		call.refusals.RecordRefusal()
		call.tried = append(call.tried, picked.ID)
	}
	sim.wait(call)
}

func (sim *overloadSim) mayAttempt(call *simCall) bool {
	return (call.waited || !call.node.queue.HasWaiters(simService)) && call.refusals.AcquireAttempt(&call.node.budget, sim.clock)
}

func (sim *overloadSim) wait(call *simCall) {
	node := call.node
	remaining := sim.workload.maxWait - sim.clock.Sub(call.arrived)
	forecast, known := node.directory.Predict(call.waiter, node.queue.Ahead(call.waiter, sim.clock), node.queue.CountByPriority(simService), sim.clock)
	if remaining <= 0 || call.refusals.Exhausted() || feature.Enabled(feature.LoadBasedCapacity) && known && forecast.Exceeds(remaining) {
		sim.reject(call, forecast)
		return
	}
	call.queued = newQueuedRequest(call.waiter, sim.clock)
	node.queue.enqueue(simService, call.queued)
	node.waiting = append(node.waiting, call)
}

// reject rejects a call, which is retried once after the returned delay.
func (sim *overloadSim) reject(call *simCall, forecast Forecast) {
	if call.isRetry {
		sim.lost[call.waiter.Priority]++
		return
	}
	delay := call.node.retries.RetryAfter(simService, max(forecast.Wait, 100*time.Millisecond), forecast.Interval, sim.workload.maxRetryAfter, sim.clock)
	sim.timers = append(sim.timers, simTimer{at: sim.clock.Add(delay), run: func() {
		retry := &simCall{node: sim.nodes[sim.random.IntN(simNodes)], arrived: sim.clock, isRetry: true,
			waiter: Waiter{Service: simService, Priority: call.waiter.Priority, SoftDeadline: sim.clock.Add(sim.workload.maxWait)}}
		sim.try(retry)
	}})
}

// resumeWaiting retries calls that were woken or have reached their maximum wait.
func (sim *overloadSim) resumeWaiting() {
	for _, node := range sim.nodes {
		waiting := node.waiting
		node.waiting = nil
		for _, call := range waiting {
			expired := sim.clock.Sub(call.arrived) >= sim.workload.maxWait
			if len(call.queued.woken) == 0 && !expired {
				node.waiting = append(node.waiting, call)
				continue
			}
			node.queue.remove(simService, call.queued)
			call.waited = true
			call.refusals.RecordWait()
			call.tried = nil
			sim.try(call)
		}
	}
}

// attempt offers a call to its engine, and reports whether that accepts it.
func (sim *overloadSim) attempt(call *simCall) bool {
	engine := sim.engines[call.engine.ID]
	sim.attempts++
	if engine.refusesAll || len(engine.running) >= simSlots && len(engine.queued) >= simQueue {
		sim.refusals++
		if sim.clock.After(sim.loadEnd.Add(time.Second)) {
			sim.lateRefusals++
		}
		return false
	}
	engine.queued = append(engine.queued, call)
	sim.start(engine)
	return true
}

func (sim *overloadSim) start(engine *simEngine) {
	for len(engine.running) < simSlots && len(engine.queued) > 0 {
		duration := time.Duration((0.5 + sim.random.Float64()) * float64(sim.workload.duration))
		engine.running = append(engine.running, engine.queued[0])
		engine.finishAt = append(engine.finishAt, sim.clock.Add(duration))
		engine.queued = engine.queued[1:]
	}
}

func (sim *overloadSim) endRequests() {
	for number := range sim.workload.engines {
		engine := sim.engines[fmt.Sprint("e", number)]
		for index := 0; index < len(engine.running); {
			if sim.clock.Before(engine.finishAt[index]) {
				index++
				continue
			}
			call := engine.running[index]
			engine.running = append(engine.running[:index], engine.running[index+1:]...)
			engine.finishAt = append(engine.finishAt[:index], engine.finishAt[index+1:]...)
			sim.served++
			sim.engineTime += sim.clock.Sub(call.sent)
			sim.queueTime += call.sent.Sub(call.arrived)
			if sim.clock.Before(sim.loadEnd) {
				sim.servedUnderLoad++
			}
			call.node.directory.Finish(call.engine, Succeeded, sim.clock)
			call.node.directory.RecordDuration(simService, sim.clock.Sub(call.sent))
			call.node.budget.RecordSuccess()
			call.node.queue.WakeNext(simService)
		}
		sim.start(engine)
	}
}

func (sim *overloadSim) runTimers() {
	pending := sim.timers
	sim.timers = nil
	for _, timer := range pending {
		if timer.at.After(sim.clock) {
			sim.timers = append(sim.timers, timer)
		} else {
			timer.run()
		}
	}
}

// shareLoad collects the load of all nodes, and delivers it to them when it is viewAge old.
func (sim *overloadSim) shareLoad(start time.Time) {
	since := sim.clock.Sub(start) % viewInterval
	if sim.withoutView {
		return
	}
	if since == 0 {
		sim.viewReport = load.NewReport()
		sim.nodeReports = nil
		for _, node := range sim.nodes {
			report := load.NewReport()
			for id, running := range node.directory.Running() {
				report.Engines[id] = load.Engine{Running: running}
			}
			report.Waiting = node.queue.Counts()
			sim.nodeReports = append(sim.nodeReports, report)
			sim.viewReport.Add(report)
		}
	}
	if since == viewAge && sim.nodeReports != nil {
		for number, node := range sim.nodes {
			node.view.Update(sim.viewReport, sim.nodeReports[number], viewAge, sim.clock)
			node.queue.WakeForLoadUpdate()
		}
	}
}

const (
	// maxAttemptsPerServed is the maximum number of attempts per served request: 1 for the first
	// attempt, 0.1 for the retries that successes earn, and 0.1 for the retries that the budget
	// allows regardless of successes.
	maxAttemptsPerServed = 1.2
	// maxAttemptsWithoutView is the maximum if nodes do not share their load, and each has to
	// learn its limits from refusals.
	maxAttemptsWithoutView = 1.4
	// minUtilization is the minimum utilization of the engines under load.
	minUtilization = 0.8
)

func TestOverloadDoesNotSustainItself(t *testing.T) {
	for _, withoutView := range []bool{false, true} {
		for _, loadFactor := range []float64{0.5, 1, 1.5, 2, 3} {
			for _, workload := range []simWorkload{turnWorkload, toolWorkload} {
				t.Run(fmt.Sprintf("%s, %g times the capacity, without view %v", workload.name, loadFactor, withoutView), func(t *testing.T) {
					simulateOverload(t, workload, withoutView, loadFactor)
				})
			}
		}
	}
}

func simulateOverload(t *testing.T, workload simWorkload, withoutView bool, loadFactor float64) {
	expect := NewWithT(t)
	sim := newOverloadSim(workload, withoutView)
	sim.run(loadFactor)
	served, attempts := float64(sim.served), float64(sim.attempts)
	capacity := workload.capacityPerSecond() * (sim.loadDuration - workload.duration).Seconds()
	t.Logf("offered %v, utilization %.2f under load, waited %s in queues, %s at engines, %.3f attempts per served request, %d refusals, lost %v",
		sim.offered, float64(sim.servedUnderLoad)/capacity,
		sim.queueTime/time.Duration(sim.served), sim.engineTime/time.Duration(sim.served), attempts/served, sim.refusals, sim.lost)
	maxAttempts := maxAttemptsPerServed
	if withoutView {
		maxAttempts = maxAttemptsWithoutView
	}
	expect.Expect(attempts / served).To(BeNumerically("<=", maxAttempts))
	expect.Expect(sim.lateRefusals).To(BeZero(), "refusals end within a second after the load")
	expect.Expect(float64(sim.servedUnderLoad)).To(BeNumerically(">=", minUtilization*min(loadFactor, 1)*capacity), "engines are utilized")
	expect.Expect(sim.lost[0]).To(BeNumerically("<=", sim.lost[2]), "urgent calls are not lost first")
}

// TestOverloadSimulationWithFeaturesDisabled verifies that the simulation reproduces the
// failure which the features prevent.
func TestOverloadSimulationWithFeaturesDisabled(t *testing.T) {
	expect := NewWithT(t)
	t.Cleanup(func() { _ = feature.Disable("") })
	expect.Expect(feature.Disable("room-by-load,retry-budget")).To(Succeed())
	sim := newOverloadSim(turnWorkload, true)
	sim.loadDuration = time.Second
	sim.run(2)
	t.Logf("%.2f attempts per served request, %d refusals", float64(sim.attempts)/float64(sim.served), sim.refusals)
	expect.Expect(float64(sim.attempts) / float64(sim.served)).To(BeNumerically(">", maxAttemptsWithoutView))
}

// TestEngineRefusingAllRequestsLosesNoCalls guards against a single faulty engine causing
// losses at a load that the others can serve.
func TestEngineRefusingAllRequestsLosesNoCalls(t *testing.T) {
	for _, withoutView := range []bool{false, true} {
		expect := NewWithT(t)
		sim := newOverloadSim(toolWorkload, withoutView)
		sim.engines["e0"].refusesAll = true
		sim.run(0.6)
		t.Logf("%.3f attempts per served request, %d refusals, waited %s in queues, lost %v", float64(sim.attempts)/float64(sim.served),
			sim.refusals, sim.queueTime/time.Duration(sim.served), sim.lost)
		expect.Expect(sim.lost).To(BeEmpty())
		expect.Expect(float64(sim.attempts) / float64(sim.served)).To(BeNumerically("<=", maxAttemptsPerServed))
	}
}
