package assignment_test

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/assignment"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var now = time.Unix(1000, 0)

func candidates(count int) []assignment.Candidate {
	list := make([]assignment.Candidate, 0, count)
	for number := range count {
		list = append(list, assignment.Candidate{ID: fmt.Sprint("e", number), Zone: "z", Slots: 12, TieBreak: uint64(number)})
	}
	return list
}

var _ = Describe("Assigner", func() {
	sessionOf := func(program, id string) assignment.Session {
		return assignment.Session{Program: tenant.Program{ID: program}, ID: id, Zone: "z"}
	}

	It("spreads programs that start at the same time", func() {
		assigner := assignment.New()
		seen := map[string]int{}
		for number := range 8 {
			seen[assigner.Assign(sessionOf(fmt.Sprint(number), fmt.Sprint(number)), candidates(4), now)]++
		}
		Expect(seen).To(HaveLen(4))
		for _, count := range seen {
			Expect(count).To(Equal(2))
		}
	})

	It("uses the reported load of all nodes while the reports are valid", func() {
		assigner := assignment.New()
		assigner.UpdateRunning("a", map[string]int{"e0": 3, "e1": 1}, now)
		assigner.UpdateRunning("b", map[string]int{"e1": 4}, now)
		Expect(assigner.Assign(sessionOf("p", "p"), candidates(2), now)).To(Equal("e0"))
		assigner.UpdateRunning("a", map[string]int{"e0": 9}, now)
		Expect(assigner.Assign(sessionOf("q", "q"), candidates(2), now)).To(Equal("e1"))
		later := now.Add(time.Minute)
		Expect(assigner.Assign(sessionOf("r", "r"), candidates(2), later)).To(Equal("e1"), "expired reports are ignored")
	})

	It("keeps a session on its engine until the engine is gone", func() {
		assigner := assignment.New()
		first := assigner.Assign(sessionOf("p", "p"), candidates(4), now)
		assigner.UpdateRunning("a", map[string]int{first: 11}, now)
		Expect(assigner.Assign(sessionOf("p", "p"), candidates(4), now)).To(Equal(first))
		var left []assignment.Candidate
		for _, candidate := range candidates(4) {
			if candidate.ID != first {
				left = append(left, candidate)
			}
		}
		Expect(assigner.Assign(sessionOf("p", "p"), left, now)).NotTo(Equal(first))
	})

	It("moves all sessions of a program off an engine after the first failed turn", func() {
		assigner := assignment.New()
		main, other := sessionOf("p", "p"), sessionOf("q", "q")
		first := assigner.Assign(main, candidates(4), now)
		Expect(assigner.Assign(sessionOf("p", "r"), candidates(4), now)).To(Equal(first))
		assigner.UpdateRunning("a", map[string]int{"e0": 5, "e1": 5, "e2": 5, "e3": 5, first: 0}, now)
		assigner.RecordFailure(main, first, now)
		second := assigner.Assign(main, candidates(4), now)
		Expect(second).NotTo(Equal(first))
		assigner.RecordFailure(main, second, now)
		Expect(assigner.Assign(main, candidates(4), now)).NotTo(Or(Equal(first), Equal(second)))
		Expect(assigner.Assign(sessionOf("p", "r"), candidates(4), now)).NotTo(Or(Equal(first), Equal(second)))
		Expect(assigner.Assign(sessionOf("p", "s"), candidates(4), now)).NotTo(Or(Equal(first), Equal(second)))
		Expect(assigner.Assign(other, candidates(4), now)).To(Equal(first), "another program's session stays")
	})

	It("uses an engine that has failed the program if there is no other, and after a while", func() {
		assigner := assignment.New()
		main := sessionOf("p", "p")
		Expect(assigner.Assign(main, candidates(1), now)).To(Equal("e0"))
		assigner.RecordFailure(main, "e0", now)
		Expect(assigner.Assign(main, candidates(1), now)).To(Equal("e0"))
		assigner.UpdateRunning("a", map[string]int{"e1": 9}, now)
		Expect(assigner.Assign(main, candidates(2), now)).To(Equal("e1"))
		later := now.Add(6 * time.Second)
		assigner.UpdateRunning("a", map[string]int{"e1": 9}, later)
		assigner.Expire(later)
		Expect(assigner.Assign(sessionOf("p", "s"), candidates(1), later)).To(Equal("e0"))
		assigner.RecordFailure(main, "e1", later)
		Expect(assigner.Assign(main, candidates(2), later)).To(Equal("e0"))
	})

	It("assigns a sub-agent to its program's engine unless that is full", func() {
		assigner := assignment.New()
		first := assigner.Assign(sessionOf("p", "p"), candidates(4), now)
		Expect(assigner.Assign(sessionOf("p", "s1"), candidates(4), now)).To(Equal(first))
		assigner.UpdateRunning("a", map[string]int{first: 12}, now)
		Expect(assigner.Assign(sessionOf("p", "s2"), candidates(4), now)).NotTo(Equal(first))
	})

	It("lets a sub-agent queue at its program's engine if memory is scarce", func() {
		limitedMemory := func(slots int) []assignment.Candidate {
			list := candidates(4)
			for index := range list {
				list[index].MemoryTokens = 2 * slots * 1000
			}
			return list
		}
		assigner := assignment.New()
		long := sessionOf("p", "p")
		long.PromptTokens = 1000
		first := assigner.Assign(long, limitedMemory(12), now)
		assigner.UpdateRunning("a", map[string]int{first: 14}, now)
		Expect(assigner.Assign(sessionOf("p", "s1"), limitedMemory(12), now)).To(Equal(first))
		assigner.UpdateRunning("a", map[string]int{first: 16}, now)
		Expect(assigner.Assign(sessionOf("p", "s2"), limitedMemory(12), now)).NotTo(Equal(first))
	})

	Describe("with engines of unequal speed", func() {
		// unequalCandidates returns candidates of which a third are slow.
		unequalCandidates := func() []assignment.Candidate {
			list := candidates(6)
			for index := range list {
				list[index].Slowness = []float64{0.75, 0.75, 1.5}[index%3]
			}
			return list
		}
		// start assigns a number of new programs, and counts them by engine.
		start := func(programs int) map[string]int {
			assigner := assignment.New()
			counts := map[string]int{}
			for number := range programs {
				name := fmt.Sprint(number)
				counts[assigner.Assign(sessionOf(name, name), unequalCandidates(), now)]++
			}
			return counts
		}

		It("fills fast engines first, and uses slow ones once those are full", func() {
			few := start(24)
			Expect(few["e2"] + few["e5"]).To(BeZero())
			many := start(120)
			Expect(many["e0"]).To(BeNumerically(">", many["e2"]*2))
			Expect(many["e2"]).To(BeNumerically(">", 4))
		})

		It("moves a session off an engine only once that is very slow", func() {
			assigner := assignment.New()
			list := unequalCandidates()
			first := assigner.Assign(sessionOf("p", "p"), list, now)
			for index := range list {
				if list[index].ID == first {
					list[index].Slowness = 2
				}
			}
			Expect(assigner.Assign(sessionOf("p", "p"), list, now)).To(Equal(first))
			for index := range list {
				if list[index].ID == first {
					list[index].Slowness = 4
				}
			}
			second := assigner.Assign(sessionOf("p", "p"), list, now)
			Expect(second).NotTo(Equal(first))
			Expect(assigner.Assign(sessionOf("p", "s"), list, now)).To(Equal(second))
		})
	})

	It("returns no engine without candidates", func() {
		Expect(assignment.New().Assign(sessionOf("p", "p"), nil, now)).To(BeEmpty())
	})

	It("separates programs and sessions of different tenants with equal IDs", func() {
		assigner := assignment.New()
		sessionOfTenant := func(tenantID string) assignment.Session {
			return assignment.Session{Program: tenant.Program{Tenant: tenantID, ID: "p"}, ID: "s", Zone: "z"}
		}
		first := assigner.Assign(sessionOfTenant("a"), candidates(2), now)
		Expect(assigner.Assign(sessionOfTenant("b"), candidates(2), now)).NotTo(Equal(first), "the less busy engine, not that of the other tenant's session")
		Expect(assigner.Assign(sessionOfTenant("a"), candidates(2), now)).To(Equal(first))
	})
})
