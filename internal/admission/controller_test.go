package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/magpielug/magpielug/internal/admission"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// warmUp is the time after which a simulation has stable estimates. Bursts of 5 s follow.
	warmUp    = 12 * time.Second
	burstEnds = warmUp + 5*time.Second
	runTime   = burstEnds + 4*time.Second
	// viewAge is the typical maximum age of a load view.
	viewAge = 300 * time.Millisecond
	// maxDemand is the admissible demand in relation to the slots, averaged over a burst;
	// maxPeakDemand is that of single moments, when started programs launch their sub-agents.
	maxDemand     = 1.2
	maxPeakDemand = 1.4
)

// classesAt returns two routes that together use a fraction of the model slots. Short programs
// of 1.2 s are the majority; long ones of 3.6 s use two slots once their sub-agents start.
func classesAt(share float64) []*programClass {
	// Slot-seconds of a program, including those that loop.
	const shortSlots, longSlots = (0.97*1.2 + 0.03*6) * 0.8, (0.99*3.6 + 0.01*6) * 1.5 * 0.8
	return []*programClass{
		{route: "short", rate: steadyRate(share * 200 / shortSlots), lifetime: 1200 * time.Millisecond, concurrentTurns: 1, loopFraction: 0.03},
		{route: "long", priority: 2, rate: steadyRate(share * 70 / longSlots), lifetime: 3600 * time.Millisecond, concurrentTurns: 2, loopFraction: 0.01},
	}
}

// burst multiplies the arrival rate of one of the classes for 5 s.
func burst(index int, times float64) []*programClass {
	classes := classesAt(0.75)
	classes[index].rate = burstRate(classes[index].rate(0), times, warmUp, burstEnds)
	return classes
}

// newSimulation returns a simulation with tool calls that use three quarters of the tool slots.
func newSimulation(classes []*programClass, owners int) *simulation {
	return &simulation{classes: classes, owners: owners, viewAge: viewAge, toolsPerTurn: 0.12, seed: 1, options: admission.Options{TenantShares: true, MemoryLimit: true}}
}

var _ = Describe("A burst of short programs at 2.4 times their usual rate for 5 s", func() {
	for _, owners := range []int{1, 14} {
		for seed := range uint64(3) {
			It(fmt.Sprintf("keeps demand close to the slots, with %d owners, seed %d", owners, seed), func() {
				sim := newSimulation(burst(0, 2.4), owners)
				sim.seed = seed
				sim.run(runTime)
				during := sim.between(warmUp+time.Second, burstEnds)
				Expect(during.demand).To(BeNumerically("<=", maxDemand*modelSlots), "demand a second into the burst")
				Expect(during.demand).To(BeNumerically(">=", 0.95*modelSlots), "slots do not idle")
				Expect(sim.peakDemand(warmUp, runTime)).To(BeNumerically("<=", maxPeakDemand*modelSlots))
				Expect(during.refusedFraction("")).To(BeNumerically(">", 0.1))
				Expect(sim.between(warmUp-4*time.Second, warmUp).refused[""]).To(BeZero(), "before the burst")
				Expect(sim.between(burstEnds+time.Second, runTime).refused[""]).To(BeZero(), "a second after it")
			})
		}
	}

	It("exceeds the slots by nearly half without admission control", func() {
		sim := newSimulation(burst(0, 2.4), 1)
		sim.admitsAll = true
		sim.run(runTime)
		Expect(sim.between(warmUp+2*time.Second, burstEnds).demand).To(BeNumerically(">", 1.4*modelSlots))
	})

	It("refuses the less urgent priority first, without starving it", func() {
		sim := newSimulation(burst(0, 2.4), 14)
		sim.run(runTime)
		during := sim.between(warmUp+time.Second, burstEnds)
		Expect(during.refusedFraction("short")).To(BeNumerically("<", during.refusedFraction("long")))
		Expect(during.refused["long"]).To(BeNumerically("<", during.requested["long"]))
	})
})

var _ = Describe("A burst of less urgent programs", func() {
	It("hardly affects more urgent ones", func() {
		sim := newSimulation(burst(1, 5), 14)
		sim.run(runTime)
		during := sim.between(warmUp+time.Second, burstEnds)
		Expect(during.refusedFraction("long")).To(BeNumerically(">", 0.2))
		Expect(during.refusedFraction("short")).To(BeNumerically("<", 0.1))
		Expect(during.refusedFraction("short")).To(BeNumerically("<", during.refusedFraction("long")/4))
		Expect(during.demand).To(BeNumerically("<=", maxDemand*modelSlots))
	})
})

