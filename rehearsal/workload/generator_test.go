package workload_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magpielug/magpielug/rehearsal/workload"
)

var _ = Describe("Generator", func() {
	for _, deployment := range []workload.Deployment{workload.Namibia(), workload.Cairo()} {
		It("generates the same programs from the same seed, "+deployment.Name, func() {
			first := workload.NewGenerator(deployment, 7).Arrivals(5, time.Minute, 1)
			second := workload.NewGenerator(deployment, 7).Arrivals(5, time.Minute, 1)
			other := workload.NewGenerator(deployment, 8).Arrivals(5, time.Minute, 1)
			Expect(first).To(Equal(second))
			Expect(first).NotTo(Equal(other))
		})

		It("matches the arrival rate and the kinds' shares, "+deployment.Name, func() {
			const rate = 20.0
			const duration = 10 * time.Minute
			counts := map[string]float64{}
			programs := workload.NewGenerator(deployment, 1).Arrivals(rate, duration, 0)
			for _, program := range programs {
				counts[program.Kind]++
			}
			expected := rate * duration.Seconds()
			Expect(float64(len(programs))).To(BeNumerically("~", expected, 0.05*expected))
			for _, kind := range deployment.Kinds {
				Expect(counts[kind.Name]).To(BeNumerically("~", kind.Share*expected, 0.1*expected))
			}
		})
	}

	It("sorts programs by arrival and gives each a turn and a unique ID", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			seed := rapid.Uint64().Draw(t, "seed")
			programs := workload.NewGenerator(workload.Cairo(), seed).Arrivals(3, 30*time.Second, 1)
			last := time.Duration(0)
			ids := map[string]bool{}
			for _, program := range programs {
				if program.Arrival < last || len(program.Turns) == 0 || ids[program.ID] {
					t.Fatalf("program %+v", program)
				}
				last = program.Arrival
				ids[program.ID] = true
			}
		})
	})

	It("generates programs of one tier only", func() {
		only := workload.Namibia().OnlyTier("field")
		for _, program := range workload.NewGenerator(only, 1).Arrivals(5, time.Minute, 0) {
			Expect(program.Tier).To(Equal("field"))
		}
	})

	It("repeats an endless program's turns with new content", func() {
		program := workload.NewGenerator(workload.Namibia(), 1).EndlessProgram(0, "reconciliation")
		turns := len(program.Turns)
		again, more := program.TurnAt(turns)
		Expect(more).To(BeTrue())
		Expect(again.Output.Tokens).To(Equal(program.Turns[0].Output.Tokens))
		Expect(again.Output.Seed).NotTo(Equal(program.Turns[0].Output.Seed))
		Expect(program.TokenCap).To(BeNumerically(">", 0))
	})
})

var _ = Describe("History", func() {
	const blockTokens = 16
	build := func(segments ...workload.Segment) []uint64 {
		history := workload.NewHistory(blockTokens)
		for _, segment := range segments {
			history.Append(segment)
		}
		return history.Blocks()
	}

	It("shares only the full blocks of a common prefix", func() {
		system := workload.Segment{Seed: 1, Tokens: 40}
		first := build(system, workload.Segment{Seed: 2, Tokens: 40})
		second := build(system, workload.Segment{Seed: 3, Tokens: 40})
		Expect(first).To(HaveLen(5))
		Expect(first[:2]).To(Equal(second[:2]))
		for index := 2; index < len(first); index++ {
			Expect(first[index]).NotTo(Equal(second[index]))
		}
	})

	It("keeps the hashes of earlier blocks when content is appended", func() {
		history := workload.NewHistory(blockTokens)
		history.Append(workload.Segment{Seed: 1, Tokens: 50})
		before := history.Blocks()
		copied := append([]uint64{}, before...)
		history.Append(workload.Segment{Seed: 2, Tokens: 500})
		Expect(before).To(Equal(copied))
		Expect(history.Blocks()[:len(before)]).To(Equal(copied))
		Expect(history.Tokens()).To(Equal(550))
	})
})
