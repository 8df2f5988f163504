package keeper_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// harness drives one keeper on a virtual clock.
type harness struct {
	keeper *keeper.Keeper
	now    time.Duration
}

func newHarness(config keeper.Config, order, placement, cache string) *harness {
	policies, err := keeper.PoliciesByName(order, placement, cache, 0)
	Expect(err).NotTo(HaveOccurred())
	return &harness{keeper: keeper.New(config, policies), now: time.Hour}
}

// step applies an event one millisecond later and returns a copy of the effects.
func (h *harness) step(event keeper.Event) []keeper.Effect {
	h.now += time.Millisecond
	return append([]keeper.Effect(nil), h.keeper.Step(h.now, event)...)
}

// after advances time by wait and applies a Tick.
func (h *harness) after(wait time.Duration) []keeper.Effect {
	h.now += wait
	return h.step(keeper.Tick{})
}

const blockTokens = 16

func report(engine string, limit int) keeper.EngineReported {
	return keeper.EngineReported{
		Engine: engine, Model: "m", Zone: "z1", RunningLimit: limit,
		BlocksTotal: 4096, BlockTokens: blockTokens, BlocksUsed: 1,
	}
}

func key(program string, number int) keeper.CallKey {
	return keeper.CallKey{Program: program, RequestID: strconv.Itoa(number)}
}

func request(program string, number int, weight uint32) keeper.Request {
	return keeper.Request{
		Call: key(program, number), Leader: "s1", Shard: 1, Tenant: "t",
		Tier: strconv.Itoa(int(weight)), Weight: weight, Model: "m", Zone: "z1",
		PromptTokens: 100, MaxTokens: 50,
	}
}

func finished(program string, number int) keeper.CallFinished {
	return keeper.CallFinished{Call: key(program, number), PromptTokens: 100, OutputTokens: 20}
}

// granted lists the programs of the Grant effects, in order.
func granted(effects []keeper.Effect) []string {
	var programs []string
	for _, effect := range effects {
		if grant, ok := effect.(keeper.Grant); ok {
			programs = append(programs, grant.Request.Call.Program)
		}
	}
	return programs
}

// released lists the ReleaseCache effects as program@engine, in order.
func released(effects []keeper.Effect) []string {
	var orders []string
	for _, effect := range effects {
		if release, ok := effect.(keeper.ReleaseCache); ok {
			orders = append(orders, release.Program+"@"+release.Engine)
		}
	}
	return orders
}

func refusals(effects []keeper.Effect) []keeper.Refuse {
	var refused []keeper.Refuse
	for _, effect := range effects {
		if refuse, ok := effect.(keeper.Refuse); ok {
			refused = append(refused, refuse)
		}
	}
	return refused
}

var _ = Describe("granting", func() {
	It("grants a free slot immediately and the next one when a call finishes", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 1))
		Expect(granted(h.step(keeper.CallQueued{Request: request("a", 1, 1)}))).To(Equal([]string{"a"}))
		Expect(h.step(keeper.CallQueued{Request: request("b", 1, 1)})).To(BeEmpty())
		Expect(granted(h.step(finished("a", 1)))).To(Equal([]string{"b"}))
	})

	It("queues calls that arrive before the first engine, and refuses them after NoEngineGrace", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		Expect(h.step(keeper.CallQueued{Request: request("a", 1, 1)})).To(BeEmpty())
		refused := refusals(h.after(keeper.DefaultConfig().NoEngineGrace))
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Code).To(Equal(resultcode.NoBackEnd))
	})
})

var _ = Describe("engine memory", func() {
	It("grants a call although prefixes of paused programs fill an idle engine", func() {
		// Guards against a deadlock: the call waits for the memory of programs
		// that never return, and no call runs whose end could free memory.
		h := newHarness(keeper.Config{}, "", "", "keep")
		small := report("e1", 2)
		small.BlocksTotal = 16
		h.step(small)
		for _, program := range []string{"a", "b"} {
			h.step(keeper.CallQueued{Request: request(program, 1, 8)})
			h.step(finished(program, 1))
		}
		Expect(granted(h.step(keeper.CallQueued{Request: request("c", 1, 1)}))).To(Equal([]string{"c"}))
	})

	It("reserves an engine for a large call that small calls would starve", func() {
		h := newHarness(keeper.Config{MaxSkips: 2}, "fcfs", "", "")
		small := report("e1", 4)
		small.BlocksTotal = 30
		h.step(small)
		h.step(keeper.CallQueued{Request: request("s", 1, 1)})
		h.step(keeper.CallQueued{Request: request("s", 2, 1)})
		large := request("large", 1, 1)
		large.PromptTokens = 400
		h.step(keeper.CallQueued{Request: large})
		for number := 3; number < 9; number++ {
			h.step(keeper.CallQueued{Request: request("s", number, 1)})
			h.step(finished("s", number-2))
		}
		h.step(finished("s", 3))
		Expect(h.keeper.Explain("large", "1")[0].What).To(Equal("grant"))
	})

	It("defers a call while higher-ranked programs are expected to return", func() {
		h := newHarness(keeper.Config{}, "", "", "keep")
		small := report("e1", 3)
		small.BlocksTotal = 22
		h.step(small)
		h.step(keeper.CallQueued{Request: request("a", 1, 8)})
		h.step(finished("a", 1))
		h.step(keeper.CallQueued{Request: request("b", 1, 8)})
		Expect(granted(h.step(keeper.CallQueued{Request: request("c", 1, 1)}))).To(BeEmpty())
		Expect(granted(h.step(keeper.ProgramEnded{Program: "a"}))).To(Equal([]string{"c"}))
	})
})

