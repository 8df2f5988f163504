package backend_test

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/reach"
	. "github.com/onsi/gomega"
)

func TestStatusesListAvoidReasons(t *testing.T) {
	expect := NewWithT(t)
	now := time.Unix(1000, 0)
	zones := reach.NewZones("a")
	directory := backend.NewDirectory()
	directory.SetZones(zones)
	for _, id := range []string{"idle", "failing", "full", "silent", "reported"} {
		directory.Upsert(backend.Instance{ID: id, Service: "s", Zone: "a", Slots: 2}, time.Time{})
	}
	directory.Upsert(backend.Instance{ID: "leaving", Service: "s", Zone: "a", Draining: true}, time.Time{})
	directory.Upsert(backend.Instance{ID: "far", Service: "t", Zone: "b"}, time.Time{})
	pick := func(id string) *backend.Engine {
		engine := directory.Pick(&backend.Request{Service: "s", Assigned: id}, now)
		expect.Expect(engine.ID).To(Equal(id))
		return engine
	}
	failing, full, silent := pick("failing"), pick("full"), pick("silent")
	directory.Finish(failing, backend.Unreachable, now)
	directory.Finish(full, backend.Full, now)
	directory.Suspect(silent, now)
	zones.RecordProbeTimeout("b", now, now)
	zones.RecordProbeTimeout("b", now, now)

	byID := func() map[string]backend.Status {
		found := map[string]backend.Status{}
		for _, status := range directory.Statuses(now) {
			found[status.ID] = status
		}
		return found
	}
	statuses := byID()
	expect.Expect(statuses).To(HaveLen(7))
	expect.Expect(statuses["idle"].AvoidReasons).To(BeEmpty())
	expect.Expect(statuses["failing"].AvoidReasons).To(Equal([]backend.AvoidReason{backend.AvoidFailures}))
	expect.Expect(statuses["full"].AvoidReasons).To(Equal([]backend.AvoidReason{backend.AvoidFull}))
	expect.Expect(statuses["silent"].AvoidReasons).To(Equal([]backend.AvoidReason{backend.AvoidNoResponse}))
	expect.Expect(statuses["silent"].Running).To(Equal(1))
	expect.Expect(statuses["leaving"].AvoidReasons).To(Equal([]backend.AvoidReason{backend.AvoidDraining}))
	expect.Expect(statuses["far"].AvoidReasons).To(Equal([]backend.AvoidReason{backend.AvoidUnreachableZone}))
	expect.Expect(statuses["far"].ZoneReachable).To(BeFalse())

	for range 6 {
		directory.CountFailed(backend.Instance{ID: "idle"}, now)
	}
	directory.Pick(&backend.Request{Service: "s"}, now)
	expect.Expect(byID()["idle"].AvoidReasons).To(ContainElement(backend.AvoidBreakerOpen))

	directory.AddReported([]string{"reported"}, now)
	expect.Expect(byID()["reported"].AvoidReasons).To(BeEmpty(), "two of five are more than may be suspected")
	expect.Expect(byID()["silent"].AvoidReasons).To(BeEmpty())
}
