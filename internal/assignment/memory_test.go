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
	with := func(own int) []assignment.Candidate {
		list := candidates(3)
		for index := range list {
			list[index].MemoryTokens = memory
			list[index].OwnerMemoryTokens = own
		}
		return list
	}
	line := func(number, prompt int) assignment.Session {
		id := fmt.Sprint("p", number)
		return assignment.Session{Program: tenant.Program{ID: id}, ID: id, Zone: "z", PromptTokens: prompt}
	}
	// lead has e1 and e2 so busy that load alone would choose e0 each time.
	lead := func(assigner *assignment.Assigner) {
		assigner.UpdateRunning("a", map[string]int{"e1": 11, "e2": 11}, now)
	}
	// onFirst is how many of five lines with prompts of 12,000 tokens go to e0.
	onFirst := func(assigner *assignment.Assigner, candidates []assignment.Candidate, at time.Time) int {
		count := 0
		for number := range 5 {
			if assigner.Assign(line(number, 12_000), candidates, at) == "e0" {
				count++
			}
		}
		return count
	}

	It("bounds what goes to the least busy engine while others have half of theirs", func() {
		assigner := assignment.New()
		lead(assigner)
		Expect(onFirst(assigner, with(memory), now)).To(Equal(4), "48,000 of 50,000 tokens")
	})

	It("does not count where the owner's part holds too few prompts to tell, or is not known", func() {
		for _, own := range []int{0, memory / 14} {
			assigner := assignment.New()
			lead(assigner)
			Expect(onFirst(assigner, with(own), now)).To(Equal(5))
		}
	})

	It("forgets prompts of lines that are over", func() {
		assigner := assignment.New()
		lead(assigner)
		onFirst(assigner, with(memory), now)
		later := now.Add(3 * time.Second)
		assigner.UpdateRunning("a", map[string]int{"e1": 11, "e2": 11}, later)
		Expect(assigner.Assign(line(9, 12_000), with(memory), later)).To(Equal("e0"))
	})

	It("leaves a line where it is, also at a full engine", func() {
		assigner := assignment.New()
		lead(assigner)
		onFirst(assigner, with(memory), now)
		Expect(assigner.Assign(line(0, 40_000), with(memory), now)).To(Equal("e0"))
	})

	It("goes by load where all are full", func() {
		assigner := assignment.New()
		for number := range 12 {
			assigner.Assign(line(number, 12_000), with(memory), now)
		}
		lead(assigner)
		Expect(assigner.Assign(line(20, 12_000), with(memory), now)).To(Equal("e0"))
	})
})
