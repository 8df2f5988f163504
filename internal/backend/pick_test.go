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

// pickAssigned picks an engine by assignment.
func pickAssigned(directory *backend.Directory, id string) *backend.Engine {
	return directory.Pick(&backend.Request{Service: service, Assigned: id}, now)
}

var _ = Describe("Pick", func() {
	It("chooses the engine assigned to the session if it is admitted", func() {
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

	It("moves only the programs of a removed engine", func() {
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

	It("avoids engines that are draining, were tried or have failed", func() {
		directory := newDirectory(3)
		directory.Upsert(backend.Instance{ID: "e0", Service: service, Draining: true}, time.Time{})
		for range 2 {
			failing := directory.Pick(&backend.Request{Service: service, Tried: []string{"e2"}}, now)
			Expect(failing.ID).To(Equal("e1"))
			directory.Finish(failing, backend.Failed, now)
		}
		Expect(directory.Pick(&backend.Request{Service: service}, now).ID).To(Equal("e2"))
		Expect(directory.Pick(&backend.Request{Service: service, Tried: []string{"e2"}}, now).ID).To(Equal("e1"), "last resort")
		Expect(directory.Pick(&backend.Request{Service: service, Tried: []string{"e1", "e2"}}, now)).To(BeNil())
		later := now.Add(time.Minute)
		Expect(directory.Pick(&backend.Request{Service: service, Tried: []string{"e2"}}, later).ID).To(Equal("e1"))
	})

	It("never uses a draining engine again", func() {
		directory := newDirectory(1)
		directory.Upsert(backend.Instance{ID: "e0", Service: service, Draining: true}, time.Time{})
		directory.Upsert(backend.Instance{ID: "e0", Service: service}, time.Time{})
		Expect(directory.Pick(&backend.Request{Service: service}, now)).To(BeNil())
	})

	It("spreads requests by load under the least policy, and rejects an unknown policy", func() {
		directory := newDirectory(4)
		Expect(directory.SetPolicy(backend.PolicyLeastLoaded)).To(Succeed())
		seen := map[string]int{}
		for range 8 {
			seen[directory.Pick(&backend.Request{Service: service, Program: "p", Zone: "z"}, now).ID]++
		}
		Expect(seen).To(HaveLen(4))
		Expect(resultcode.CodeOf(directory.SetPolicy("best"))).To(Equal(resultcode.InvalidSettings))
	})

	Describe("with suspected engines", func() {
		countPicks := func(directory *backend.Directory, at time.Time) map[string]int {
			counts := map[string]int{}
			for number := range 200 {
				engine := directory.Pick(&backend.Request{Service: service, Program: fmt.Sprint(number)}, at)
				counts[engine.ID]++
				directory.Finish(engine, backend.Succeeded, at)
			}
			return counts
		}
		It("avoids an unreachable engine at once, and tries it again later", func() {
			directory := newDirectory(3)
			directory.Finish(pickAssigned(directory, "e1"), backend.Unreachable, now)
			Expect(countPicks(directory, now.Add(900*time.Millisecond))).NotTo(HaveKey("e1"))
			Expect(countPicks(directory, now.Add(1100*time.Millisecond))).To(HaveKey("e1"))
		})

		It("avoids an engine that did not respond before its caller left, for longer each time", func() {
			directory := newDirectory(3)
			first, second := pickAssigned(directory, "e1"), pickAssigned(directory, "e1")
			directory.Finish(first, backend.NoResponse, now)
			Expect(directory.Avoided(now.Add(900 * time.Millisecond))).To(ConsistOf("e1"))
			Expect(directory.Avoided(now.Add(1100 * time.Millisecond))).To(BeEmpty())
			directory.Finish(second, backend.NoResponse, now)
			Expect(directory.Avoided(now.Add(1900 * time.Millisecond))).To(ConsistOf("e1"))
		})

		It("avoids an engine while a request there gets no response", func() {
			directory := newDirectory(3)
			directory.Suspect(pickAssigned(directory, "e1"), now)
			Expect(countPicks(directory, now)).NotTo(HaveKey("e1"))
		})

		It("avoids an engine reported by another node, without reporting it as its own observation", func() {
			directory := newDirectory(3)
			directory.AddReported([]string{"e1", "unknown"}, now)
			Expect(countPicks(directory, now)).NotTo(HaveKey("e1"))
			Expect(directory.Healthy(service, nil, now)).To(HaveLen(2))
			Expect(directory.Avoided(now)).To(BeEmpty())
			Expect(directory.AvoidedByAny(now)).To(ConsistOf("e1"))
			Expect(countPicks(directory, now.Add(1100*time.Millisecond))).To(HaveKey("e1"))
		})

		It("avoids no suspected engines if they are more than a third of the service, which indicates load", func() {
			directory := newDirectory(9)
			for _, id := range []string{"e1", "e2", "e3"} {
				directory.Suspect(pickAssigned(directory, id), now)
			}
			Expect(directory.Healthy(service, nil, now)).To(HaveLen(6))
			directory.AddReported([]string{"e4"}, now)
			Expect(directory.Healthy(service, nil, now)).To(HaveLen(9))
			Expect(countPicks(directory, now)).To(HaveKey("e1"))
		})

		It("scales the first-byte timeout with the service's current latency", func() {
			directory := newDirectory(1)
			Expect(directory.FirstByteTimeout(service)).To(BeZero())
			engine := pickAssigned(directory, "e0")
			for range 100 {
				directory.RecordFirstByte(engine, "r", 400*time.Millisecond, now)
			}
			Expect(directory.FirstByteTimeout(service)).To(BeNumerically("~", 2*time.Second, 10*time.Millisecond))
		})

		It("chooses an engine to be avoided only if there is no other", func() {
			directory := newDirectory(3)
			request := &backend.Request{Service: service, Assigned: "e0", Tried: []string{"e0"}, Avoid: []string{"e0", "e1"}}
			Expect(directory.Pick(request, now).ID).To(Equal("e2"))
			request.Tried = []string{"e0", "e2"}
			Expect(directory.Pick(request, now).ID).To(Equal("e1"))
		})

		It("uses a suspected engine if there is no other", func() {
			directory := newDirectory(1)
			directory.Finish(pickAssigned(directory, "e0"), backend.Unreachable, now)
			Expect(pickAssigned(directory, "e0")).NotTo(BeNil())
		})

		It("does not report a full engine", func() {
			directory := newDirectory(2)
			directory.Finish(pickAssigned(directory, "e1"), backend.Full, now)
			Expect(directory.Avoided(now)).To(BeEmpty())
		})
	})
})

var _ = Describe("Pick for a resumed stream", func() {
	versioned := func(first, second int) *backend.Directory {
		directory := backend.NewDirectory()
		for number := range first + second {
			version := "v1"
			if number >= first {
				version = "v2"
			}
			directory.Upsert(backend.Instance{ID: fmt.Sprint("e", number), Service: service, Address: fmt.Sprint("10.0.0.", number, ":1"), Zone: "z", Version: version, Slots: 2}, time.Time{})
		}
		return directory
	}
	version := "v1"

	It("chooses only engines of the required version, whatever the others have free", func() {
		directory := versioned(2, 20)
		request := &backend.Request{Service: service, Version: &version, Assigned: "e10"}
		for range 6 {
			Expect(directory.HasCapacity(request, now)).To(BeTrue())
			Expect(directory.Pick(request, now).Version).To(Equal(version))
		}
	})

	It("chooses none if there is no engine of the required version", func() {
		directory := versioned(0, 20)
		request := &backend.Request{Service: service, Version: &version}
		Expect(directory.HasCapacity(request, now)).To(BeFalse())
		Expect(directory.Pick(request, now)).To(BeNil())
		Expect(directory.VersionServed(service, version, nil, now)).To(BeFalse())
		Expect(directory.VersionServed(service, "v2", nil, now)).To(BeTrue())
	})

	It("does not probe engines of another version", func() {
		directory := versioned(1, 3)
		for range 40 {
			failing := directory.Pick(&backend.Request{Service: service, Tried: []string{"e0", "e2", "e3"}}, now)
			if failing == nil {
				break
			}
			directory.Finish(failing, backend.EngineError, now)
		}
		for second := range 60 {
			picked := directory.Pick(&backend.Request{Service: service, Version: &version}, now.Add(time.Duration(second)*time.Second))
			Expect(picked.Version).To(Equal(version))
			directory.Finish(picked, backend.Succeeded, now.Add(time.Duration(second)*time.Second))
		}
	})

	It("chooses a draining engine for a part of its drain time if there is no other of its version", func() {
		directory := versioned(2, 4)
		directory.SetDrainTime(2 * time.Second)
		request := &backend.Request{Service: service, Version: &version}
		drain := func(id string) {
			directory.Upsert(backend.Instance{ID: id, Service: service, Address: "10.0.0.9:1", Zone: "z", Version: version, Slots: 2, Draining: true}, now)
		}
		drain("e0")
		for range 3 {
			Expect(directory.Pick(request, now).ID).To(Equal("e1"), "an engine that is not draining goes first")
		}
		drain("e1")
		drain("unknown")
		Expect(directory.VersionServed(service, version, nil, now.Add(900*time.Millisecond))).To(BeTrue())
		Expect(directory.Pick(request, now.Add(900*time.Millisecond)).ID).To(BeElementOf("e0", "e1"), "it is not known since when another one is draining")
		Expect(directory.Pick(request, now.Add(1100*time.Millisecond))).To(BeNil())
		Expect(directory.VersionServed(service, version, nil, now.Add(1100*time.Millisecond))).To(BeFalse())
		Expect(directory.Pick(&backend.Request{Service: service}, now).Version).To(Equal("v2"), "new requests never get there")
	})
})