var _ = Describe("A burst of programs that need much more work than others of their priority", func() {
	It("hardly affects the others, and still gets most of the capacity", func() {
		classes := burst(1, 5)
		for _, class := range classes {
			class.priority = 1
		}
		sim := newSimulation(classes, 14)
		sim.run(runTime)
		during := sim.between(warmUp+time.Second, burstEnds)
		Expect(during.refusedFraction("long")).To(BeNumerically(">", 0.2))
		Expect(during.refusedFraction("short")).To(BeNumerically("<", during.refusedFraction("long")/2))
		Expect(during.refused["long"]).To(BeNumerically("<", during.requested["long"]))
		Expect(during.demand).To(BeNumerically("<=", maxDemand*modelSlots))
	})
})

var _ = Describe("Sustained overload by urgent programs", func() {
	It("leaves a minimum share to each priority", func() {
		classes := classesAt(0.75)
		classes[0].rate = steadyRate(4 * classes[0].rate(0))
		sim := newSimulation(classes, 14)
		sim.run(40 * time.Second)
		for at := 10 * time.Second; at < 40*time.Second; at += 10 * time.Second {
			span := sim.between(at, at+10*time.Second)
			Expect(span.refused["long"]).To(BeNumerically("<", span.requested["long"]), at.String())
			Expect(span.demand).To(BeNumerically("<=", maxDemand*modelSlots), at.String())
		}
	})
})

var _ = Describe("Load below capacity", func() {
	It("is never refused at 90% with evenly spaced arrivals", func() {
		sim := newSimulation(classesAt(0.9), 14)
		sim.evenArrivals = true
		sim.run(30 * time.Second)
		Expect(sim.between(0, 30*time.Second).refused[""]).To(BeZero())
	})

	It("is hardly ever refused at 90% with random arrivals", func() {
		for seed := range uint64(3) {
			sim := newSimulation(classesAt(0.9), 14)
			sim.seed = seed
			sim.run(30 * time.Second)
			Expect(sim.between(0, 30*time.Second).refusedFraction("")).To(BeNumerically("<", 0.005))
		}
	})

	It("is never refused at 75% with random arrivals and looping programs", func() {
		for seed := range uint64(3) {
			sim := newSimulation(classesAt(0.75), 14)
			sim.seed = seed
			sim.run(40 * time.Second)
			Expect(sim.between(0, 40*time.Second).refused[""]).To(BeZero())
		}
	})
})

var _ = Describe("A tenant at six times its usual rate", func() {
	// There are 24 tenants with equal rates; "t0" has six times its rate during the burst, in
	// which total demand is 1.2 times the slots.
	burstTenant := func(at time.Duration, random *rand.Rand) string {
		weight := 1.0
		if at >= warmUp && at < burstEnds {
			weight = 6
		}
		if place := random.Float64() * (23 + weight); place >= weight {
			return fmt.Sprint("t", 1+int(place-weight))
		}
		return "t0"
	}
	runBurst := func(shares bool) sample {
		classes := classesAt(0.95)
		classes[0].rate = burstRate(classes[0].rate(0), 1.5, warmUp, burstEnds)
		classes[0].tenant = burstTenant
		sim := newSimulation(classes, 14)
		sim.options.TenantShares = shares
		sim.run(runTime)
		return sim.between(warmUp+time.Second, burstEnds)
	}
	others := func(sum sample) float64 {
		requested, refused := 0, 0
		for number := 1; number <= 23; number++ {
			key := fmt.Sprint("shortt", number)
			requested += sum.requested[key]
			refused += sum.refused[key]
		}
		return float64(refused) / float64(requested)
	}

	It("is refused before the others are", func() {
		with := runBurst(true)
		Expect(with.refusedFraction("shortt0")).To(BeNumerically(">", 3*others(with)))
		Expect(others(with)).To(BeNumerically("<", others(runBurst(false))))
		Expect(with.reasons[admission.ReasonTenantShare]).To(BeNumerically(">", 0))
	})
})

