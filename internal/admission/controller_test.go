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
	// settled is when a replay has learned what programs need. Bursts of 5 s follow.
	settled   = 12 * time.Second
	burstEnds = settled + 5*time.Second
	played    = burstEnds + 4*time.Second
	// viewAge is how old a view is at most in the middle of a second.
	viewAge = 300 * time.Millisecond
	// mostBeyond is how much more than the slots may be asked for: a fifth more adds a
	// fifth of a turn to each, of the three tenths that aims leave. Programs that have
	// begun and have their sub-agents yet to come bring a tenth more for moments.
	mostBeyond  = 1.2
	mostMoments = 1.4
)

// kindsAt are two routes that use a part of the model slots together. Short programs of
// 1.2 s are most of them; long ones of 3.6 s use two slots once their sub-agents begin.
func kindsAt(share float64) []*kind {
	// A program's slots times its life, of those that loop too.
	const shortSlots, longSlots = (0.97*1.2 + 0.03*6) * 0.8, (0.99*3.6 + 0.01*6) * 1.5 * 0.8
	return []*kind{
		{route: "short", rate: steadyRate(share * 200 / shortSlots), life: 1200 * time.Millisecond, width: 1, loops: 0.03},
		{route: "long", rank: 2, rate: steadyRate(share * 70 / longSlots), life: 3600 * time.Millisecond, width: 2, loops: 0.01},
	}
}

// burst has one of the kinds come more often for 5 s.
func burst(index int, times float64) []*kind {
	kinds := kindsAt(0.75)
	kinds[index].rate = burstRate(kinds[index].rate(0), times, settled, burstEnds)
	return kinds
}

// replayOf is a replay with tools of which three quarters are used with the models.
func replayOf(kinds []*kind, owners int) *replay {
	return &replay{kinds: kinds, owners: owners, age: viewAge, toolsPerTurn: 0.12, seed: 1, options: admission.Options{TenantShares: true, MemoryLimit: true}}
}

var _ = Describe("A burst of 2.4 times of the short programs for 5 s", func() {
	for _, owners := range []int{1, 14} {
		for seed := range uint64(3) {
			It(fmt.Sprintf("keeps what begins near the slots, with %d owners, seed %d", owners, seed), func() {
				run := replayOf(burst(0, 2.4), owners)
				run.seed = seed
				run.play(played)
				during := run.within(settled+time.Second, burstEnds)
				Expect(during.demand).To(BeNumerically("<=", mostBeyond*modelSlots), "demand within a second")
				Expect(during.demand).To(BeNumerically(">=", 0.95*modelSlots), "slots that programs could use stay used")
				Expect(run.most(settled, played)).To(BeNumerically("<=", mostMoments*modelSlots))
				Expect(during.refusedShare("")).To(BeNumerically(">", 0.1))
				Expect(run.within(settled-4*time.Second, settled).refused[""]).To(BeZero(), "before the burst")
				Expect(run.within(burstEnds+time.Second, played).refused[""]).To(BeZero(), "a second after it")
			})
		}
	}

	It("would ask for half as much again as there are slots without admission", func() {
		run := replayOf(burst(0, 2.4), 1)
		run.admitsAll = true
		run.play(played)
		Expect(run.within(settled+2*time.Second, burstEnds).demand).To(BeNumerically(">", 1.4*modelSlots))
	})

	It("is refused by the more urgent rank last, and the other still gets through now and then", func() {
		run := replayOf(burst(0, 2.4), 14)
		run.play(played)
		during := run.within(settled+time.Second, burstEnds)
		Expect(during.refusedShare("short")).To(BeNumerically("<", during.refusedShare("long")))
		Expect(during.refused["long"]).To(BeNumerically("<", during.asked["long"]))
	})
})

var _ = Describe("A burst of the less urgent programs", func() {
	It("costs the more urgent ones little", func() {
		run := replayOf(burst(1, 5), 14)
		run.play(played)
		during := run.within(settled+time.Second, burstEnds)
		Expect(during.refusedShare("long")).To(BeNumerically(">", 0.2))
		Expect(during.refusedShare("short")).To(BeNumerically("<", 0.1))
		Expect(during.refusedShare("short")).To(BeNumerically("<", during.refusedShare("long")/4))
		Expect(during.demand).To(BeNumerically("<=", mostBeyond*modelSlots))
	})
})

var _ = Describe("A burst of programs that need many times the work of others of their rank", func() {
	It("costs the others little, and still gets most of the room", func() {
		kinds := burst(1, 5)
		for _, each := range kinds {
			each.rank = 1
		}
		run := replayOf(kinds, 14)
		run.play(played)
		during := run.within(settled+time.Second, burstEnds)
		Expect(during.refusedShare("long")).To(BeNumerically(">", 0.2))
		Expect(during.refusedShare("short")).To(BeNumerically("<", during.refusedShare("long")/2))
		Expect(during.refused["long"]).To(BeNumerically("<", during.asked["long"]))
		Expect(during.demand).To(BeNumerically("<=", mostBeyond*modelSlots))
	})
})

