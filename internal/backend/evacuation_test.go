package backend_test

import (
	"testing"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/region"
	. "github.com/onsi/gomega"
)

// newTwoZoneDirectory returns a directory with one engine in each of two zones.
func newTwoZoneDirectory() *backend.Directory {
	directory := backend.NewDirectory()
	directory.Upsert(backend.Instance{ID: "a1", Service: service, Zone: "a", Slots: 4}, now)
	directory.Upsert(backend.Instance{ID: "b1", Service: service, Zone: "b", Slots: 4}, now)
	return directory
}

func TestEvacuatedZoneGetsNoNewRequests(t *testing.T) {
	expect := NewWithT(t)
	directory := newTwoZoneDirectory()
	request := &backend.Request{Service: service, Zone: "a", Assigned: "a1"}
	running := directory.Pick(request, now)
	expect.Expect(running.ID).To(Equal("a1"))

	expect.Expect(directory.SetEvacuated("a", true)).To(BeTrue())
	expect.Expect(directory.SetEvacuated("a", true)).To(BeFalse(), "already evacuated")
	expect.Expect(directory.Pick(request, now).ID).To(Equal("b1"), "sessions move with their next turn")
	expect.Expect(directory.Healthy(service, nil, now)).To(HaveLen(1), "owners assign no engine there")
	_, found := directory.Instance("a1")
	expect.Expect(found).To(BeFalse(), "other nodes' requests are not sent there either")
	expect.Expect(directory.Capacities(now)[0].Slots).To(Equal(4), "admission uses the remaining capacity")
	request.Tried = []string{"b1"}
	expect.Expect(directory.Pick(request, now)).To(BeNil(), "even if no other engine is left")
	directory.Finish(running, backend.Succeeded, now)

	expect.Expect(directory.SetEvacuated("a", false)).To(BeTrue())
	expect.Expect(directory.Pick(request, now).ID).To(Equal("a1"))
}

func TestNewEngineInEvacuatedZoneIsNotEligible(t *testing.T) {
	expect := NewWithT(t)
	directory := newTwoZoneDirectory()
	directory.SetEvacuated("a", true)
	directory.Upsert(backend.Instance{ID: "a2", Service: service, Zone: "a", Slots: 4}, now)
	expect.Expect(directory.EligibleCount(service)).To(Equal(1))
}

func TestNoneAvailable(t *testing.T) {
	expect := NewWithT(t)
	directory := newTwoZoneDirectory()
	expect.Expect(directory.NoneAvailable(service, nil)).To(BeFalse())
	expect.Expect(directory.NoneAvailable(service, region.ZoneSet{"c"})).To(BeTrue())
	expect.Expect(directory.NoneAvailable("unknown", nil)).To(BeFalse(), "its engines may not be known yet")
	directory.SetEvacuated("a", true)
	expect.Expect(directory.NoneAvailable(service, nil)).To(BeFalse())
	expect.Expect(directory.NoneAvailable(service, region.ZoneSet{"a"})).To(BeTrue())
	directory.SetEvacuated("b", true)
	expect.Expect(directory.NoneAvailable(service, nil)).To(BeTrue())
}

func TestRequestStaysInItsZones(t *testing.T) {
	expect := NewWithT(t)
	directory := newTwoZoneDirectory()
	request := &backend.Request{Service: service, Zone: "a", Assigned: "a1", Zones: region.ZoneSet{"b"}}
	for range 4 {
		expect.Expect(directory.Pick(request, now).ID).To(Equal("b1"))
	}
	expect.Expect(directory.Healthy(service, request.Zones, now)).To(HaveLen(1))
	request.Tried = []string{"b1"}
	expect.Expect(directory.Pick(request, now)).To(BeNil(), "never in other zones")
}
