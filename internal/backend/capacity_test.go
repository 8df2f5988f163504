package backend_test

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Capacities", func() {
	newDirectoryWithSlots := func() *backend.Directory {
		directory := backend.NewDirectory()
		for number := range 4 {
			directory.Upsert(backend.Instance{ID: fmt.Sprint("e", number), Service: service, Address: fmt.Sprint("10.0.0.", number, ":1"), Slots: 6}, time.Time{})
		}
		directory.Upsert(backend.Instance{ID: "t", Service: "tools", Address: "10.0.1.1:1", Slots: 5}, time.Time{})
		return directory
	}
	slots := func(directory *backend.Directory, name string, at time.Time) int {
		for _, capacity := range directory.Capacities(at) {
			if capacity.Service == name {
				Expect(len(capacity.Engines) * 6).To(BeNumerically(">=", capacity.Slots))
				return capacity.Slots
			}
		}
		return 0
	}

	It("sum the slots of each service", func() {
		directory := newDirectoryWithSlots()
		Expect(slots(directory, service, now)).To(Equal(24))
		Expect(slots(directory, "tools", now)).To(Equal(5))
	})

	It("exclude draining and unreachable engines, but not full ones", func() {
		directory := newDirectoryWithSlots()
		directory.Upsert(backend.Instance{ID: "e3", Service: service, Address: "10.0.0.3:1", Slots: 6, Draining: true}, time.Time{})
		directory.Finish(pickAssigned(directory, "e0"), backend.Unreachable, now)
		directory.Finish(pickAssigned(directory, "e1"), backend.Full, now)
		Expect(slots(directory, service, now)).To(Equal(12))
		Expect(slots(directory, service, now.Add(time.Minute))).To(Equal(18))
	})

	It("exclude suspected engines unless too many are suspected, which indicates load", func() {
		directory := newDirectoryWithSlots()
		directory.AddReported([]string{"e0"}, now)
		Expect(slots(directory, service, now)).To(Equal(18))
		directory.AddReported([]string{"e1", "e2"}, now)
		Expect(slots(directory, service, now)).To(Equal(24))
	})

	It("are unknown for a service with an engine that does not report its slots", func() {
		directory := newDirectoryWithSlots()
		directory.Upsert(backend.Instance{ID: "e4", Service: service, Address: "10.0.0.4:1"}, time.Time{})
		Expect(slots(directory, service, now)).To(BeZero(), "its requests would count against other engines' slots")
		Expect(slots(directory, "tools", now)).To(Equal(5))
	})
})
