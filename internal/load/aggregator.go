package load

import (
	"math"
	"slices"
	"sync"
	"time"
)

// ReportTTL is how long a node's report or another aggregator's total is valid. Messages arrive
// at least twice in that time, so that a single lost message does not matter, and the load of a
// failed node is not counted for longer than a view is valid.
const ReportTTL = time.Second

// Aggregate is the total load of several nodes.
type Aggregate struct {
	Report Report
	// Nodes is the number of nodes in the report, MeanAge the mean age of their reports. The
	// mean bounds the error of the total, and a single failed node affects it little.
	Nodes   int
	MeanAge time.Duration
}

// Origin identifies the message that carried a report.
type Origin struct {
	Node string
	Zone string
	// Sequence increases with each message of the node.
	Sequence int64
}

// contribution is the latest message of one sender.
type contribution struct {
	origin     Origin
	aggregate  Aggregate
	receivedAt time.Time
}

// meanAgeAt returns the mean age of the reports in the contribution.
func (contribution contribution) meanAgeAt(now time.Time) time.Duration {
	return contribution.aggregate.MeanAge + now.Sub(contribution.receivedAt)
}

// Aggregator holds the reports of a zone's nodes and the totals of other aggregators. Any node
// may act as one; contributions that are not renewed expire. It is safe for concurrent use.
type Aggregator struct {
	zone  string
	mutex sync.Mutex
	// nodes are the contributions of single nodes, aggregates those of other aggregators, by
	// sender.
	nodes      map[string]contribution
	aggregates map[string]contribution
}

// NewAggregator returns an aggregator of a zone without contributions.
func NewAggregator(zone string) *Aggregator {
	return &Aggregator{zone: zone, nodes: map[string]contribution{}, aggregates: map[string]contribution{}}
}

// AddReport adds a node's report. The caller must not modify the report afterwards.
func (aggregator *Aggregator) AddReport(origin Origin, report Report, now time.Time) {
	aggregator.mutex.Lock()
	defer aggregator.mutex.Unlock()
	keepNewest(aggregator.nodes, contribution{origin: origin, aggregate: Aggregate{Report: report, Nodes: 1}, receivedAt: now})
}

// AddAggregate adds the total of the nodes that report to another aggregator. The caller must
// not modify it afterwards.
func (aggregator *Aggregator) AddAggregate(origin Origin, aggregate Aggregate, now time.Time) {
	aggregator.mutex.Lock()
	defer aggregator.mutex.Unlock()
	keepNewest(aggregator.aggregates, contribution{origin: origin, aggregate: aggregate, receivedAt: now})
}

// keepNewest stores a contribution unless a newer one of its sender is still valid.
func keepNewest(contributions map[string]contribution, received contribution) {
	entry, known := contributions[received.origin.Node]
	if known && entry.origin.Sequence >= received.origin.Sequence && received.receivedAt.Sub(entry.receivedAt) <= ReportTTL {
		return
	}
	contributions[received.origin.Node] = received
}

// expire drops contributions older than ReportTTL. The caller holds the mutex.
func (aggregator *Aggregator) expire(now time.Time) {
	for _, contributions := range []map[string]contribution{aggregator.nodes, aggregator.aggregates} {
		for name, entry := range contributions {
			if now.Sub(entry.receivedAt) > ReportTTL {
				delete(contributions, name)
			}
		}
	}
}

// NodeCount returns the number of nodes that report to this aggregator.
func (aggregator *Aggregator) NodeCount(now time.Time) int {
	aggregator.mutex.Lock()
	defer aggregator.mutex.Unlock()
	aggregator.expire(now)
	return len(aggregator.nodes)
}

