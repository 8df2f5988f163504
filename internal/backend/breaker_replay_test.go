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

// replay plays requests that come to many nodes, each with a directory of its own, on a
// clock of its own. Engines answer as a function says.
type replay struct {
	nodes []*backend.Directory
	views []*load.View
	// zones of the nodes, in turn.
	zones  []string
	random *rand.Rand
	// interval separates two requests, repeatable is the share that may be repeated.
	interval   time.Duration
	repeatable float64
	// shares is true while nodes hear of each other's load.
	shares bool
	answer func(engine, zone string, at time.Duration) (backend.Outcome, time.Duration)
	// noted is told of each end.
	noted func(engine, zone string, at time.Duration, outcome backend.Outcome)

	due pending
	// lastRepeatable tells whether the request sent last may be repeated.
	lastRepeatable bool
}

// suspectAfter is how long a request may be silent before its engine is in doubt.
const suspectAfter = 600 * time.Millisecond

// sharePause separates two reports of the load, shareAge is how old a view is when it comes.
const (
	sharePause = 200 * time.Millisecond
	shareAge   = 150 * time.Millisecond
)

func newReplay(nodes, engines int) *replay {
	played := &replay{random: rand.New(rand.NewPCG(1, 2)), interval: 2 * time.Millisecond, shares: true, zones: []string{"z", "y", "x"}}
	for range nodes {
		directory := newDirectory(engines)
		for number := range engines {
			directory.Upsert(backend.Instance{ID: fmt.Sprint("e", number), Service: service, Zone: "z", Slots: 12}, time.Time{})
		}
		view := load.NewView()
		directory.SetLoadView(view)
		directory.SetNodeCount(func() int { return nodes })
		if directory.SetPolicy(backend.PolicyLeastLoaded) != nil {
			panic("no such policy")
		}
		played.nodes = append(played.nodes, directory)
		played.views = append(played.views, view)
	}
	return played
}

// run plays requests that come during some time, and what follows of them.
func (played *replay) run(length time.Duration) {
	for at := time.Duration(0); at < length; at += played.interval {
		played.plan(at, func() { played.send(at) })
	}
	for at := time.Duration(0); at < length && played.shares; at += sharePause {
		played.plan(at, func() { played.share(at) })
	}
	for len(played.due) > 0 {
		heap.Pop(&played.due).(planned).act()
	}
}

func (played *replay) plan(at time.Duration, act func()) {
	heap.Push(&played.due, planned{at: at, order: len(played.due), act: act})
}

// send has a request come to a node.
func (played *replay) send(at time.Duration) {
	index := played.random.IntN(len(played.nodes))
	zone := played.zones[index%len(played.zones)]
	node := played.nodes[index]
	played.lastRepeatable = played.random.Float64() < played.repeatable
	engine := node.Pick(&backend.Request{Service: service, Zone: zone, Repeatable: played.lastRepeatable}, now.Add(at))
	outcome, took := played.answer(engine.ID, zone, at)
	if outcome == backend.NoResponse {
		played.plan(at+suspectAfter, func() {
			node.Suspect(engine, now.Add(at+suspectAfter))
			node.CountFailed(engine.Instance, now.Add(at+suspectAfter))
		})
	}
	played.plan(at+took, func() {
		node.EndFirstByteWait(engine)
		node.Finish(engine, outcome, now.Add(at+took))
		played.noted(engine.ID, zone, at+took, outcome)
	})
}

// share has all nodes hear what all have seen up to now.
func (played *replay) share(at time.Duration) {
	total := load.NewReport()
	reports := make([]load.Report, 0, len(played.nodes))
	for _, node := range played.nodes {
		report := node.EndsReport(now.Add(at))
		reports = append(reports, report)
		total.Add(report)
	}
	played.plan(at+shareAge, func() {
		for index, view := range played.views {
			view.Update(total, reports[index], shareAge, now.Add(at+shareAge))
		}
	})
}

// mostOpen is the most breakers that any node has open.
func (played *replay) mostOpen() int {
	most := 0
	for _, node := range played.nodes {
		most = max(most, node.OpenBreakers()[service])
	}
	return most
}

// planned is something to come.
type planned struct {
	at    time.Duration
	order int
	act   func()
}

// pending implements heap.Interface, the earliest first.
type pending []planned

func (due pending) Len() int { return len(due) }
func (due pending) Less(left, right int) bool {
	return cmp.Or(cmp.Compare(due[left].at, due[right].at), cmp.Compare(due[left].order, due[right].order)) < 0
}
func (due pending) Swap(left, right int) { due[left], due[right] = due[right], due[left] }
func (due *pending) Push(element any)    { *due = append(*due, element.(planned)) }
func (due *pending) Pop() any {
	last := len(*due) - 1
	removed := (*due)[last]
	*due = (*due)[:last]
	return removed
}

// tally counts ends by engine and by half second.
type tally struct {
	ends, bad map[string]int
	badAt     map[time.Duration]int
	served    map[string]int
}

func newTally() *tally {
	return &tally{ends: map[string]int{}, bad: map[string]int{}, badAt: map[time.Duration]int{}, served: map[string]int{}}
}

func (tally *tally) note(engine, _ string, at time.Duration, outcome backend.Outcome) {
	tally.ends[engine]++
	if outcome == backend.Succeeded {
		tally.served[engine]++
		return
	}
	tally.bad[engine]++
	tally.badAt[at.Truncate(500*time.Millisecond)]++
}

// badIn sums the bad ends in a span.
func (tally *tally) badIn(from, until time.Duration) int {
	sum := 0
	for at, count := range tally.badAt {
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
