package reach_test

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/reach"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

// at returns the time that many milliseconds after start.
func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

func TestUnreachableZoneIsDetectedWithinASecondAndItsRecoveryAtOnce(t *testing.T) {
	expect := NewWithT(t)
	zones := reach.NewZones("a")
	others := []string{"b", "c"}
	zones.RecordNodeResponse("b", start)
	zones.RecordNodeResponse("c", start)
	detected := 0
	for now := 0; now <= 2000 && detected == 0; now += 150 {
		zones.RecordNodeResponse("c", at(now))
		if now == 150 {
			zones.RecordNodeFailure("b", at(now))
		}
		for _, target := range zones.ProbeTargets(others, false, at(now)) {
			expect.Expect(target).To(Equal("b"))
			zones.RecordProbeTimeout(target, at(now), at(now))
		}
		if !zones.Reachable("b", at(now)) {
			detected = now
		}
	}
	expect.Expect(detected).To(BeNumerically(">", 700))
	expect.Expect(detected).To(BeNumerically("<=", 1000))
	expect.Expect(zones.Isolated(others, at(detected))).To(BeFalse(), "zone c responds")
	expect.Expect(zones.ProbeTargets(others, false, at(detected+150))).To(Equal([]string{"b"}), "probed until it responds again")
	zones.RecordNodeResponse("b", at(detected+200))
	expect.Expect(zones.Reachable("b", at(detected+200))).To(BeTrue())
}

func TestNodeWithoutReachableRemoteZonesIsIsolated(t *testing.T) {
	expect := NewWithT(t)
	zones := reach.NewZones("a")
	others := []string{"b", "c"}
	expect.Expect(zones.Isolated(nil, start)).To(BeFalse(), "there are no remote zones")
	for now := 0; now <= 900; now += 150 {
		for _, target := range zones.ProbeTargets(others, true, at(now)) {
			zones.RecordProbeTimeout(target, at(now), at(now))
		}
	}
	expect.Expect(zones.Isolated(others, at(901))).To(BeTrue())
	zones.RecordNodeResponse("c", at(950))
	expect.Expect(zones.Isolated(others, at(951))).To(BeFalse())
}

func TestZonesWithoutTrafficAreNeitherProbedNorUnreachable(t *testing.T) {
	expect := NewWithT(t)
	zones := reach.NewZones("a")
	others := []string{"b"}
	zones.RecordNodeResponse("b", start)
	expect.Expect(zones.ProbeTargets(others, false, at(60_000))).To(BeEmpty(), "no call failed there")
	expect.Expect(zones.Reachable("b", at(60_000))).To(BeTrue())
	zones.RecordNodeFailure("b", at(60_000))
	expect.Expect(zones.Reachable("b", at(60_001))).To(BeTrue(), "a single failed call is no partition")
	expect.Expect(zones.ProbeTargets(others, false, at(60_001))).To(Equal([]string{"b"}))
	zones.RecordNodeResponse("b", at(60_010))
	expect.Expect(zones.ProbeTargets(others, false, at(62_000))).To(BeEmpty())
}

func TestLocalZoneIsAlwaysReachable(t *testing.T) {
	expect := NewWithT(t)
	zones := reach.NewZones("a")
	zones.RecordProbeTimeout("a", start, start)
	zones.RecordProbeTimeout("a", start, start)
	expect.Expect(zones.Reachable("a", at(5000))).To(BeTrue())
	expect.Expect(zones.ProbeTargets([]string{"a"}, true, at(5000))).To(BeEmpty())
}

func TestZoneThatIsNoLongerProbedCountsAsReachable(t *testing.T) {
	expect := NewWithT(t)
	zones := reach.NewZones("a")
	zones.RecordProbeTimeout("b", start, start)
	zones.RecordProbeTimeout("b", at(200), at(200))
	expect.Expect(zones.Reachable("b", at(400))).To(BeFalse())
	expect.Expect(zones.Reachable("b", at(60_000))).To(BeTrue(), "its nodes have left, but its engines may be healthy")
}
