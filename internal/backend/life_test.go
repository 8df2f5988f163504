package backend_test

import (
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	. "github.com/onsi/gomega"
)

// first and second are two lives of one engine, a second apart: less than a heartbeat.
var (
	first  = backend.Instance{ID: "e", Service: service, Address: "10.0.0.1:1", Zone: "z", Slots: 4, Incarnation: 1_000_000}
	second = backend.Instance{ID: "e", Service: service, Address: "10.0.0.1:1", Zone: "z", Slots: 4, Incarnation: 1_001_000}
)

func TestANewLifeOfAnEngineBeginsWithNothingOfTheOneBefore(t *testing.T) {
	expect := NewWithT(t)
	directory := backend.NewDirectory()
	expect.Expect(directory.Upsert(first, now)).To(Equal(backend.Changed))
	expect.Expect(directory.Upsert(first, now)).To(Equal(backend.Unchanged))
	old := assign(directory, "e")
	directory.Finish(assign(directory, "e"), backend.Unreachable, now)
	expect.Expect(directory.Avoided(now)).To(ConsistOf("e"))

	expect.Expect(directory.Upsert(second, now)).To(Equal(backend.Restarted))
	expect.Expect(directory.Avoided(now)).To(BeEmpty(), "what failed was the life before")
	expect.Expect(directory.Running()).To(BeEmpty(), "what ran there is lost")
	expect.Expect(directory.Upsert(first, now)).To(Equal(backend.Unchanged), "a record of the life that is over tells nothing")

	current := assign(directory, "e")
	directory.Finish(old, backend.Failed, now)
	directory.Finish(old, backend.Failed, now)
	expect.Expect(directory.Running()).To(HaveKeyWithValue("e", 1), "an old life's late end is none of this one")
	expect.Expect(directory.Avoided(now)).To(BeEmpty())
	var failed []float64
	directory.OnBreakerChange(func(change backend.BreakerChange) { failed = append(failed, change.Failed) })
	for range 20 {
		directory.CountFailed(first, now)
	}
	for _, id := range []string{"e2", "e3", "e4"} {
		directory.Upsert(backend.Instance{ID: id, Service: service, Zone: "z", Slots: 4}, now)
	}
	assign(directory, "e2")
	expect.Expect(failed).To(BeEmpty(), "nor is one that was sent to it and fails now")
	for range 20 {
		directory.CountFailed(second, now)
	}
	assign(directory, "e2")
	expect.Expect(failed).To(HaveLen(1))
	directory.Finish(current, backend.Succeeded, now)
}

func TestANewLifeIsReadyThoughTheOneBeforeLeft(t *testing.T) {
	expect := NewWithT(t)
	directory := backend.NewDirectory()
	leaving := first
	leaving.Draining = true
	directory.Upsert(leaving, now)
	directory.Upsert(first, now)
	expect.Expect(assign(directory, "e")).To(BeNil(), "who said that it leaves stays away in that life")
	directory.Upsert(second, now)
	expect.Expect(assign(directory, "e")).NotTo(BeNil())
}

func TestEnginesThatDoNotSayWhenTheyStartedGoOn(t *testing.T) {
	expect := NewWithT(t)
	directory := backend.NewDirectory()
	silent := first
	silent.Incarnation = 0
	directory.Upsert(silent, now)
	assign(directory, "e")
	expect.Expect(directory.Upsert(first, now.Add(time.Second))).To(Equal(backend.Changed))
	expect.Expect(directory.Running()).To(HaveKeyWithValue("e", 1))
}
