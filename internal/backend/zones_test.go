package backend_test

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/reach"
	. "github.com/onsi/gomega"
)

func TestUnreachableZoneIsLastResort(t *testing.T) {
	expect := NewWithT(t)
	now := time.Unix(1000, 0)
	zones := reach.NewZones("a")
	directory := backend.NewDirectory()
	directory.SetZones(zones)
	directory.Upsert(backend.Instance{ID: "near", Service: "s", Zone: "a"}, time.Time{})
	directory.Upsert(backend.Instance{ID: "far", Service: "s", Zone: "b"}, time.Time{})
	request := &backend.Request{Service: "s", Zone: "b", Assigned: "far"}
	expect.Expect(directory.Pick(request, now).ID).To(Equal("far"))
	zones.RecordProbeTimeout("b", now, now)
	zones.RecordProbeTimeout("b", now, now)
	expect.Expect(directory.Pick(request, now).ID).To(Equal("near"))
	expect.Expect(directory.Healthy("s", nil, now)).To(HaveLen(1), "owners assign no engine there")
	request.Tried = []string{"near"}
	expect.Expect(directory.Pick(request, now).ID).To(Equal("far"), "last resort")

	engine := directory.Pick(&backend.Request{Service: "s", Tried: []string{"near"}}, now)
	directory.Finish(engine, backend.Succeeded, now.Add(time.Second))
	expect.Expect(zones.Reachable("b", now.Add(time.Second))).To(BeTrue(), "an engine there responds")
}

func TestUnreachableZoneHasNoFreeCapacity(t *testing.T) {
	expect := NewWithT(t)
	now := time.Unix(1000, 0)
	zones := reach.NewZones("a")
	directory := backend.NewDirectory()
	directory.SetZones(zones)
	directory.Upsert(backend.Instance{ID: "near", Service: "s", Zone: "a", Slots: 3}, time.Time{})
	directory.Upsert(backend.Instance{ID: "far", Service: "s", Zone: "b", Slots: 3}, time.Time{})
	zones.RecordProbeTimeout("b", now, now)
	zones.RecordProbeTimeout("b", now, now)
	request := &backend.Request{Service: "s", Zone: "a"}
	for directory.Pick(request, now) != nil {
		expect.Expect(directory.Running()["near"]).To(BeNumerically("<", 10))
	}
	expect.Expect(directory.Running()).NotTo(HaveKey("far"))
	expect.Expect(directory.FreeCapacity("s", now)).To(BeZero(), "a woken call would find no engine")
}

func TestCapacitiesExcludeUnreachableZones(t *testing.T) {
	expect := NewWithT(t)
	now := time.Unix(1000, 0)
	zones := reach.NewZones("a")
	directory := backend.NewDirectory()
	directory.SetZones(zones)
	directory.Upsert(backend.Instance{ID: "near", Service: "s", Zone: "a", Slots: 3}, time.Time{})
	directory.Upsert(backend.Instance{ID: "far", Service: "s", Zone: "b", Slots: 5}, time.Time{})
	expect.Expect(directory.Capacities(now)[0].Slots).To(Equal(8))
	zones.RecordProbeTimeout("b", now, now)
	zones.RecordProbeTimeout("b", now, now)
	expect.Expect(directory.Capacities(now)[0].Slots).To(Equal(3))
}

func TestUnreachableZoneGetsNoBreakerProbes(t *testing.T) {
	expect := NewWithT(t)
	now := time.Unix(1000, 0)
	zones := reach.NewZones("a")
	directory := backend.NewDirectory()
	directory.SetZones(zones)
	for id, zone := range map[string]string{"near-1": "a", "near-2": "a", "far": "b"} {
		directory.Upsert(backend.Instance{ID: id, Service: "s", Zone: zone, Slots: 3}, time.Time{})
	}
	var sent []*backend.Engine
	for range 3 {
		sent = append(sent, directory.Pick(&backend.Request{Service: "s", Assigned: "far"}, now))
	}
	for _, engine := range sent {
		expect.Expect(engine.ID).To(Equal("far"))
		directory.EndFirstByteWait(engine)
		directory.Finish(engine, backend.EngineError, now)
	}
	expect.Expect(directory.Healthy("s", nil, now)).To(HaveLen(2))
	later := now.Add(900 * time.Millisecond)
	zones.RecordProbeTimeout("b", later, later)
	zones.RecordProbeTimeout("b", later, later)
	expect.Expect(zones.Reachable("b", later)).To(BeFalse())
	expect.Expect(directory.OpenBreakers()["s"]).To(Equal(1))
	expect.Expect(directory.Pick(&backend.Request{Service: "s", Repeatable: true}, later).ID).NotTo(Equal("far"))
}