var _ = Describe("Controller", func() {
	now := time.Unix(1000, 0)
	short := admission.RouteName("r", models, 0)
	// stateOf returns a state with a number of programs, each with one turn in flight, and a
	// number of slots.
	stateOf := func(programs, slots int) *admission.State {
		total := load.NewReport()
		total.Routes[short] = load.Route{Service: models, Programs: programs, Turns: programs, ProgramsStarted: float64(programs) / 4}
		return &admission.State{Total: total, Known: true, OwnerShare: 1, Services: []admission.Service{
			{Name: models, Slots: slots, Engines: slots / 6, Running: min(programs, slots)},
		}}
	}
	request := func(id string) admission.Request {
		return admission.Request{Program: tenant.Program{ID: id}, Route: short, Service: models}
	}
	// trained returns a controller that has observed a state for a while.
	trained := func(options admission.Options, state *admission.State) *admission.Controller {
		controller := admission.NewController(options)
		for step := range 100 {
			controller.Observe(state, now.Add(time.Duration(step-100)*200*time.Millisecond))
		}
		return controller
	}

	It("admits all programs while the load is unknown", func() {
		full := stateOf(600, 270)
		controller := trained(admission.Options{}, full)
		full.Known = false
		for number := range 100 {
			Expect(controller.Decide(request(fmt.Sprint(number)), full, now).Admitted).To(BeTrue())
		}
	})

	It("spreads the retries of refused programs, within their deadlines", func() {
		full := stateOf(600, 270)
		controller := trained(admission.Options{}, full)
		waits := map[time.Duration]bool{}
		for number := range 20 {
			refusedRequest := request(fmt.Sprint(number))
			refusedRequest.RetryJitter = float64(number) / 20
			decision := controller.Decide(refusedRequest, full, now)
			Expect(decision.Admitted).To(BeFalse())
			Expect(decision.Reason).To(Equal(admission.ReasonSlots))
			Expect(decision.RetryAfter).To(And(BeNumerically(">=", 150*time.Millisecond), BeNumerically("<=", 900*time.Millisecond)))
			waits[decision.RetryAfter] = true
		}
		Expect(len(waits)).To(BeNumerically(">", 5))
		urgent := request("urgent")
		urgent.RetryJitter, urgent.HasSoftDeadline, urgent.UntilSoftDeadline = 0.9, true, 1400*time.Millisecond
		Expect(controller.Decide(urgent, full, now).RetryAfter).To(BeNumerically("<=", 400*time.Millisecond), "its lifetime is one second")
	})

	It("does not lower the limit for late programs without a queue", func() {
		state := stateOf(200, 270)
		route := state.Total.Routes[short]
		route.Late = route.ProgramsStarted
		state.Total.Routes[short] = route
		controller := trained(admission.Options{}, state)
		Expect(controller.Decide(request("a"), state, now).Admitted).To(BeTrue())
		Expect(controller.Resources(state)[0].Limit).To(BeNumerically(">", 270))
	})

	It("lowers the limit when requests queue and programs are late beyond the looping ones", func() {
		limit := func(late float64) float64 {
			state := stateOf(300, 270)
			state.Total.Waiting[load.QueueKey{Service: models}] = 30
			route := state.Total.Routes[short]
			route.Late = late * route.ProgramsStarted
			state.Total.Routes[short] = route
			return trained(admission.Options{}, state).Resources(state)[0].Limit
		}
		Expect(limit(0.03)).To(BeNumerically(">", 270), "looping programs are always late")
		Expect(limit(0.4)).To(And(BeNumerically("<", 270), BeNumerically(">=", 0.7*270)))
	})

	It("tolerates random variation in a small, half-used deployment", func() {
		usual := stateOf(3, 6)
		controller := trained(admission.Options{}, usual)
		Expect(controller.Decide(request("a"), stateOf(7, 6), now.Add(time.Second)).Admitted).To(BeTrue())
	})

	It("refuses programs whose prompts exceed the engines' memory", func() {
		state := stateOf(100, 270)
		route := state.Total.Routes[short]
		route.PromptTokens = 100 * 20_000
		state.Total.Routes[short] = route
		state.Services[0].MemoryTokens = 44_000
		Expect(trained(admission.Options{}, state).Decide(request("a"), state, now).Admitted).To(BeTrue())
		decision := trained(admission.Options{MemoryLimit: true}, state).Decide(request("a"), state, now)
		Expect(decision.Admitted).To(BeFalse())
		Expect(decision.Reason).To(Equal(admission.ReasonMemory))
	})

	It("does not limit programs by the slots of tool services", func() {
		state := stateOf(200, 270)
		state.Services = append(state.Services, admission.Service{Name: tools, Slots: 48, Engines: 8, Running: 40})
		name, calls := admission.ToolCallRoute(tools, 40)
		state.Total.Routes[name] = calls
		controller := trained(admission.Options{}, state)
		crowded := stateOf(320, 600)
		crowded.Services = append(crowded.Services, state.Services[1])
		Expect(controller.Decide(request("a"), crowded, now).Admitted).To(BeTrue(), "64 tool calls are expected for 48 slots")
		crowded = stateOf(320, 270)
		crowded.Services = append(crowded.Services, state.Services[1])
		Expect(controller.Decide(request("a"), crowded, now).Service).To(Equal(models))
	})

	It("updates no estimates while it owns no shard and receives no program counts", func() {
		unowned := stateOf(200, 270)
		unowned.OwnerShare = 0
		clear(unowned.Total.Routes)
		controller := trained(admission.Options{}, unowned)
		decision := controller.Decide(request("a"), stateOf(200, 270), now)
		Expect(decision.Admitted).To(BeTrue())
		Expect(decision.Demand).To(BeNumerically("<", 270), "requests at the engines are the programs' own turns")
	})

	It("ignores services that programs do not call", func() {
		state := stateOf(200, 270)
		state.Services = append(state.Services, admission.Service{Name: "pages", Slots: 48, Engines: 8, Running: 48})
		state.Total.Waiting[load.QueueKey{Service: "pages"}] = 400
		Expect(trained(admission.Options{}, state).Decide(request("a"), state, now).Admitted).To(BeTrue())
	})
})
