package assignment_test

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/assignment"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Engines' memory", func() {
	const memory = 50_000
	// candidatesWith returns engines of which this owner may use the given number of tokens.
	candidatesWith := func(ownerTokens int) []assignment.Candidate {
		list := candidates(3)
		for index := range list {
			list[index].MemoryTokens = memory
			list[index].OwnerMemoryTokens = ownerTokens
		}
		return list
	}
	sessionOf := func(number, promptTokens int) assignment.Session {
		id := fmt.Sprint("p", number)
		return assignment.Session{Program: tenant.Program{ID: id}, ID: id, Zone: "z", PromptTokens: promptTokens}
	}
	// loadOthers makes e1 and e2 so busy that load alone would always select e0.
	loadOthers := func(assigner *assignment.Assigner) {
		assigner.UpdateRunning("a", map[string]int{"e1": 11, "e2": 11}, now)
	}
	// assignFive assigns five sessions with prompts of 12,000 tokens, and returns how many go to
	// e0.
	assignFive := func(assigner *assignment.Assigner, candidates []assignment.Candidate, at time.Time) int {
		count := 0
		for number := range 5 {
			if assigner.Assign(sessionOf(number, 12_000), candidates, at) == "e0" {
				count++
			}
		}
		return count
	}

	It("limits what the least busy engine gets while others have ample memory", func() {
		assigner := assignment.New()
		loadOthers(assigner)
		Expect(assignFive(assigner, candidatesWith(memory), now)).To(Equal(4), "48,000 of 50,000 tokens")
	})

	It("does not apply if the owner's part is unknown or too small for an estimate", func() {
		for _, ownerTokens := range []int{0, memory / 14} {
			assigner := assignment.New()
			loadOthers(assigner)
			Expect(assignFive(assigner, candidatesWith(ownerTokens), now)).To(Equal(5))
		}
	})

	It("drops the prompts of idle sessions", func() {
		assigner := assignment.New()
		loadOthers(assigner)
		assignFive(assigner, candidatesWith(memory), now)
		later := now.Add(3 * time.Second)
		assigner.UpdateRunning("a", map[string]int{"e1": 11, "e2": 11}, later)
		Expect(assigner.Assign(sessionOf(9, 12_000), candidatesWith(memory), later)).To(Equal("e0"))
	})

	It("keeps a session on its engine even if the memory is full", func() {
		assigner := assignment.New()
		loadOthers(assigner)
		assignFive(assigner, candidatesWith(memory), now)
		Expect(assigner.Assign(sessionOf(0, 40_000), candidatesWith(memory), now)).To(Equal("e0"))
	})

	It("uses the load if all are full", func() {
		assigner := assignment.New()
		for number := range 12 {
			assigner.Assign(sessionOf(number, 12_000), candidatesWith(memory), now)
		}
		loadOthers(assigner)
		Expect(assigner.Assign(sessionOf(20, 12_000), candidatesWith(memory), now)).To(Equal("e0"))
	})
})
