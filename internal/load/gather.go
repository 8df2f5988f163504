package load

import (
	"math"
	"slices"
	"sync"
	"time"
)

// ReportTTL is how long what a node or a gatherer told counts. Parts come at least twice in
// that time, so that one lost message takes nothing out of the sum, and a node that is lost
// stays in it no longer than a view counts.
const ReportTTL = time.Second

// Aggregate is what several nodes have under way.
type Aggregate struct {
	Report Report
	// Nodes is the number of nodes in the report, Age the mean age of their parts: the
	// error of a sum grows with the mean, and a single lost node makes no sum useless.
	Nodes   int
	MeanAge time.Duration
}

// Origin names the message that a part came with.
type Origin struct {
	Node string
	Zone string
	// Sequence rises with each message of the node.
	Sequence int64
}

// part is the newest that one sender told.
type part struct {
	origin Origin
	sum    Aggregate
	heard  time.Time
}

// ageAt is the mean age of what the part holds.
func (part part) ageAt(now time.Time) time.Duration { return part.sum.MeanAge + now.Sub(part.heard) }

// Aggregator holds what the nodes of a zone told, and what other gatherers have gathered.
// Any node may be told; parts that nobody repeats are over soon. It is safe for concurrent
// use.
type Aggregator struct {
	zone  string
	mutex sync.Mutex
	// nodes are parts of single nodes, sums those of other gatherers, by their senders.
	nodes map[string]part
	sums  map[string]part
}

// NewAggregator returns a gatherer of a zone that was told nothing.
func NewAggregator(zone string) *Aggregator {
	return &Aggregator{zone: zone, nodes: map[string]part{}, sums: map[string]part{}}
}

// AddReport takes in what a node has under way. The gatherer keeps the report.
func (gatherer *Aggregator) AddReport(origin Origin, report Report, now time.Time) {
	gatherer.mutex.Lock()
	defer gatherer.mutex.Unlock()
	take(gatherer.nodes, part{origin: origin, sum: Aggregate{Report: report, Nodes: 1}, heard: now})
}

// AddAggregate takes in what another gatherer was told by nodes. The gatherer keeps the report.
func (gatherer *Aggregator) AddAggregate(origin Origin, sum Aggregate, now time.Time) {
	gatherer.mutex.Lock()
	defer gatherer.mutex.Unlock()
	take(gatherer.sums, part{origin: origin, sum: sum, heard: now})
}

// take keeps a part unless a newer one of its sender still counts.
func take(parts map[string]part, told part) {
	held, known := parts[told.origin.Node]
	if known && held.origin.Sequence >= told.origin.Sequence && told.heard.Sub(held.heard) <= ReportTTL {
		return
	}
	parts[told.origin.Node] = told
}

// expire drops the parts that are over. The caller holds the mutex.
func (gatherer *Aggregator) expire(now time.Time) {
	for _, parts := range []map[string]part{gatherer.nodes, gatherer.sums} {
		for name, held := range parts {
			if now.Sub(held.heard) > ReportTTL {
				delete(parts, name)
			}
		}
	}
}

// NodeCount returns the number of nodes that tell this gatherer what they have under way.
func (gatherer *Aggregator) NodeCount(now time.Time) int {
	gatherer.mutex.Lock()
	defer gatherer.mutex.Unlock()
	gatherer.expire(now)
	return len(gatherer.nodes)
}

// PeerAggregators returns the other gatherers that tell this one their sums.
func (gatherer *Aggregator) PeerAggregators(now time.Time) []string {
	gatherer.mutex.Lock()
	defer gatherer.mutex.Unlock()
	gatherer.expire(now)
	names := make([]string, 0, len(gatherer.sums))
	for name := range gatherer.sums {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ZoneTotal returns the sum of the nodes that this gatherer hears itself, for other gatherers.
func (gatherer *Aggregator) ZoneTotal(now time.Time) Aggregate {
	gatherer.mutex.Lock()
	defer gatherer.mutex.Unlock()
	gatherer.expire(now)
	sum := newSumming()
	for _, held := range gatherer.nodes {
		sum.add(held, held.sum.Nodes, now)
	}
	return sum.done()
}

// Total returns the sum over all nodes, and how many nodes of the gatherer's zone are in it.
// zones tells how many nodes each zone has: where sums of one zone overlap, since nodes
// left one gatherer for another, an older sum counts for the nodes only that newer ones
// leave, lest engines look twice as busy for as long as a part counts.
func (gatherer *Aggregator) Total(zones map[string]int, now time.Time) (Aggregate, int) {
	gatherer.mutex.Lock()
	defer gatherer.mutex.Unlock()
	gatherer.expire(now)
	sum := newSumming()
	counted := map[string]int{}
	for _, held := range gatherer.nodes {
		counted[gatherer.zone]++
		sum.add(held, held.sum.Nodes, now)
	}
	for _, held := range newestFirst(gatherer.sums) {
		zone := held.origin.Zone
		nodes := held.sum.Nodes
		if size := zones[zone]; size > 0 {
			nodes = min(nodes, max(size-counted[zone], 0))
		}
		counted[zone] += nodes
		sum.add(held, nodes, now)
	}
	return sum.done(), counted[gatherer.zone]
}

func newestFirst(parts map[string]part) []part {
	ordered := make([]part, 0, len(parts))
	for _, held := range parts {
		ordered = append(ordered, held)
	}
	slices.SortFunc(ordered, func(left, right part) int { return right.heard.Compare(left.heard) })
	return ordered
}

// summing is a sum in the making.
type summing struct {
	sum Aggregate
	// ages sums the ages of the nodes' parts.
	ages time.Duration
}

func newSumming() *summing { return &summing{sum: Aggregate{Report: NewReport()}} }

// add counts so many nodes of a part.
func (summing *summing) add(added part, nodes int, now time.Time) {
	if nodes <= 0 {
		return
	}
	report := added.sum.Report
	if nodes < added.sum.Nodes {
		report = report.scaled(float64(nodes) / float64(added.sum.Nodes))
	}
	summing.sum.Report.Add(report)
	summing.sum.Nodes += nodes
	summing.ages += time.Duration(nodes) * added.ageAt(now)
}

func (summing *summing) done() Aggregate {
	if summing.sum.Nodes > 0 {
		summing.sum.MeanAge = summing.ages / time.Duration(summing.sum.Nodes)
	}
	return summing.sum
}

// scaled returns a part of a report, as if only that share of its nodes had told.
func (report Report) scaled(share float64) Report {
	whole := func(count int) int { return int(math.Round(share * float64(count))) }
	scaled := NewReport()
	for id, engine := range report.Engines {
		scaled.Engines[id] = Engine{Running: whole(engine.Running), AwaitingFirstByte: whole(engine.AwaitingFirstByte), Succeeded: share * engine.Succeeded, Failed: share * engine.Failed}
	}
	for queue, calls := range report.Waiting {
		scaled.Waiting[queue] = whole(calls)
	}
	for name, route := range report.Routes {
		scaled.Routes[name] = Route{Service: route.Service, Priority: route.Priority, Programs: whole(route.Programs), Turns: whole(route.Turns),
			ProgramsStarted: share * route.ProgramsStarted, Refused: share * route.Refused, Late: share * route.Late, PromptTokens: int64(share * float64(route.PromptTokens))}
	}
	for holder, programs := range report.Tenants {
		scaled.Tenants[holder] = whole(programs)
	}
	return scaled
}