var _ = Describe("More of the urgent programs than there is room for, without an end", func() {
	It("leave each rank that asks its small share", func() {
		kinds := kindsAt(0.75)
		kinds[0].rate = steadyRate(4 * kinds[0].rate(0))
		run := replayOf(kinds, 14)
		run.play(40 * time.Second)
		for at := 10 * time.Second; at < 40*time.Second; at += 10 * time.Second {
			span := run.within(at, at+10*time.Second)
			Expect(span.refused["long"]).To(BeNumerically("<", span.asked["long"]), at.String())
			Expect(span.demand).To(BeNumerically("<=", mostBeyond*modelSlots), at.String())
		}
	})
})

var _ = Describe("Load below the slots", func() {
	It("is never refused at nine tenths where programs come evenly", func() {
		run := replayOf(kindsAt(0.9), 14)
		run.steady = true
		run.play(30 * time.Second)
		Expect(run.within(0, 30*time.Second).refused[""]).To(BeZero())
	})

	It("is hardly ever refused at nine tenths where they come by chance", func() {
		for seed := range uint64(3) {
			run := replayOf(kindsAt(0.9), 14)
			run.seed = seed
			run.play(30 * time.Second)
			Expect(run.within(0, 30*time.Second).refusedShare("")).To(BeNumerically("<", 0.005))
		}
	})

	It("is never refused at three quarters, with loops, by chance", func() {
		for seed := range uint64(3) {
			run := replayOf(kindsAt(0.75), 14)
			run.seed = seed
			run.play(40 * time.Second)
			Expect(run.within(0, 40*time.Second).refused[""]).To(BeZero())
		}
	})
})

var _ = Describe("A tenant at six times its usual", func() {
	// 24 tenants come alike; "t0" comes six times as often in the burst, of what is then
	// 1.2 times the slots.
	hot := func(at time.Duration, random *rand.Rand) string {
		weight := 1.0
		if at >= settled && at < burstEnds {
			weight = 6
		}
		if place := random.Float64() * (23 + weight); place >= weight {
			return fmt.Sprint("t", 1+int(place-weight))
		}
		return "t0"
	}
	play := func(shares bool) moment {
		kinds := kindsAt(0.95)
		kinds[0].rate = burstRate(kinds[0].rate(0), 1.5, settled, burstEnds)
		kinds[0].tenant = hot
		run := replayOf(kinds, 14)
		run.options.TenantShares = shares
		run.play(played)
		return run.within(settled+time.Second, burstEnds)
	}
	others := func(sum moment) float64 {
		asked, refused := 0, 0
		for number := 1; number <= 23; number++ {
			key := fmt.Sprint("shortt", number)
			asked += sum.asked[key]
			refused += sum.refused[key]
		}
		return float64(refused) / float64(asked)
	}

	It("is refused for the sake of the others", func() {
		with := play(true)
		Expect(with.refusedShare("shortt0")).To(BeNumerically(">", 3*others(with)))
		Expect(others(with)).To(BeNumerically("<", others(play(false))))
		Expect(with.reasons[admission.ReasonTenantShare]).To(BeNumerically(">", 0))
	})
})