// PeerAggregators returns the names of the other aggregators that send their totals to this
// one.
func (aggregator *Aggregator) PeerAggregators(now time.Time) []string {
	aggregator.mutex.Lock()
	defer aggregator.mutex.Unlock()
	aggregator.expire(now)
	names := make([]string, 0, len(aggregator.aggregates))
	for name := range aggregator.aggregates {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// ZoneTotal returns the total of the nodes that report to this aggregator, for other
// aggregators.
func (aggregator *Aggregator) ZoneTotal(now time.Time) Aggregate {
	aggregator.mutex.Lock()
	defer aggregator.mutex.Unlock()
	aggregator.expire(now)
	total := newAccumulator()
	for _, entry := range aggregator.nodes {
		total.add(entry, entry.aggregate.Nodes, now)
	}
	return total.result()
}

// Total returns the total over all nodes, and how many nodes of the aggregator's zone it
// includes. zones holds the number of nodes of each zone. When nodes move from one aggregator
// to another, totals of one zone overlap; an older total then counts only for the nodes that
// newer totals do not account for, so that load is not counted twice.
func (aggregator *Aggregator) Total(zones map[string]int, now time.Time) (Aggregate, int) {
	aggregator.mutex.Lock()
	defer aggregator.mutex.Unlock()
	aggregator.expire(now)
	total := newAccumulator()
	counted := map[string]int{}
	for _, entry := range aggregator.nodes {
		counted[aggregator.zone]++
		total.add(entry, entry.aggregate.Nodes, now)
	}
	for _, entry := range newestFirst(aggregator.aggregates) {
		zone := entry.origin.Zone
		nodes := entry.aggregate.Nodes
		if size := zones[zone]; size > 0 {
			nodes = min(nodes, max(size-counted[zone], 0))
		}
		counted[zone] += nodes
		total.add(entry, nodes, now)
	}
	return total.result(), counted[aggregator.zone]
}

func newestFirst(contributions map[string]contribution) []contribution {
	ordered := make([]contribution, 0, len(contributions))
	for _, entry := range contributions {
		ordered = append(ordered, entry)
	}
	slices.SortFunc(ordered, func(left, right contribution) int { return right.receivedAt.Compare(left.receivedAt) })
	return ordered
}

// accumulator sums contributions.
type accumulator struct {
	total Aggregate
	// ages is the sum of the ages of the nodes' reports.
	ages time.Duration
}

func newAccumulator() *accumulator { return &accumulator{total: Aggregate{Report: NewReport()}} }

// add adds a contribution, in proportion if nodes is less than its number of nodes.
func (accumulator *accumulator) add(added contribution, nodes int, now time.Time) {
	if nodes <= 0 {
		return
	}
	report := added.aggregate.Report
	if nodes < added.aggregate.Nodes {
		report = report.scaled(float64(nodes) / float64(added.aggregate.Nodes))
	}
	accumulator.total.Report.Add(report)
	accumulator.total.Nodes += nodes
	accumulator.ages += time.Duration(nodes) * added.meanAgeAt(now)
}

func (accumulator *accumulator) result() Aggregate {
	if accumulator.total.Nodes > 0 {
		accumulator.total.MeanAge = accumulator.ages / time.Duration(accumulator.total.Nodes)
	}
	return accumulator.total
}

// scaled returns the report multiplied by a fraction.
func (report Report) scaled(fraction float64) Report {
	round := func(count int) int { return int(math.Round(fraction * float64(count))) }
	result := NewReport()
	for id, engine := range report.Engines {
		result.Engines[id] = Engine{Running: round(engine.Running), AwaitingFirstByte: round(engine.AwaitingFirstByte), Succeeded: fraction * engine.Succeeded, Failed: fraction * engine.Failed}
	}
	for queue, calls := range report.Waiting {
		result.Waiting[queue] = round(calls)
	}
	for name, route := range report.Routes {
		result.Routes[name] = Route{Service: route.Service, Priority: route.Priority, Programs: round(route.Programs), Turns: round(route.Turns),
			ProgramsStarted: fraction * route.ProgramsStarted, Refused: fraction * route.Refused, Late: fraction * route.Late, PromptTokens: int64(fraction * float64(route.PromptTokens))}
	}
	for key, programs := range report.Tenants {
		result.Tenants[key] = round(programs)
	}
	return result
}
