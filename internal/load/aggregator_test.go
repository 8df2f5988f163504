package load_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/load"
	. "github.com/onsi/gomega"
)

// nodeOrigin returns the origin of a message of a node in zone a.
func nodeOrigin(node string, sequence int64) load.Origin {
	return load.Origin{Node: node, Zone: "a", Sequence: sequence}
}

// aggregatorOrigin returns the origin of a message of an aggregator of a zone.
func aggregatorOrigin(node, zone string, sequence int64) load.Origin {
	return load.Origin{Node: node, Zone: zone, Sequence: sequence}
}

// aggregateOf returns the total of some nodes' requests at engine e.
func aggregateOf(running, nodes int, age time.Duration) load.Aggregate {
	return load.Aggregate{Report: reportOf("e", running), Nodes: nodes, MeanAge: age}
}

// reportAll reports one request from each of a range of nodes in zone a.
func reportAll(aggregator *load.Aggregator, first, count int, at time.Time) {
	for number := first; number < first+count; number++ {
		aggregator.AddReport(nodeOrigin("n"+strconv.Itoa(number), at.UnixMicro()), reportOf("e", 1), at)
	}
}

var zones = map[string]int{"a": 4, "b": 10}

func TestAggregatorSumsNodesAndOtherZones(t *testing.T) {
	expect := NewWithT(t)
	aggregator := load.NewAggregator("a")
	reportAll(aggregator, 0, 4, now)
	aggregator.AddAggregate(aggregatorOrigin("b1", "b", 1), aggregateOf(20, 10, 100*time.Millisecond), now)

	total, zoneNodes := aggregator.Total(zones, now.Add(140*time.Millisecond))
	expect.Expect(total.Report.Engines["e"].Running).To(Equal(24))
	expect.Expect(total.Nodes).To(Equal(14))
	expect.Expect(zoneNodes).To(Equal(4))
	expect.Expect(total.MeanAge).To(Equal((4*140*time.Millisecond + 10*240*time.Millisecond) / 14))
	expect.Expect(aggregator.ZoneTotal(now).Report.Engines["e"].Running).To(Equal(4), "other aggregators send their own totals")
	expect.Expect(aggregator.PeerAggregators(now)).To(Equal([]string{"b1"}))
}

func TestRepeatedAndOutdatedMessagesAreIgnored(t *testing.T) {
	expect := NewWithT(t)
	aggregator := load.NewAggregator("a")
	running := func(at time.Time) int {
		total, _ := aggregator.Total(zones, at)
		return total.Report.Engines["e"].Running
	}
	aggregator.AddReport(nodeOrigin("n", 2), reportOf("e", 5), now)
	aggregator.AddReport(nodeOrigin("n", 2), reportOf("e", 5), now)
	expect.Expect(running(now)).To(Equal(5))
	aggregator.AddReport(nodeOrigin("n", 1), reportOf("e", 9), now.Add(100*time.Millisecond))
	expect.Expect(running(now.Add(100 * time.Millisecond))).To(Equal(5))
	aggregator.AddAggregate(aggregatorOrigin("b1", "b", 7), aggregateOf(20, 10, 0), now)
	aggregator.AddAggregate(aggregatorOrigin("b1", "b", 6), aggregateOf(99, 10, 0), now)
	expect.Expect(running(now)).To(Equal(25))
}

func TestRestartedSequenceIsAcceptedAfterExpiry(t *testing.T) {
	expect := NewWithT(t)
	aggregator := load.NewAggregator("a")
	aggregator.AddReport(nodeOrigin("n", 100), reportOf("e", 5), now)
	later := now.Add(load.ReportTTL + time.Millisecond)
	aggregator.AddReport(nodeOrigin("n", 1), reportOf("e", 1), later)
	total, _ := aggregator.Total(zones, later)
	expect.Expect(total.Report.Engines["e"].Running).To(Equal(1))
}

func TestLostMessageIsToleratedAndFailedNodeExpires(t *testing.T) {
	expect := NewWithT(t)
	aggregator := load.NewAggregator("a")
	reportAll(aggregator, 0, 4, now)
	later := now.Add(load.ReportTTL / 2)
	reportAll(aggregator, 0, 3, later)
	total, zoneNodes := aggregator.Total(zones, later)
	expect.Expect(zoneNodes).To(Equal(4))
	expect.Expect(total.Report.Engines["e"].Running).To(Equal(4))
	total, zoneNodes = aggregator.Total(zones, now.Add(load.ReportTTL+time.Millisecond))
	expect.Expect(zoneNodes).To(Equal(3))
	expect.Expect(total.Report.Engines["e"].Running).To(Equal(3))
	expect.Expect(aggregator.NodeCount(later.Add(load.ReportTTL + time.Millisecond))).To(BeZero())
}

func TestFailedNodeHardlyRaisesMeanAge(t *testing.T) {
	expect := NewWithT(t)
	aggregator := load.NewAggregator("a")
	reportAll(aggregator, 0, 20, now)
	last := now.Add(900 * time.Millisecond)
	reportAll(aggregator, 1, 19, last)
	total, _ := aggregator.Total(nil, last)
	expect.Expect(total.Nodes).To(Equal(20))
	expect.Expect(total.MeanAge).To(BeNumerically("<", 100*time.Millisecond))
}

// Guards against counting nodes twice after their aggregator failed: until its last total
// expires, they are included in that of the new aggregator too.
func TestNodesMovingBetweenAggregatorsCountOnce(t *testing.T) {
	expect := NewWithT(t)
	aggregator := load.NewAggregator("a")
	aggregator.AddAggregate(aggregatorOrigin("b1", "b", 1), aggregateOf(30, 10, 0), now)
	for _, moved := range []int{2, 5, 10} {
		at := now.Add(time.Duration(moved) * 50 * time.Millisecond)
		aggregator.AddAggregate(aggregatorOrigin("b2", "b", int64(moved)), aggregateOf(3*moved, moved, 0), at)
		total, _ := aggregator.Total(zones, at)
		expect.Expect(total.Report.Engines["e"].Running).To(Equal(30), "after %d moved", moved)
		expect.Expect(total.Nodes).To(Equal(10))
	}
}

func TestTotalIncludesOtherAggregatorOfZone(t *testing.T) {
	expect := NewWithT(t)
	first, second := load.NewAggregator("a"), load.NewAggregator("a")
	reportAll(first, 0, 3, now)
	reportAll(second, 3, 1, now)
	first.AddAggregate(aggregatorOrigin("second", "a", 1), second.ZoneTotal(now), now)
	second.AddAggregate(aggregatorOrigin("first", "a", 1), first.ZoneTotal(now), now)
	for _, aggregator := range []*load.Aggregator{first, second} {
		total, zoneNodes := aggregator.Total(zones, now)
		expect.Expect(total.Report.Engines["e"].Running).To(Equal(4))
		expect.Expect(zoneNodes).To(Equal(4))
	}
}

func TestIsolatedZoneExpires(t *testing.T) {
	expect := NewWithT(t)
	aggregator := load.NewAggregator("a")
	reportAll(aggregator, 0, 4, now)
	aggregator.AddAggregate(aggregatorOrigin("b1", "b", 1), aggregateOf(30, 10, 0), now)
	later := now.Add(load.ReportTTL + time.Millisecond)
	reportAll(aggregator, 0, 4, later)
	total, zoneNodes := aggregator.Total(zones, later)
	expect.Expect(total.Report.Engines["e"].Running).To(Equal(4))
	expect.Expect(zoneNodes).To(Equal(4))
	expect.Expect(aggregator.PeerAggregators(later)).To(BeEmpty())
}
