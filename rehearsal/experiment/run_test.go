package experiment

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/rehearsal/workload"
)

var _ = Describe("Run", func() {
	tiny := func() File {
		file, err := ParseFile([]byte(tinyFile))
		Expect(err).NotTo(HaveOccurred())
		return file
	}

	It("gives the same result for the same seeds with any number of workers", func() {
		first, err := Run(context.Background(), tiny(), 1, nil)
		Expect(err).NotTo(HaveOccurred())
		second, err := Run(context.Background(), tiny(), DefaultWorkers, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))
		Expect(first.Cells).To(HaveLen(8))
		Expect(first.Runs).To(HaveLen(16))
	})

	It("counts every program as completed, refused or capped", func() {
		file := tiny()
		for _, policy := range file.Policies {
			config := file.runConfig(policy, 1, 8)
			config.WarmUp = 0
			arrivals := workload.NewGenerator(config.Deployment, config.Seed).
				Arrivals(config.Rate, config.Duration, config.EndlessPrograms)
			metrics, err := run(config)
			Expect(err).NotTo(HaveOccurred())
			ended, capped := 0, 0
			for _, tier := range metrics.tiers {
				Expect(tier.failed).To(BeZero())
				ended += tier.completed + tier.refused + tier.capped
				capped += tier.capped
			}
			Expect(ended).To(Equal(len(arrivals)), policy.Name)
			Expect(capped).To(BeNumerically("<=", config.EndlessPrograms))
		}
	})

	It("ends an endless program at its token cap", func() {
		file := tiny()
		config := file.runConfig(file.policy("attained"), 1, 0.001)
		config.LoseEngineAt = 0
		config.WarmUp = 0
		metrics, err := run(config)
		Expect(err).NotTo(HaveOccurred())
		Expect(metrics.tier("back-office").capped).To(Equal(1))
	})

	It("delivers every token of a completed call to the caller once", func() {
		file := tiny()
		config := file.runConfig(file.policy("first-come"), 3, 4)
		config.WarmUp = 0
		config.EndlessPrograms = 0
		expected := int64(0)
		for _, program := range workload.NewGenerator(config.Deployment, config.Seed).
			Arrivals(config.Rate, config.Duration, 0) {
			expected += outputTokens(program)
		}
		metrics, err := run(config)
		Expect(err).NotTo(HaveOccurred())
		all := metrics.summarize("", 0, 0).All
		Expect(all.Completed).To(Equal(all.Arrived))
		Expect(all.FirstToken.Count + all.TokenGap.Count).To(Equal(expected))
	})

	It("measures capacity as the completion rate of a saturated closed loop", func() {
		file := tiny()
		file.LoseEngineAt = 0
		rate, err := MeasureCapacity(context.Background(), file, DefaultWorkers)
		Expect(err).NotTo(HaveOccurred())
		Expect(rate).To(BeNumerically(">", 0))
	})
})

func outputTokens(program *workload.Program) int64 {
	total := int64(0)
	for _, turn := range program.Turns {
		total += int64(turn.Output.Tokens)
		for _, subAgent := range turn.SubAgents {
			total += outputTokens(subAgent)
		}
	}
	return total
}

var _ = Describe("Measurements", func() {
	It("summarizes latencies, fairness and cache usage", func() {
		metrics := newCollector(workload.Namibia())
		kiosk := metrics.tier("kiosk")
		for _, latency := range []time.Duration{100, 200, 300, 400} {
			record(kiosk.latency, latency*time.Millisecond)
		}
		kiosk.arrived, kiosk.completed, kiosk.refused = 5, 4, 1
		// For speeds 1, 1, 1 and 0, Jain's index is 9 / (4 * 3).
		kiosk.speedSum, kiosk.speedSquareSum = 3, 3
		metrics.cache = cacheTotals{heldSeconds: 200, wastedSeconds: 50, idleSeconds: 20, promptTokens: 10, cachedTokens: 4}
		cell := metrics.summarize("any", 1, 1)
		Expect(cell.Tiers).To(HaveLen(1))
		Expect(cell.Tiers[0].Latency.Mean).To(BeNumerically("~", 250, 0.5))
		Expect(cell.Tiers[0].Latency.P50).To(BeNumerically("~", 200, 0.5))
		Expect(cell.Tiers[0].Latency.P95).To(BeNumerically("~", 400, 0.5))
		Expect(cell.Tiers[0].Fairness).To(BeNumerically("~", 0.75, 1e-9))
		Expect(cell.All.Refused).To(Equal(1))
		Expect(cell.Cache.WastedShare).To(BeNumerically("~", 0.25, 1e-9))
		Expect(cell.Cache.IdleShare).To(BeNumerically("~", 0.1, 1e-9))
		Expect(cell.Cache.HitShare).To(BeNumerically("~", 0.4, 1e-9))
	})

	It("computes the latency of a program on an unloaded deployment", func() {
		file, err := ParseFile([]byte(tinyFile))
		Expect(err).NotTo(HaveOccurred())
		config := file.runConfig(file.policy("first-come"), 1, 1)
		program := &workload.Program{Turns: []workload.Turn{
			{NewPrompt: workload.Segment{Tokens: 100}, Output: workload.Segment{Tokens: 10}, Pause: 50 * time.Millisecond},
			{NewPrompt: workload.Segment{Tokens: 600}, Output: workload.Segment{Tokens: 1}, Pause: time.Second},
		}}
		clients := 4 * config.Deployment.ClientDelay
		prefill := 3*time.Millisecond + 100*20*time.Microsecond + 2*3*time.Millisecond + 600*20*time.Microsecond
		decode := 11 * (3*time.Millisecond + 20*time.Microsecond)
		Expect(unloadedLatency(program, config)).To(Equal(clients + prefill + decode + 50*time.Millisecond))
	})

	It("serves tool calls in order with one call per slot at a time", func() {
		backends := newToolBackends(2)
		Expect(backends.schedule(0, 5*time.Second)).To(Equal(5 * time.Second))
		Expect(backends.schedule(0, 2*time.Second)).To(Equal(2 * time.Second))
		Expect(backends.schedule(time.Second, time.Second)).To(Equal(3 * time.Second))
	})

	It("runs actions in order of time, then of scheduling", func() {
		var clock virtualClock
		var order []int
		clock.after(2*time.Second, func() { order = append(order, 3) })
		clock.after(time.Second, func() { order = append(order, 1) })
		clock.after(time.Second, func() { order = append(order, 2) })
		for clock.step() {
			continue
		}
		Expect(order).To(Equal([]int{1, 2, 3}))
		Expect(clock.now).To(Equal(2 * time.Second))
	})
})