var _ = Describe("cache of a program", func() {
	It("is released when the program ends, and again if a report still shows it", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 2))
		h.step(keeper.CallQueued{Request: request("a", 1, 1)})
		h.step(finished("a", 1))
		Expect(released(h.step(keeper.ProgramEnded{Program: "a"}))).To(Equal([]string{"a@e1"}))
		h.after(keeper.DefaultConfig().CacheLag + keeper.DefaultConfig().ReleaseRetry)
		still := report("e1", 2)
		still.ProgramBlocks = map[string]int{"a": 8}
		Expect(released(h.step(still))).To(Equal([]string{"a@e1"}))
		Expect(released(h.step(still))).To(BeEmpty())
	})

	It("is released by a new keeper once a leader has listed the live programs", func() {
		h := newHarness(keeper.Config{ShardOf: func(string) uint32 { return 1 }}, "", "", "")
		held := report("e1", 2)
		held.ProgramBlocks = map[string]int{"live": 8, "gone": 8}
		Expect(released(h.step(held))).To(BeEmpty())
		Expect(released(h.step(keeper.ProgramsLive{Shard: 1, Programs: []string{"live"}}))).To(Equal([]string{"gone@e1"}))
		held.ProgramBlocks = map[string]int{"unheard": 8}
		Expect(released(h.step(held))).To(Equal([]string{"unheard@e1"}))
	})

	It("is released when the last call of an ended program finishes", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 2))
		h.step(keeper.CallQueued{Request: request("a", 1, 1)})
		Expect(h.step(keeper.ProgramEnded{Program: "a"})).To(BeEmpty())
		Expect(released(h.step(finished("a", 1)))).To(Equal([]string{"a@e1"}))
	})

	It("is released once on the engine the program has moved away from", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 1))
		h.step(keeper.CallQueued{Request: request("a", 1, 1)})
		h.step(finished("a", 1))
		h.step(keeper.EngineDraining{Engine: "e1"})
		h.step(report("e2", 1))
		moved := h.step(keeper.CallQueued{Request: request("a", 2, 1)})
		Expect(granted(moved)).To(Equal([]string{"a"}))
		Expect(released(moved)).To(Equal([]string{"a@e1"}))
		h.step(finished("a", 2))
		Expect(released(h.step(keeper.ProgramEnded{Program: "a"}))).To(Equal([]string{"a@e2"}))
	})

	It("is kept over a pause for a limited time", func() {
		h := newHarness(keeper.Config{}, "", "", "predictive")
		h.step(report("e1", 1))
		h.step(keeper.CallQueued{Request: request("a", 1, 1)})
		h.step(finished("a", 1))
		h.step(keeper.ProgramPaused{Program: "a", ExpectedPause: 4 * time.Second})
		Expect(released(h.after(8 * time.Second))).To(BeEmpty())
		Expect(released(h.after(8 * time.Second))).To(Equal([]string{"a@e1"}))
	})

	It("is kept while the program has calls, even if a live list omits it", func() {
		h := newHarness(keeper.Config{}, "", "", "")
		h.step(report("e1", 1))
		h.step(keeper.CallQueued{Request: request("a", 1, 1)})
		h.now += keeper.DefaultConfig().LiveListGrace
		h.step(keeper.ProgramsLive{Leader: "s1", Shard: 1})
		Expect(released(h.step(finished("a", 1)))).To(BeEmpty())
		Expect(released(h.step(keeper.ProgramsLive{Leader: "s1", Shard: 1}))).To(Equal([]string{"a@e1"}))
	})

	It("is not released under the none policy", func() {
		h := newHarness(keeper.Config{}, "", "", "none")
		h.step(report("e1", 2))
		h.step(keeper.CallQueued{Request: request("a", 1, 1)})
		h.step(finished("a", 1))
		Expect(h.step(keeper.ProgramEnded{Program: "a"})).To(BeEmpty())
	})
})
