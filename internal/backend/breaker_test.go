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
		turn     = 230 * time.Millisecond
		quick    = 4 * time.Millisecond
		from     = 2 * time.Second
		until    = 8 * time.Second
		finished = 14 * time.Second
	)
	failing := []string{"e3", "e11", "e20", "e41"}

	// errors is an engine that answers errors at once.
	errors := func(engine, _ string, at time.Duration) (backend.Outcome, time.Duration) {
		if slices.Contains(failing, engine) && at >= from && at < until {
			return backend.EngineError, quick
		}
		return backend.Succeeded, turn
	}

	play := func(played *replay, answer func(string, string, time.Duration) (backend.Outcome, time.Duration)) *tally {
		counted := newTally()
		played.answer = answer
		played.noted = counted.note
		played.run(finished)
		fmt.Fprintln(GinkgoWriter, "bad ends by time", counted.badAt)
		return counted
	}
	alone := func(nodes int) *replay {
		played := newReplay(nodes, 44)
		played.shares = false
		return played
	}
	// without plays with the gate off.
	without := func(played *replay, answer func(string, string, time.Duration) (backend.Outcome, time.Duration)) *tally {
		Expect(feature.Disable(string(feature.EngineBreaker))).To(Succeed())
		defer func() { _ = feature.Disable("") }()
		return play(played, answer)
	}

	It("keeps work off four of 44 engines that answer errors at once, as 60 nodes share their load", func() {
		counted := play(newReplay(60, 44), errors)
		before := without(newReplay(60, 44), errors)
		Expect(before.badIn(from, until)).To(BeNumerically(">", 200))
		Expect(counted.badIn(from, until)).To(BeNumerically("<", before.badIn(from, until)/2))
		Expect(counted.badIn(from+time.Second, until)).To(BeNumerically("<", 70), "probes")
		Expect(counted.badIn(until+time.Second, finished)).To(BeZero())
	})

	It("keeps work off them by what each of a few nodes has seen itself, and is of no harm where many know nothing of each other", func() {
		Expect(play(alone(6), errors).badIn(from, until)).To(BeNumerically("<", without(alone(6), errors).badIn(from, until)/2))
		Expect(play(alone(60), errors).badIn(from, until)).To(BeNumerically("<", without(alone(60), errors).badIn(from, until)*6/5))
	})

	It("lets work back within some seconds of an engine's recovery", func() {
		for _, repeatable := range []float64{0, 0.2} {
			played := newReplay(60, 44)
			played.repeatable = repeatable
			servedLate := map[string]int{}
			counted := play(played, func(engine, zone string, at time.Duration) (backend.Outcome, time.Duration) {
				if at >= until+3*time.Second {
					servedLate[engine]++
				}
				return errors(engine, zone, at)
			})
			Expect(played.mostOpen()).To(BeZero())
			recovered, all := 0, 0
			for _, engine := range engineNames(44) {
				all += servedLate[engine]
				if slices.Contains(failing, engine) {
					recovered += servedLate[engine]
				}
			}
			Expect(recovered).To(BeNumerically(">", all*len(failing)/44*2/3))
			Expect(counted.badIn(until+time.Second, finished)).To(BeZero())
		}
	})

	DescribeTable("keeps work off engines that fail in other ways",
		func(outcome backend.Outcome, took time.Duration) {
			fails := func(engine, _ string, at time.Duration) (backend.Outcome, time.Duration) {
				if slices.Contains(failing, engine) && at >= from && at < until {
					return outcome, took
				}
				return backend.Succeeded, turn
			}
			counted := play(newReplay(60, 44), fails)
			Expect(counted.badIn(from+2*time.Second, until)).To(BeNumerically("<", 70), "probes")
		},
		Entry("answers cut off", backend.Failed, 100*time.Millisecond),
		Entry("no byte for 0.6 s", backend.NoResponse, 1500*time.Millisecond),
		Entry("refusals though nothing runs", backend.Full, quick),
	)

	It("never keeps work off more than a third of a service's engines, the worst first", func() {
		played := newReplay(60, 44)
		most := 0
		play(played, func(engine, _ string, at time.Duration) (backend.Outcome, time.Duration) {
			most = max(most, played.mostOpen())
			if slices.Contains(engineNames(20), engine) && at >= from && at < until {
				return backend.EngineError, quick
			}
			return backend.Succeeded, turn
		})
		Expect(most).To(BeNumerically("<=", 14))
		Expect(most).To(BeNumerically(">=", 10))
	})

	It("keeps no engine's work off while all fail alike, nor as they recover", func() {
		played := newReplay(60, 44)
		most := 0
		play(played, func(_, _ string, at time.Duration) (backend.Outcome, time.Duration) {
			if at >= from+2*time.Second {
				most = max(most, played.mostOpen())
			}
			if at >= from && at < until {
				return backend.EngineError, quick
			}
			return backend.Succeeded, turn
		})
		Expect(most).To(BeNumerically("<=", 7))
	})

	It("opens for no tool of whose answers one in a hundred is an error, at any rate", func() {
		for _, interval := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond} {
			played := newReplay(60, 8)
			played.interval = interval
			open := 0
			play(played, func(string, string, time.Duration) (backend.Outcome, time.Duration) {
				open = max(open, played.mostOpen())
				if played.random.Float64() < 0.01 {
					return backend.EngineError, quick
				}
				return backend.Succeeded, 40 * time.Millisecond
			})
			Expect(open).To(BeZero())
		}
	})

	It("leaves an engine that fails the callers of one zone some of the others' work", func() {
		served := map[string]int{}
		played := newReplay(60, 44)
		played.answer = func(engine, zone string, at time.Duration) (backend.Outcome, time.Duration) {
			if slices.Contains(failing, engine) && zone == "y" && at >= from && at < until {
				return backend.EngineError, quick
			}
			return backend.Succeeded, turn
		}
		played.noted = func(engine, zone string, at time.Duration, outcome backend.Outcome) {
			if outcome == backend.Succeeded && slices.Contains(failing, engine) && at >= from+time.Second && at < until {
				served[zone]++
			}
		}
		played.run(finished)
		Expect(served["x"] + served["z"]).To(BeNumerically(">", 50))
	})

	It("keeps work off an engine that fails every other second", func() {
		flaps := func(engine, _ string, at time.Duration) (backend.Outcome, time.Duration) {
			if slices.Contains(failing, engine) && at >= from && (at/time.Second)%2 == 0 {
				return backend.EngineError, quick
			}
			return backend.Succeeded, turn
		}
		// One play has some 150 to 200 bad ends; three tell the mean.
		with, before := 0, 0
		for range 3 {
			with += play(newReplay(60, 44), flaps).badIn(from, finished)
			before += without(newReplay(60, 44), flaps).badIn(from, finished)
		}
		Expect(with).To(BeNumerically("<", before*4/5))
	})

	It("leaves an engine most of its work that fails one in ten of its requests", func() {
		played := newReplay(60, 44)
		counted := play(played, func(engine, _ string, _ time.Duration) (backend.Outcome, time.Duration) {
			if slices.Contains(failing, engine) && played.random.Float64() < 0.1 {
				return backend.EngineError, quick
			}
			return backend.Succeeded, turn
		})
		for _, engine := range failing {
			Expect(counted.ends[engine]).To(BeNumerically(">", counted.ends["e0"]/2), engine)
		}
	})

	It("probes with requests that may be repeated where there are some", func() {
		played := newReplay(60, 44)
		played.repeatable = 0.5
		// A node gets eight such requests a second: in the time that a due probe waits for
		// one, none comes to it once in 55 times.
		played.interval = time.Millisecond
		probes := map[bool]int{}
		played.answer = func(engine, _ string, at time.Duration) (backend.Outcome, time.Duration) {
			if slices.Contains(failing, engine) && at >= from {
				if at >= from+2*time.Second {
					probes[played.lastRepeatable]++
				}
				return backend.EngineError, quick
			}
			return backend.Succeeded, turn
		}
		played.noted = func(string, string, time.Duration, backend.Outcome) {}
		played.run(finished)
		Expect(probes[false]).To(BeNumerically("<", probes[true]/5), "%v", probes)
	})

	// failThrice has three requests at an engine fail.
	failThrice := func(directory *backend.Directory, id string) {
		sent := []*backend.Engine{assign(directory, id), assign(directory, id), assign(directory, id)}
		for _, engine := range sent {
			directory.EndFirstByteWait(engine)
			directory.Finish(engine, backend.EngineError, now)
		}
	}

	It("tells of each change with the sums that decided, and how many are open", func() {
		directory := newDirectory(3)
		var changes []backend.BreakerChange
		directory.OnBreakerChange(func(change backend.BreakerChange) { changes = append(changes, change) })
		failThrice(directory, "e1")
		Expect(directory.Healthy(service, nil, now)).To(HaveLen(2))
		Expect(directory.OpenBreakers()).To(Equal(map[string]int{service: 1}))
		Expect(changes).To(Equal([]backend.BreakerChange{{Engine: "e1", Service: service, Open: true, Failed: 3}}))
		Expect(directory.Healthy(service, nil, now.Add(10*time.Second))).To(HaveLen(3))
		Expect(changes).To(HaveLen(2))
		Expect(changes[1].Open).To(BeFalse())
	})

	It("sends no probe while a request of this node's own is there without a byte, also one from before", func() {
		directory := newDirectory(3)
		answered, silent := assign(directory, "e1"), assign(directory, "e1")
		failThrice(directory, "e1")
		Expect(directory.Healthy(service, nil, now)).To(HaveLen(2))
		// probed tells whether one of some requests goes to the engine.
		probed := func(after time.Duration) bool {
			for range 4 {
				if directory.Pick(&backend.Request{Service: service, Repeatable: true}, now.Add(after)).ID == "e1" {
					return true
				}
			}
			return false
		}
		directory.EndFirstByteWait(answered)
		directory.Finish(answered, backend.Abandoned, now)
		Expect(probed(900 * time.Millisecond)).To(BeFalse())
		directory.EndFirstByteWait(silent)
		directory.Finish(silent, backend.Abandoned, now)
		Expect(probed(900 * time.Millisecond)).To(BeTrue())
	})

	It("does not count a request against an engine that is only late", func() {
		directory := newDirectory(3)
		sent := []*backend.Engine{assign(directory, "e1"), assign(directory, "e1"), assign(directory, "e1")}
		for _, engine := range sent {
			directory.CountFailed(engine.Instance, now)
			directory.UncountFailed(engine.Instance, now)
		}
		Expect(directory.OpenBreakers()).To(Equal(map[string]int{service: 0}))
		Expect(directory.EndsReport(now).Engines["e1"].Failed).To(BeNumerically("==", 0))
	})

	It("does not count what another node has sent, which may have been lost itself", func() {
		directory := newDirectory(3)
		directory.Finish(assign(directory, "e1"), backend.FailedRemotely, now)
		directory.Finish(assign(directory, "e1"), backend.FailedRemotely, now)
		Expect(directory.EndsReport(now).Engines["e1"].Failed).To(BeZero())
		Expect(directory.Avoided(now)).To(ConsistOf("e1"), "this node does pass it over")
	})

	It("does nothing with its gate off", func() {
		Expect(feature.Disable(string(feature.EngineBreaker))).To(Succeed())
		DeferCleanup(func() { _ = feature.Disable("") })
		directory := newDirectory(3)
		failThrice(directory, "e1")
		Expect(directory.Healthy(service, nil, now)).To(HaveLen(3))
		Expect(directory.OpenBreakers()).To(Equal(map[string]int{service: 0}))
	})
})
