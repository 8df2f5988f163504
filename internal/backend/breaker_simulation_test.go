package backend_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/load"
)

// breakerSim simulates requests to many nodes, each with its own directory, in virtual time.
// Engines behave as defined by answer.
type breakerSim struct {
	nodes []*backend.Directory
	views []*load.View
	// zones are assigned to the nodes in rotation.
	zones  []string
	random *rand.Rand
	// interval separates two requests, repeatableShare is the share of repeatable ones.
	interval        time.Duration
	repeatableShare float64
	// sharesLoad is true if nodes share their load.
	sharesLoad bool
	answer     func(engine, zone string, at time.Duration) (backend.Outcome, time.Duration)
	// onFinish is called at the end of each request.
	onFinish func(engine, zone string, at time.Duration, outcome backend.Outcome)

	events eventHeap
	// lastRepeatable is true if the most recent request is repeatable.
	lastRepeatable bool
}

// suspectAfter is how long a request may await its first byte before its engine is suspected.
const suspectAfter = 600 * time.Millisecond

// shareInterval separates two load reports, viewAge is the age of a view on arrival.
const (
	shareInterval = 200 * time.Millisecond
	viewAge       = 150 * time.Millisecond
)

func newBreakerSim(nodes, engines int) *breakerSim {
	sim := &breakerSim{random: rand.New(rand.NewPCG(1, 2)), interval: 2 * time.Millisecond, sharesLoad: true, zones: []string{"z", "y", "x"}}
	for range nodes {
		directory := newDirectory(engines)
		for number := range engines {
			directory.Upsert(backend.Instance{ID: fmt.Sprint("e", number), Service: service, Zone: "z", Slots: 12}, time.Time{})
		}
		directory.SortEligible(service)
		view := load.NewView()
		directory.SetLoadView(view)
		directory.SetNodeCount(func() int { return nodes })
		if directory.SetPolicy(backend.PolicyLeastLoaded) != nil {
			panic("unknown policy")
		}
		sim.nodes = append(sim.nodes, directory)
		sim.views = append(sim.views, view)
	}
	return sim
}

// run simulates the requests arriving within duration, until all have finished.
func (sim *breakerSim) run(duration time.Duration) {
	for at := time.Duration(0); at < duration; at += sim.interval {
		sim.schedule(at, func() { sim.send(at) })
	}
	for at := time.Duration(0); at < duration && sim.sharesLoad; at += shareInterval {
		sim.schedule(at, func() { sim.shareLoad(at) })
	}
	for len(sim.events) > 0 {
		heap.Pop(&sim.events).(simEvent).run()
	}
}

func (sim *breakerSim) schedule(at time.Duration, run func()) {
	heap.Push(&sim.events, simEvent{at: at, order: len(sim.events), run: run})
}

// send sends a request through a random node.
func (sim *breakerSim) send(at time.Duration) {
	index := sim.random.IntN(len(sim.nodes))
	zone := sim.zones[index%len(sim.zones)]
	node := sim.nodes[index]
	sim.lastRepeatable = sim.random.Float64() < sim.repeatableShare
	engine := node.Pick(&backend.Request{Service: service, Zone: zone, Repeatable: sim.lastRepeatable}, now.Add(at))
	outcome, took := sim.answer(engine.ID, zone, at)
	if outcome == backend.NoResponse {
		sim.schedule(at+suspectAfter, func() {
			node.Suspect(engine, now.Add(at+suspectAfter))
			node.CountFailed(engine.Instance, now.Add(at+suspectAfter))
		})
	}
	sim.schedule(at+took, func() {
		node.EndFirstByteWait(engine)
		node.Finish(engine, outcome, now.Add(at+took))
		sim.onFinish(engine.ID, zone, at+took, outcome)
	})
}

// shareLoad delivers a view of all nodes' outcomes to all nodes after viewAge.
func (sim *breakerSim) shareLoad(at time.Duration) {
	total := load.NewReport()
	reports := make([]load.Report, 0, len(sim.nodes))
	for _, node := range sim.nodes {
		report := node.OutcomeReport(now.Add(at))
		reports = append(reports, report)
		total.Add(report)
	}
	sim.schedule(at+viewAge, func() {
		for index, view := range sim.views {
			view.Update(total, reports[index], viewAge, now.Add(at+viewAge))
		}
	})
}

// maxOpenBreakers is the largest number of open breakers at any node.
func (sim *breakerSim) maxOpenBreakers() int {
	largest := 0
	for _, node := range sim.nodes {
		largest = max(largest, node.OpenBreakers()[service])
	}
	return largest
}

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

// eventHeap implements heap.Interface, the earliest event first.
type eventHeap []simEvent

func (events eventHeap) Len() int { return len(events) }
func (events eventHeap) Less(left, right int) bool {
	return cmp.Or(cmp.Compare(events[left].at, events[right].at), cmp.Compare(events[left].order, events[right].order)) < 0
}
func (events eventHeap) Swap(left, right int) {
	events[left], events[right] = events[right], events[left]
}
func (events *eventHeap) Push(element any) { *events = append(*events, element.(simEvent)) }
func (events *eventHeap) Pop() any {
	last := len(*events) - 1
	removed := (*events)[last]
	*events = (*events)[:last]
	return removed
}

// outcomeTally counts outcomes by engine, and failures per half second.
type outcomeTally struct {
	finished, failed map[string]int
	failedAt         map[time.Duration]int
	served           map[string]int
}

func newOutcomeTally() *outcomeTally {
	return &outcomeTally{finished: map[string]int{}, failed: map[string]int{}, failedAt: map[time.Duration]int{}, served: map[string]int{}}
}

func (tally *outcomeTally) record(engine, _ string, at time.Duration, outcome backend.Outcome) {
	tally.finished[engine]++
	if outcome == backend.Succeeded {
		tally.served[engine]++
		return
	}
	tally.failed[engine]++
	tally.failedAt[at.Truncate(500*time.Millisecond)]++
}

// failedBetween returns the number of failures in a time range.
func (tally *outcomeTally) failedBetween(from, until time.Duration) int {
	sum := 0
	for at, count := range tally.failedAt {
		if at >= from && at < until {
			sum += count
		}
	}
	return sum
}

func engineNames(count int) []string {
	names := make([]string, 0, count)
	for number := range count {
		names = append(names, fmt.Sprint("e", number))
	}
	return names
}
