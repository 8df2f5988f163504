package backend_test

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/resultcode"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const service = "s"

var now = time.Unix(1000, 0)

func newDirectory(engines int) *backend.Directory {
	directory := backend.NewDirectory()
	for number := range engines {
		directory.Upsert(backend.Instance{ID: fmt.Sprint("e", number), Service: service, Address: fmt.Sprint("10.0.0.", number, ":1"), Zone: "z"}, time.Time{})
	}
	return directory
}

// assign sends a request to an engine.
func assign(directory *backend.Directory, id string) *backend.Engine {
	return directory.Pick(&backend.Request{Service: service, Assigned: id}, now)
}

var _ = Describe("Pick", func() {
	It("takes the engine assigned to the line of turns, where it may", func() {
		directory := newDirectory(8)
		Expect(directory.SetPolicy("")).To(Succeed())
		Expect(directory.UsesAssignment()).To(BeTrue())
		for _, id := range []string{"e0", "e5"} {
			Expect(directory.Pick(&backend.Request{Service: service, Program: "p", Assigned: id}, now).ID).To(Equal(id))
		}
		picked := directory.Pick(&backend.Request{Service: service, Program: "p", Assigned: "e5", Tried: []string{"e5"}}, now)
		Expect(picked.ID).NotTo(Equal("e5"))
	})

	It("keeps a program on one engine", func() {
		directory := newDirectory(8)
		request := &backend.Request{Service: service, Program: "p"}
		first := directory.Pick(request, now)
		directory.Finish(first, backend.Succeeded, now)
		for range 10 {
			again := directory.Pick(request, now)
			Expect(again.ID).To(Equal(first.ID))
			directory.Finish(again, backend.Succeeded, now)
		}
	})

	It("moves only the programs of an engine that leaves", func() {
		directory := newDirectory(8)
		place := func(program string) string {
			picked := directory.Pick(&backend.Request{Service: service, Program: program}, now)
			directory.Finish(picked, backend.Succeeded, now)
			return picked.ID
		}
		before := map[string]string{}
		for number := range 200 {
			before[fmt.Sprint(number)] = place(fmt.Sprint(number))
		}
		directory.Remove("e3")
		for program, engine := range before {
			if engine != "e3" {
				Expect(place(program)).To(Equal(engine))
			}
		}
	})

	It("passes over an engine that leaves, that was tried, or that has failed", func() {
		directory := newDirectory(3)
		directory.Upsert(backend.Instance{ID: "e0", Service: service, Draining: true}, time.Time{})
		for range 2 {
			failing := directory.Pick(&backend.Request{Service: service, Tried: []string{"e2"}}, now)
			Expect(failing.ID).To(Equal("e1"))
			directory.Finish(failing, backend.Failed, now)
		}
		Expect(directory.Pick(&backend.Request{Service: service}, now).ID).To(Equal("e2"))
		Expect(directory.Pick(&backend.Request{Service: service, Tried: []string{"e2"}}, now).ID).To(Equal("e1"), "better than none")
		Expect(directory.Pick(&backend.Request{Service: service, Tried: []string{"e1", "e2"}}, now)).To(BeNil())
		later := now.Add(time.Minute)
		Expect(directory.Pick(&backend.Request{Service: service, Tried: []string{"e2"}}, later).ID).To(Equal("e1"))
	})

	It("never goes back to an engine that has said it leaves", func() {
		directory := newDirectory(1)
		directory.Upsert(backend.Instance{ID: "e0", Service: service, Draining: true}, time.Time{})
		directory.Upsert(backend.Instance{ID: "e0", Service: service}, time.Time{})
		Expect(directory.Pick(&backend.Request{Service: service}, now)).To(BeNil())
	})

	It("spreads by what runs under the least policy, and refuses an unknown one", func() {
		directory := newDirectory(4)
		Expect(directory.SetPolicy(backend.PolicyLeastLoaded)).To(Succeed())
		seen := map[string]int{}
		for range 8 {
			seen[directory.Pick(&backend.Request{Service: service, Program: "p", Zone: "z"}, now).ID]++
		}
		Expect(seen).To(HaveLen(4))
		Expect(resultcode.CodeOf(directory.SetPolicy("best"))).To(Equal(resultcode.InvalidSettings))
	})

	Describe("of engines in doubt", func() {
		pickedOften := func(directory *backend.Directory, at time.Time) map[string]int {
			counts := map[string]int{}
			for number := range 200 {
				engine := directory.Pick(&backend.Request{Service: service, Program: fmt.Sprint(number)}, at)
				counts[engine.ID]++
				directory.Finish(engine, backend.Succeeded, at)
			}
			return counts
		}
		It("passes over one that took no connection, at once, and comes back to it", func() {
			directory := newDirectory(3)
			directory.Finish(assign(directory, "e1"), backend.Unreachable, now)
			Expect(pickedOften(directory, now.Add(900*time.Millisecond))).NotTo(HaveKey("e1"))
			Expect(pickedOften(directory, now.Add(1100*time.Millisecond))).To(HaveKey("e1"))
		})

		It("passes over one whose request got no answer before its caller left, longer each time", func() {
			directory := newDirectory(3)
			first, second := assign(directory, "e1"), assign(directory, "e1")
			directory.Finish(first, backend.NoResponse, now)
			Expect(directory.Avoided(now.Add(900 * time.Millisecond))).To(ConsistOf("e1"))
			Expect(directory.Avoided(now.Add(1100 * time.Millisecond))).To(BeEmpty())
			directory.Finish(second, backend.NoResponse, now)
			Expect(directory.Avoided(now.Add(1900 * time.Millisecond))).To(ConsistOf("e1"))
		})

		It("passes over one while a request there is silent", func() {
			directory := newDirectory(3)
			directory.Suspect(assign(directory, "e1"), now)
			Expect(pickedOften(directory, now)).NotTo(HaveKey("e1"))
		})

		It("passes over one that another node reports, and does not report it as seen here", func() {
			directory := newDirectory(3)
			directory.AddReported([]string{"e1", "unknown"}, now)
			Expect(pickedOften(directory, now)).NotTo(HaveKey("e1"))
			Expect(directory.Healthy(service, nil, now)).To(HaveLen(2))
			Expect(directory.Avoided(now)).To(BeEmpty())
			Expect(directory.AvoidedByAny(now)).To(ConsistOf("e1"))
			Expect(pickedOften(directory, now.Add(1100*time.Millisecond))).To(HaveKey("e1"))
		})

		It("does not leave a third of a service's engines for doubt: then it is the load", func() {
			directory := newDirectory(9)
			for _, id := range []string{"e1", "e2", "e3"} {
				directory.Suspect(assign(directory, id), now)
			}
			Expect(directory.Healthy(service, nil, now)).To(HaveLen(6))
			directory.AddReported([]string{"e4"}, now)
			Expect(directory.Healthy(service, nil, now)).To(HaveLen(9))
			Expect(pickedOften(directory, now)).To(HaveKey("e1"))
		})

		It("waits the longer for an engine, the slower its service is at present", func() {
			directory := newDirectory(1)
			Expect(directory.FirstByteTimeout(service)).To(BeZero())
			engine := assign(directory, "e0")
			for range 100 {
				directory.RecordFirstByte(engine, "r", 400*time.Millisecond, now)
			}
			Expect(directory.FirstByteTimeout(service)).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))
		})

		It("takes one in doubt where there is no other", func() {
			directory := newDirectory(1)
			directory.Finish(assign(directory, "e0"), backend.Unreachable, now)
			Expect(assign(directory, "e0")).NotTo(BeNil())
		})

		It("does not report one that only had no room", func() {
			directory := newDirectory(2)
			directory.Finish(assign(directory, "e1"), backend.Full, now)
			Expect(directory.Avoided(now)).To(BeEmpty())
		})
	})
})
