package backend_test

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	. "github.com/onsi/gomega"
)

// firstIncarnation and secondIncarnation are incarnations of one engine whose starts are a
// second apart, less than a heartbeat interval.
var (
	firstIncarnation  = backend.Instance{ID: "e", Service: service, Address: "10.0.0.1:1", Zone: "z", Slots: 4, Incarnation: 1_000_000}
	secondIncarnation = backend.Instance{ID: "e", Service: service, Address: "10.0.0.1:1", Zone: "z", Slots: 4, Incarnation: 1_001_000}
)

func TestRestartedEngineStartsWithFreshState(t *testing.T) {
	expect := NewWithT(t)
	directory := backend.NewDirectory()
	expect.Expect(directory.Upsert(firstIncarnation, now)).To(Equal(backend.Changed))
	expect.Expect(directory.Upsert(firstIncarnation, now)).To(Equal(backend.Unchanged))
	old := pickAssigned(directory, "e")
	directory.Finish(pickAssigned(directory, "e"), backend.Unreachable, now)
	expect.Expect(directory.Avoided(now)).To(ConsistOf("e"))

	expect.Expect(directory.Upsert(secondIncarnation, now)).To(Equal(backend.Restarted))
	expect.Expect(directory.Avoided(now)).To(BeEmpty(), "the earlier incarnation failed")
	expect.Expect(directory.Running()).To(BeEmpty(), "its requests are lost")
	expect.Expect(directory.Upsert(firstIncarnation, now)).To(Equal(backend.Unchanged), "the record is stale")

	current := pickAssigned(directory, "e")
	directory.Finish(old, backend.Failed, now)
	directory.Finish(old, backend.Failed, now)
	expect.Expect(directory.Running()).To(HaveKeyWithValue("e", 1), "requests to the earlier incarnation do not count")
	expect.Expect(directory.Avoided(now)).To(BeEmpty())
	var failed []float64
	directory.OnBreakerChange(func(change backend.BreakerChange) { failed = append(failed, change.Failed) })
	for range 20 {
		directory.CountFailed(firstIncarnation, now)
	}
	for _, id := range []string{"e2", "e3", "e4"} {
		directory.Upsert(backend.Instance{ID: id, Service: service, Zone: "z", Slots: 4}, now)
	}
	pickAssigned(directory, "e2")
	expect.Expect(failed).To(BeEmpty(), "failures of the earlier incarnation do not count")
	for range 20 {
		directory.CountFailed(secondIncarnation, now)
	}
	pickAssigned(directory, "e2")
	expect.Expect(failed).To(HaveLen(1))
	directory.Finish(current, backend.Succeeded, now)
}

func TestRestartedEngineIsNotDraining(t *testing.T) {
	expect := NewWithT(t)
	directory := backend.NewDirectory()
	draining := firstIncarnation
	draining.Draining = true
	directory.Upsert(draining, now)
	directory.Upsert(firstIncarnation, now)
	expect.Expect(pickAssigned(directory, "e")).To(BeNil(), "draining is final for an incarnation")
	directory.Upsert(secondIncarnation, now)
	expect.Expect(pickAssigned(directory, "e")).NotTo(BeNil())
}

func TestFirstReportedIncarnationIsNoRestart(t *testing.T) {
	expect := NewWithT(t)
	directory := backend.NewDirectory()
	withoutIncarnation := firstIncarnation
	withoutIncarnation.Incarnation = 0
	directory.Upsert(withoutIncarnation, now)
	pickAssigned(directory, "e")
	expect.Expect(directory.Upsert(firstIncarnation, now.Add(time.Second))).To(Equal(backend.Changed))
	expect.Expect(directory.Running()).To(HaveKeyWithValue("e", 1))
}
