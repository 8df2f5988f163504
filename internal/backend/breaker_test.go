package backend_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Breaker", func() {
	const (
		turnTime  = 230 * time.Millisecond
		errorTime = 4 * time.Millisecond
		failFrom  = 2 * time.Second
		failUntil = 8 * time.Second
		duration  = 14 * time.Second
	)
	failingEngines := []string{"e3", "e11", "e20", "e41"}

	// returnErrors simulates engines that return errors immediately.
	returnErrors := func(engine, _ string, at time.Duration) (backend.Outcome, time.Duration) {
		if slices.Contains(failingEngines, engine) && at >= failFrom && at < failUntil {
			return backend.EngineError, errorTime
		}
		return backend.Succeeded, turnTime
	}

	simulate := func(sim *breakerSim, answer func(string, string, time.Duration) (backend.Outcome, time.Duration)) *outcomeTally {
		tally := newOutcomeTally()
		sim.answer = answer
		sim.onFinish = tally.record
		sim.run(duration)
		fmt.Fprintln(GinkgoWriter, "failures by time", tally.failedAt)
		return tally
	}
	// Guards against comparisons of two simulations that fail by chance.
	BeforeEach(func() { DeferCleanup(backend.SeedRandom(1)) })

	isolatedNodes := func(nodes int) *breakerSim {
		sim := newBreakerSim(nodes, 44)
		sim.sharesLoad = false
		return sim
	}
	// withoutBreaker simulates with the breaker disabled.
	withoutBreaker := func(sim *breakerSim, answer func(string, string, time.Duration) (backend.Outcome, time.Duration)) *outcomeTally {
		Expect(feature.Disable(string(feature.EngineBreaker))).To(Succeed())
		defer func() { _ = feature.Disable("") }()
		return simulate(sim, answer)
	}

	It("limits failures when four of 44 engines return errors and 60 nodes share their load", func() {
		tally := simulate(newBreakerSim(60, 44), returnErrors)
		baseline := withoutBreaker(newBreakerSim(60, 44), returnErrors)
		Expect(baseline.failedBetween(failFrom, failUntil)).To(BeNumerically(">", 200))
		Expect(tally.failedBetween(failFrom, failUntil)).To(BeNumerically("<", baseline.failedBetween(failFrom, failUntil)/2))
		Expect(tally.failedBetween(failFrom+time.Second, failUntil)).To(BeNumerically("<", 70), "probes")
		Expect(tally.failedBetween(failUntil+time.Second, duration)).To(BeZero())
	})

	It("limits failures by each node's own observations, and does no harm when many nodes share nothing", func() {
		Expect(simulate(isolatedNodes(6), returnErrors).failedBetween(failFrom, failUntil)).To(BeNumerically("<", withoutBreaker(isolatedNodes(6), returnErrors).failedBetween(failFrom, failUntil)/2))
		Expect(simulate(isolatedNodes(60), returnErrors).failedBetween(failFrom, failUntil)).To(BeNumerically("<", withoutBreaker(isolatedNodes(60), returnErrors).failedBetween(failFrom, failUntil)*6/5))
	})

	It("readmits engines within seconds of their recovery", func() {
		for _, repeatable := range []float64{0, 0.2} {
			sim := newBreakerSim(60, 44)
			sim.repeatableShare = repeatable
			servedAfterRecovery := map[string]int{}
			tally := simulate(sim, func(engine, zone string, at time.Duration) (backend.Outcome, time.Duration) {
				if at >= failUntil+3*time.Second {
					servedAfterRecovery[engine]++
				}
				return returnErrors(engine, zone, at)
			})
			Expect(sim.maxOpenBreakers()).To(BeZero())
			recovered, all := 0, 0
			for _, engine := range engineNames(44) {
				all += servedAfterRecovery[engine]
				if slices.Contains(failingEngines, engine) {
					recovered += servedAfterRecovery[engine]
				}
			}
			Expect(recovered).To(BeNumerically(">", all*len(failingEngines)/44*2/3))
			Expect(tally.failedBetween(failUntil+time.Second, duration)).To(BeZero())
		}
	})

	DescribeTable("limits requests to engines that fail in other ways",
		func(outcome backend.Outcome, took time.Duration) {
			failRequests := func(engine, _ string, at time.Duration) (backend.Outcome, time.Duration) {
				if slices.Contains(failingEngines, engine) && at >= failFrom && at < failUntil {
					return outcome, took
				}
				return backend.Succeeded, turnTime
			}
			tally := simulate(newBreakerSim(60, 44), failRequests)
			Expect(tally.failedBetween(failFrom+2*time.Second, failUntil)).To(BeNumerically("<", 70), "probes")
		},
		Entry("aborted responses", backend.Failed, 100*time.Millisecond),
		Entry("no byte for 0.6 s", backend.NoResponse, 1500*time.Millisecond),
		Entry("refusals while idle", backend.Full, errorTime),
	)

	It("opens for at most a third of a service's engines, the worst first", func() {
		sim := newBreakerSim(60, 44)
		maxOpen := 0
		simulate(sim, func(engine, _ string, at time.Duration) (backend.Outcome, time.Duration) {
			maxOpen = max(maxOpen, sim.maxOpenBreakers())
			if slices.Contains(engineNames(20), engine) && at >= failFrom && at < failUntil {
				return backend.EngineError, errorTime
			}
			return backend.Succeeded, turnTime
		})
		Expect(maxOpen).To(BeNumerically("<=", 14))
		Expect(maxOpen).To(BeNumerically(">=", 10))
	})

	It("opens for few engines while all fail alike or recover", func() {
		sim := newBreakerSim(60, 44)
		maxOpen := 0
		simulate(sim, func(_, _ string, at time.Duration) (backend.Outcome, time.Duration) {
			if at >= failFrom+2*time.Second {
				maxOpen = max(maxOpen, sim.maxOpenBreakers())
			}
			if at >= failFrom && at < failUntil {
				return backend.EngineError, errorTime
			}
			return backend.Succeeded, turnTime
		})
		Expect(maxOpen).To(BeNumerically("<=", 7))
	})

	It("stays closed at a failure rate of 1 %, at any request rate", func() {
		for _, interval := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond} {
			sim := newBreakerSim(60, 8)
			sim.interval = interval
			maxOpen := 0
			simulate(sim, func(string, string, time.Duration) (backend.Outcome, time.Duration) {
				maxOpen = max(maxOpen, sim.maxOpenBreakers())
				if sim.random.Float64() < 0.01 {
					return backend.EngineError, errorTime
				}
				return backend.Succeeded, 40 * time.Millisecond
			})
			Expect(maxOpen).To(BeZero())
		}
	})

	It("leaves requests from other zones to an engine that fails only one zone's", func() {
		served := map[string]int{}
		sim := newBreakerSim(60, 44)
		sim.answer = func(engine, zone string, at time.Duration) (backend.Outcome, time.Duration) {
			if slices.Contains(failingEngines, engine) && zone == "y" && at >= failFrom && at < failUntil {
				return backend.EngineError, errorTime
			}
			return backend.Succeeded, turnTime
		}
		sim.onFinish = func(engine, zone string, at time.Duration, outcome backend.Outcome) {
			if outcome == backend.Succeeded && slices.Contains(failingEngines, engine) && at >= failFrom+time.Second && at < failUntil {
				served[zone]++
			}
		}
		sim.run(duration)
		Expect(served["x"] + served["z"]).To(BeNumerically(">", 50))
	})

	It("limits failures of an engine that fails every other second", func() {
		failAlternately := func(engine, _ string, at time.Duration) (backend.Outcome, time.Duration) {
			if slices.Contains(failingEngines, engine) && at >= failFrom && (at/time.Second)%2 == 0 {
				return backend.EngineError, errorTime
			}
			return backend.Succeeded, turnTime
		}
		// The number of failures varies between runs, so three are summed.
		enabled, baseline := 0, 0
		for range 3 {
			enabled += simulate(newBreakerSim(60, 44), failAlternately).failedBetween(failFrom, duration)
			baseline += withoutBreaker(newBreakerSim(60, 44), failAlternately).failedBetween(failFrom, duration)
		}
		Expect(enabled).To(BeNumerically("<", baseline*4/5))
	})

	It("leaves most of its requests to an engine that fails one in ten", func() {
		sim := newBreakerSim(60, 44)
		tally := simulate(sim, func(engine, _ string, _ time.Duration) (backend.Outcome, time.Duration) {
			if slices.Contains(failingEngines, engine) && sim.random.Float64() < 0.1 {
				return backend.EngineError, errorTime
			}
			return backend.Succeeded, turnTime
		})
		for _, engine := range failingEngines {
			Expect(tally.finished[engine]).To(BeNumerically(">", tally.finished["e0"]/2), engine)
		}
	})

	It("prefers repeatable requests as probes", func() {
		sim := newBreakerSim(60, 44)
		sim.repeatableShare = 0.5
		// At this rate, a node usually receives a repeatable request before a due probe may use
		// another one.
		sim.interval = time.Millisecond
		probes := map[bool]int{}
		sim.answer = func(engine, _ string, at time.Duration) (backend.Outcome, time.Duration) {
			if slices.Contains(failingEngines, engine) && at >= failFrom {
				if at >= failFrom+2*time.Second {
					probes[sim.lastRepeatable]++
				}
				return backend.EngineError, errorTime
			}
			return backend.Succeeded, turnTime
		}
		sim.onFinish = func(string, string, time.Duration, backend.Outcome) {}
		sim.run(duration)
		Expect(probes[false]).To(BeNumerically("<", probes[true]/5), "%v", probes)
	})

	failThreeRequests := func(directory *backend.Directory, id string) {
		sent := []*backend.Engine{pickAssigned(directory, id), pickAssigned(directory, id), pickAssigned(directory, id)}
		for _, engine := range sent {
			directory.EndFirstByteWait(engine)
			directory.Finish(engine, backend.EngineError, now)
		}
	}

	It("reports each change with the counts that caused it, and the number of open breakers", func() {
		directory := newDirectory(3)
		var changes []backend.BreakerChange
		directory.OnBreakerChange(func(change backend.BreakerChange) { changes = append(changes, change) })
		failThreeRequests(directory, "e1")
		Expect(directory.Healthy(service, nil, now)).To(HaveLen(2))
		Expect(directory.OpenBreakers()).To(Equal(map[string]int{service: 1}))
		Expect(changes).To(Equal([]backend.BreakerChange{{Engine: "e1", Service: service, Open: true, Failed: 3}}))
		Expect(directory.Healthy(service, nil, now.Add(10*time.Second))).To(HaveLen(3))
		Expect(changes).To(HaveLen(2))
		Expect(changes[1].Open).To(BeFalse())
	})

	It("sends no probe while any request of this node awaits its first byte, including earlier ones", func() {
		directory := newDirectory(3)
		responded, waiting := pickAssigned(directory, "e1"), pickAssigned(directory, "e1")
		failThreeRequests(directory, "e1")
		Expect(directory.Healthy(service, nil, now)).To(HaveLen(2))
		// probed reports whether one of several requests is sent to the engine.
		probed := func(after time.Duration) bool {
			for range 4 {
				if directory.Pick(&backend.Request{Service: service, Repeatable: true}, now.Add(after)).ID == "e1" {
					return true
				}
			}
			return false
		}
		directory.EndFirstByteWait(responded)
		directory.Finish(responded, backend.Abandoned, now)
		Expect(probed(900 * time.Millisecond)).To(BeFalse())
		directory.EndFirstByteWait(waiting)
		directory.Finish(waiting, backend.Abandoned, now)
		Expect(probed(900 * time.Millisecond)).To(BeTrue())
	})

	It("does not count a late response as a failure", func() {
		directory := newDirectory(3)
		sent := []*backend.Engine{pickAssigned(directory, "e1"), pickAssigned(directory, "e1"), pickAssigned(directory, "e1")}
		for _, engine := range sent {
			directory.CountFailed(engine.Instance, now)
			directory.UncountFailed(engine.Instance, now)
		}
		Expect(directory.OpenBreakers()).To(Equal(map[string]int{service: 0}))
		Expect(directory.OutcomeReport(now).Engines["e1"].Failed).To(BeNumerically("==", 0))
	})

	It("does not count requests sent by another node, which may have been lost itself", func() {
		directory := newDirectory(3)
		directory.Finish(pickAssigned(directory, "e1"), backend.FailedRemotely, now)
		directory.Finish(pickAssigned(directory, "e1"), backend.FailedRemotely, now)
		Expect(directory.OutcomeReport(now).Engines["e1"].Failed).To(BeZero())
		Expect(directory.Avoided(now)).To(ConsistOf("e1"), "this node avoids it nevertheless")
	})

	It("has no effect when the feature is disabled", func() {
		Expect(feature.Disable(string(feature.EngineBreaker))).To(Succeed())
		DeferCleanup(func() { _ = feature.Disable("") })
		directory := newDirectory(3)
		failThreeRequests(directory, "e1")
		Expect(directory.Healthy(service, nil, now)).To(HaveLen(3))
		Expect(directory.OpenBreakers()).To(Equal(map[string]int{service: 0}))
	})
})
