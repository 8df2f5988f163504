package load_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/load"
	. "github.com/onsi/gomega"
)

// from names the message of a node of zone a.
func from(node string, sequence int64) load.Origin {
	return load.Origin{Node: node, Zone: "a", Sequence: sequence}
}

// sumFrom names the message of a gatherer of a zone.
func sumFrom(node, zone string, sequence int64) load.Origin {
	return load.Origin{Node: node, Zone: zone, Sequence: sequence}
}

// sumOf is a sum of some nodes' requests at engine e.
func sumOf(running, nodes int, age time.Duration) load.Aggregate {
	return load.Aggregate{Report: reportOf("e", running), Nodes: nodes, MeanAge: age}
}

// tellAll has nodes of zone a tell one request each.
func tellAll(gatherer *load.Aggregator, first, count int, at time.Time) {
	for number := first; number < first+count; number++ {
		gatherer.AddReport(from("n"+strconv.Itoa(number), at.UnixMicro()), reportOf("e", 1), at)
	}
}

var zones = map[string]int{"a": 4, "b": 10}

func TestAGathererSumsNodesAndOtherZones(t *testing.T) {
	expect := NewWithT(t)
	gatherer := load.NewAggregator("a")
	tellAll(gatherer, 0, 4, now)
	gatherer.AddAggregate(sumFrom("b1", "b", 1), sumOf(20, 10, 100*time.Millisecond), now)

	total, zoneNodes := gatherer.Total(zones, now.Add(140*time.Millisecond))
	expect.Expect(total.Report.Engines["e"].Running).To(Equal(24))
	expect.Expect(total.Nodes).To(Equal(14))
	expect.Expect(zoneNodes).To(Equal(4))
	expect.Expect(total.MeanAge).To(Equal((4*140*time.Millisecond + 10*240*time.Millisecond) / 14))
	expect.Expect(gatherer.ZoneTotal(now).Report.Engines["e"].Running).To(Equal(4), "other gatherers tell theirs themselves")
	expect.Expect(gatherer.PeerAggregators(now)).To(Equal([]string{"b1"}))
}

func TestRepeatedAndLateMessagesChangeNothing(t *testing.T) {
	expect := NewWithT(t)
	gatherer := load.NewAggregator("a")
	running := func(at time.Time) int {
		total, _ := gatherer.Total(zones, at)
		return total.Report.Engines["e"].Running
	}
	gatherer.AddReport(from("n", 2), reportOf("e", 5), now)
	gatherer.AddReport(from("n", 2), reportOf("e", 5), now)
	expect.Expect(running(now)).To(Equal(5))
	gatherer.AddReport(from("n", 1), reportOf("e", 9), now.Add(100*time.Millisecond))
	expect.Expect(running(now.Add(100 * time.Millisecond))).To(Equal(5))
	gatherer.AddAggregate(sumFrom("b1", "b", 7), sumOf(20, 10, 0), now)
	gatherer.AddAggregate(sumFrom("b1", "b", 6), sumOf(99, 10, 0), now)
	expect.Expect(running(now)).To(Equal(25))
}

func TestANodeWhoseNumbersBeganAnewIsHeardOnceItsPartIsOver(t *testing.T) {
	expect := NewWithT(t)
	gatherer := load.NewAggregator("a")
	gatherer.AddReport(from("n", 100), reportOf("e", 5), now)
	later := now.Add(load.ReportTTL + time.Millisecond)
	gatherer.AddReport(from("n", 1), reportOf("e", 1), later)
	total, _ := gatherer.Total(zones, later)
	expect.Expect(total.Report.Engines["e"].Running).To(Equal(1))
}

func TestALostMessageTakesNothingAndALostNodeLeavesTheSum(t *testing.T) {
	expect := NewWithT(t)
	gatherer := load.NewAggregator("a")
	tellAll(gatherer, 0, 4, now)
	later := now.Add(load.ReportTTL / 2)
	tellAll(gatherer, 0, 3, later)
	total, zoneNodes := gatherer.Total(zones, later)
	expect.Expect(zoneNodes).To(Equal(4))
	expect.Expect(total.Report.Engines["e"].Running).To(Equal(4))
	total, zoneNodes = gatherer.Total(zones, now.Add(load.ReportTTL+time.Millisecond))
	expect.Expect(zoneNodes).To(Equal(3))
	expect.Expect(total.Report.Engines["e"].Running).To(Equal(3))
	expect.Expect(gatherer.NodeCount(later.Add(load.ReportTTL + time.Millisecond))).To(BeZero())
}

func TestOneLostNodeMakesNoSumOld(t *testing.T) {
	expect := NewWithT(t)
	gatherer := load.NewAggregator("a")
	tellAll(gatherer, 0, 20, now)
	last := now.Add(900 * time.Millisecond)
	tellAll(gatherer, 1, 19, last)
	total, _ := gatherer.Total(nil, last)
	expect.Expect(total.Nodes).To(Equal(20))
	expect.Expect(total.MeanAge).To(BeNumerically("<", 100*time.Millisecond))
}

// The gatherer of zone b is lost, and its ten nodes come to another one within a few
// hundred milliseconds: until the former one's sum is over, they are in both.
func TestNodesThatMoveToAnotherGathererCountOnce(t *testing.T) {
	expect := NewWithT(t)
	gatherer := load.NewAggregator("a")
	gatherer.AddAggregate(sumFrom("b1", "b", 1), sumOf(30, 10, 0), now)
	for _, moved := range []int{2, 5, 10} {
		at := now.Add(time.Duration(moved) * 50 * time.Millisecond)
		gatherer.AddAggregate(sumFrom("b2", "b", int64(moved)), sumOf(3*moved, moved, 0), at)
		total, _ := gatherer.Total(zones, at)
		expect.Expect(total.Report.Engines["e"].Running).To(Equal(30), "after %d moved", moved)
		expect.Expect(total.Nodes).To(Equal(10))
	}
}

func TestTwoGatherersOfAZoneAtOnceAddUp(t *testing.T) {
	expect := NewWithT(t)
	first, second := load.NewAggregator("a"), load.NewAggregator("a")
	tellAll(first, 0, 3, now)
	tellAll(second, 3, 1, now)
	first.AddAggregate(sumFrom("second", "a", 1), second.ZoneTotal(now), now)
	second.AddAggregate(sumFrom("first", "a", 1), first.ZoneTotal(now), now)
	for _, gatherer := range []*load.Aggregator{first, second} {
		total, zoneNodes := gatherer.Total(zones, now)
		expect.Expect(total.Report.Engines["e"].Running).To(Equal(4))
		expect.Expect(zoneNodes).To(Equal(4))
	}
}

func TestAZoneThatIsCutOffLeavesTheSum(t *testing.T) {
	expect := NewWithT(t)
	gatherer := load.NewAggregator("a")
	tellAll(gatherer, 0, 4, now)
	gatherer.AddAggregate(sumFrom("b1", "b", 1), sumOf(30, 10, 0), now)
	later := now.Add(load.ReportTTL + time.Millisecond)
	tellAll(gatherer, 0, 4, later)
	total, zoneNodes := gatherer.Total(zones, later)
	expect.Expect(total.Report.Engines["e"].Running).To(Equal(4))
	expect.Expect(zoneNodes).To(Equal(4))
	expect.Expect(gatherer.PeerAggregators(later)).To(BeEmpty())
}