var _ = Describe("Controller", func() {
	now := time.Unix(1000, 0)
	short := admission.RouteName("r", models, 0)
	// stateOf has programs of a route, each with a turn under way, at some slots.
	stateOf := func(programs, slots int) *admission.State {
		total := load.NewReport()
		total.Routes[short] = load.Route{Service: models, Programs: programs, Turns: programs, ProgramsStarted: float64(programs) / 4}
		return &admission.State{Total: total, Known: true, OwnerShare: 1, Services: []admission.Service{
			{Name: models, Slots: slots, Engines: slots / 6, Running: min(programs, slots)},
		}}
	}
	order := func(id string) admission.Request {
		return admission.Request{Program: tenant.Program{ID: id}, Route: short, Service: models}
	}
	// taught has learned from a state for a while.
	taught := func(options admission.Options, state *admission.State) *admission.Controller {
		controller := admission.NewController(options)
		for step := range 100 {
			controller.Observe(state, now.Add(time.Duration(step-100)*200*time.Millisecond))
		}
		return controller
	}

	It("refuses nobody while the load is not known", func() {
		full := stateOf(600, 270)
		controller := taught(admission.Options{}, full)
		full.Known = false
		for number := range 100 {
			Expect(controller.Decide(order(fmt.Sprint(number)), full, now).Admitted).To(BeTrue())
		}
	})

	It("tells refused programs to come back one after another, and soon enough", func() {
		full := stateOf(600, 270)
		controller := taught(admission.Options{}, full)
		waits := map[time.Duration]bool{}
		for number := range 20 {
			asked := order(fmt.Sprint(number))
			asked.RetryJitter = float64(number) / 20
			decision := controller.Decide(asked, full, now)
			Expect(decision.Admitted).To(BeFalse())
			Expect(decision.Reason).To(Equal(admission.ReasonSlots))
			Expect(decision.RetryAfter).To(And(BeNumerically(">=", 150*time.Millisecond), BeNumerically("<=", 900*time.Millisecond)))
			waits[decision.RetryAfter] = true
		}
		Expect(len(waits)).To(BeNumerically(">", 5))
		hurried := order("hurried")
		hurried.RetryJitter, hurried.HasSoftDeadline, hurried.UntilSoftDeadline = 0.9, true, 1400*time.Millisecond
		Expect(controller.Decide(hurried, full, now).RetryAfter).To(BeNumerically("<=", 400*time.Millisecond), "it lives for a second")
	})

	It("does not cut what begins for programs that are late without a queue", func() {
		state := stateOf(200, 270)
		route := state.Total.Routes[short]
		route.Late = route.ProgramsStarted
		state.Total.Routes[short] = route
		controller := taught(admission.Options{}, state)
		Expect(controller.Decide(order("a"), state, now).Admitted).To(BeTrue())
		Expect(controller.Resources(state)[0].Limit).To(BeNumerically(">", 270))
	})

	It("admits fewer where requests wait and programs are late beyond what loops explain", func() {
		limit := func(late float64) float64 {
			state := stateOf(300, 270)
			state.Total.Waiting[load.QueueKey{Service: models}] = 30
			route := state.Total.Routes[short]
			route.Late = late * route.ProgramsStarted
			state.Total.Routes[short] = route
			return taught(admission.Options{}, state).Resources(state)[0].Limit
		}
		Expect(limit(0.03)).To(BeNumerically(">", 270), "two or three loops in 100 are always late")
		Expect(limit(0.4)).To(And(BeNumerically("<", 270), BeNumerically(">=", 0.7*270)))
	})

	It("lets a small deployment that is half used vary by chance", func() {
		usual := stateOf(3, 6)
		controller := taught(admission.Options{}, usual)
		Expect(controller.Decide(order("a"), stateOf(7, 6), now.Add(time.Second)).Admitted).To(BeTrue())
	})

	It("refuses what the engines' memory has no room for", func() {
		state := stateOf(100, 270)
		route := state.Total.Routes[short]
		route.PromptTokens = 100 * 20_000
		state.Total.Routes[short] = route
		state.Services[0].MemoryTokens = 44_000
		Expect(taught(admission.Options{}, state).Decide(order("a"), state, now).Admitted).To(BeTrue())
		decision := taught(admission.Options{MemoryLimit: true}, state).Decide(order("a"), state, now)
		Expect(decision.Admitted).To(BeFalse())
		Expect(decision.Reason).To(Equal(admission.ReasonMemory))
	})

	It("refuses nobody for the sake of tools, whose calls wait shortly", func() {
		state := stateOf(200, 270)
		state.Services = append(state.Services, admission.Service{Name: tools, Slots: 48, Engines: 8, Running: 40})
		name, calls := admission.ToolCallRoute(tools, 40)
		state.Total.Routes[name] = calls
		controller := taught(admission.Options{}, state)
		crowded := stateOf(320, 600)
		crowded.Services = append(crowded.Services, state.Services[1])
		Expect(controller.Decide(order("a"), crowded, now).Admitted).To(BeTrue(), "320 programs will have 64 calls at 48 slots")
		crowded = stateOf(320, 270)
		crowded.Services = append(crowded.Services, state.Services[1])
		Expect(controller.Decide(order("a"), crowded, now).Service).To(Equal(models))
	})

	It("learns nothing while it owns no shard and is told of no programs", func() {
		untold := stateOf(200, 270)
		untold.OwnerShare = 0
		clear(untold.Total.Routes)
		controller := taught(admission.Options{}, untold)
		decision := controller.Decide(order("a"), stateOf(200, 270), now)
		Expect(decision.Admitted).To(BeTrue())
		Expect(decision.Demand).To(BeNumerically("<", 270), "what runs are its programs' turns")
	})

	It("leaves services out that programs do not call, however full", func() {
		state := stateOf(200, 270)
		state.Services = append(state.Services, admission.Service{Name: "pages", Slots: 48, Engines: 8, Running: 48})
		state.Total.Waiting[load.QueueKey{Service: "pages"}] = 400
		Expect(taught(admission.Options{}, state).Decide(order("a"), state, now).Admitted).To(BeTrue())
	})
})
