package reach_test

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/reach"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

// at is a moment after the start, milliseconds.
func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

func TestACutZoneIsKnownWithinASecondAndItsReturnAtOnce(t *testing.T) {
	expect := NewWithT(t)
	zones := reach.NewZones("a")
	others := []string{"b", "c"}
	zones.RecordNodeResponse("b", start)
	zones.RecordNodeResponse("c", start)
	known := 0
	for now := 0; now <= 2000 && known == 0; now += 150 {
		zones.RecordNodeResponse("c", at(now)) // Goes on answering.
		if now == 150 {
			zones.RecordNodeFailure("b", at(now))
		}
		for _, due := range zones.ProbeTargets(others, false, at(now)) {
			expect.Expect(due).To(Equal("b"))
			zones.RecordProbeTimeout(due, at(now), at(now))
		}
		if !zones.Reachable("b", at(now)) {
			known = now
		}
	}
	expect.Expect(known).To(BeNumerically(">", 700))
	expect.Expect(known).To(BeNumerically("<=", 1000))
	expect.Expect(zones.Isolated(others, at(known))).To(BeFalse(), "the other zone answers")
	expect.Expect(zones.ProbeTargets(others, false, at(known+150))).To(Equal([]string{"b"}), "probed until it is back")
	zones.RecordNodeResponse("b", at(known+200))
	expect.Expect(zones.Reachable("b", at(known+200))).To(BeTrue())
}

func TestANodeThatHearsNoOtherZoneIsAlone(t *testing.T) {
	expect := NewWithT(t)
	zones := reach.NewZones("a")
	others := []string{"b", "c"}
	expect.Expect(zones.Isolated(nil, start)).To(BeFalse(), "there is no other zone")
	for now := 0; now <= 900; now += 150 {
		for _, due := range zones.ProbeTargets(others, true, at(now)) {
			zones.RecordProbeTimeout(due, at(now), at(now))
		}
	}
	expect.Expect(zones.Isolated(others, at(901))).To(BeTrue())
	zones.RecordNodeResponse("c", at(950))
	expect.Expect(zones.Isolated(others, at(951))).To(BeFalse())
}

func TestQuietZonesAreNeitherProbedNorTakenForCutOff(t *testing.T) {
	expect := NewWithT(t)
	zones := reach.NewZones("a")
	others := []string{"b"}
	zones.RecordNodeResponse("b", start)
	expect.Expect(zones.ProbeTargets(others, false, at(60_000))).To(BeEmpty(), "nothing failed there")
	expect.Expect(zones.Reachable("b", at(60_000))).To(BeTrue())
	zones.RecordNodeFailure("b", at(60_000))
	expect.Expect(zones.Reachable("b", at(60_001))).To(BeTrue(), "one call that fails is no cut")
	expect.Expect(zones.ProbeTargets(others, false, at(60_001))).To(Equal([]string{"b"}))
	zones.RecordNodeResponse("b", at(60_010))
	expect.Expect(zones.ProbeTargets(others, false, at(62_000))).To(BeEmpty())
}

func TestTheOwnZoneIsAlwaysReached(t *testing.T) {
	expect := NewWithT(t)
	zones := reach.NewZones("a")
	zones.RecordProbeTimeout("a", start, start)
	zones.RecordProbeTimeout("a", start, start)
	expect.Expect(zones.Reachable("a", at(5000))).To(BeTrue())
	expect.Expect(zones.ProbeTargets([]string{"a"}, true, at(5000))).To(BeEmpty())
}

func TestAZoneThatNobodyProbesAnyMoreCountsAsReached(t *testing.T) {
	expect := NewWithT(t)
	zones := reach.NewZones("a")
	zones.RecordProbeTimeout("b", start, start)
	zones.RecordProbeTimeout("b", at(200), at(200))
	expect.Expect(zones.Reachable("b", at(400))).To(BeFalse())
	expect.Expect(zones.Reachable("b", at(60_000))).To(BeTrue(), "its nodes have left; its engines may be well")
}
