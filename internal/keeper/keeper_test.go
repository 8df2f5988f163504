package keeper_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// bench drives one keeper and keeps its virtual time.
type bench struct {
	keeper *keeper.Keeper
	now    time.Duration
}

func newBench(config keeper.Config, order, placed, cached string) *bench {
	policies, err := keeper.PoliciesByName(order, placed, cached, 0)
	Expect(err).NotTo(HaveOccurred())
	return &bench{keeper: keeper.New(config, policies), now: time.Hour}
}

// step advances time by a millisecond and returns a copy of the effects.
func (b *bench) step(event keeper.Event) []keeper.Effect {
	b.now += time.Millisecond
	return append([]keeper.Effect(nil), b.keeper.Step(b.now, event)...)
}

// after lets time pass, with a tick at its end.
func (b *bench) after(wait time.Duration) []keeper.Effect {
	b.now += wait
	return b.step(keeper.Tick{})
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

// granted lists the programs granted, in order.
func granted(effects []keeper.Effect) []string {
	var programs []string
	for _, effect := range effects {
		if grant, ok := effect.(keeper.Grant); ok {
			programs = append(programs, grant.Request.Call.Program)
		}
	}
	return programs
}

// released lists program@engine of the release orders, in order.
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
	It("grants a free slot at once and the next one when a call finishes", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 1))
		Expect(granted(b.step(keeper.CallQueued{Request: request("a", 1, 1)}))).To(Equal([]string{"a"}))
		Expect(b.step(keeper.CallQueued{Request: request("b", 1, 1)})).To(BeEmpty())
		Expect(granted(b.step(finished("a", 1)))).To(Equal([]string{"b"}))
	})

	It("holds calls that come before the first engine, and refuses them after the grace", func() {
		b := newBench(keeper.Config{}, "", "", "")
		Expect(b.step(keeper.CallQueued{Request: request("a", 1, 1)})).To(BeEmpty())
		refused := refusals(b.after(keeper.DefaultConfig().NoEngineGrace))
		Expect(refused).To(HaveLen(1))
		Expect(refused[0].Code).To(Equal(resultcode.NoBackEnd))
	})
})

var _ = Describe("engine memory", func() {
	It("goes on when paused programs' prefixes fill an idle engine", func() {
		// Failed first: the call was held back for prefixes of programs that never
		// returned, and nothing ran whose end could change that.
		b := newBench(keeper.Config{}, "", "", "keep")
		small := report("e1", 2)
		small.BlocksTotal = 16
		b.step(small)
		for _, program := range []string{"a", "b"} {
			b.step(keeper.CallQueued{Request: request(program, 1, 8)})
			b.step(finished(program, 1))
		}
		Expect(granted(b.step(keeper.CallQueued{Request: request("c", 1, 1)}))).To(Equal([]string{"c"}))
	})

	It("keeps an engine for a large call that small ones keep out", func() {
		b := newBench(keeper.Config{MaxSkips: 2}, "fcfs", "", "")
		small := report("e1", 4)
		small.BlocksTotal = 30
		b.step(small)
		b.step(keeper.CallQueued{Request: request("s", 1, 1)})
		b.step(keeper.CallQueued{Request: request("s", 2, 1)})
		large := request("large", 1, 1)
		large.PromptTokens = 400
		b.step(keeper.CallQueued{Request: large})
		for number := 3; number < 9; number++ {
			b.step(keeper.CallQueued{Request: request("s", number, 1)})
			b.step(finished("s", number-2))
		}
		b.step(finished("s", 3))
		Expect(b.keeper.Explain("large", "1")[0].What).To(Equal("grant"))
	})

	It("holds a call back while programs ranked before it are expected to return", func() {
		b := newBench(keeper.Config{}, "", "", "keep")
		small := report("e1", 3)
		small.BlocksTotal = 22
		b.step(small)
		b.step(keeper.CallQueued{Request: request("a", 1, 8)})
		b.step(finished("a", 1))
		b.step(keeper.CallQueued{Request: request("b", 1, 8)})
		Expect(granted(b.step(keeper.CallQueued{Request: request("c", 1, 1)}))).To(BeEmpty())
		Expect(granted(b.step(keeper.ProgramEnded{Program: "a"}))).To(Equal([]string{"c"}))
	})
})

var _ = Describe("cache of programs that are gone", func() {
	It("is released at a program's end, and again when a report still shows it", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 2))
		b.step(keeper.CallQueued{Request: request("a", 1, 1)})
		b.step(finished("a", 1))
		Expect(released(b.step(keeper.ProgramEnded{Program: "a"}))).To(Equal([]string{"a@e1"}))
		b.after(keeper.DefaultConfig().CacheLag + keeper.DefaultConfig().ReleaseRetry)
		still := report("e1", 2)
		still.ProgramBlocks = map[string]int{"a": 8}
		Expect(released(b.step(still))).To(Equal([]string{"a@e1"}))
		Expect(released(b.step(still))).To(BeEmpty())
	})

	It("is released by a new keeper once a leader has listed the live programs", func() {
		b := newBench(keeper.Config{ShardOf: func(string) uint32 { return 1 }}, "", "", "")
		held := report("e1", 2)
		held.ProgramBlocks = map[string]int{"live": 8, "gone": 8}
		Expect(released(b.step(held))).To(BeEmpty())
		Expect(released(b.step(keeper.ProgramsLive{Shard: 1, Programs: []string{"live"}}))).To(Equal([]string{"gone@e1"}))
		held.ProgramBlocks = map[string]int{"unheard": 8}
		Expect(released(b.step(held))).To(Equal([]string{"unheard@e1"}))
	})

	It("is released when the call ends that still ran at the program's end", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 2))
		b.step(keeper.CallQueued{Request: request("a", 1, 1)})
		Expect(b.step(keeper.ProgramEnded{Program: "a"})).To(BeEmpty())
		Expect(released(b.step(finished("a", 1)))).To(Equal([]string{"a@e1"}))
	})

	It("is released once where a program has moved away", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 1))
		b.step(keeper.CallQueued{Request: request("a", 1, 1)})
		b.step(finished("a", 1))
		b.step(keeper.EngineDraining{Engine: "e1"})
		b.step(report("e2", 1))
		moved := b.step(keeper.CallQueued{Request: request("a", 2, 1)})
		Expect(granted(moved)).To(Equal([]string{"a"}))
		Expect(released(moved)).To(Equal([]string{"a@e1"}))
		b.step(finished("a", 2))
		Expect(released(b.step(keeper.ProgramEnded{Program: "a"}))).To(Equal([]string{"a@e2"}))
	})

	It("is kept over a pause, but no longer than predicted", func() {
		b := newBench(keeper.Config{}, "", "", "predictive")
		b.step(report("e1", 1))
		b.step(keeper.CallQueued{Request: request("a", 1, 1)})
		b.step(finished("a", 1))
		b.step(keeper.ProgramPaused{Program: "a", ExpectedPause: 4 * time.Second})
		Expect(released(b.after(8 * time.Second))).To(BeEmpty())
		Expect(released(b.after(8 * time.Second))).To(Equal([]string{"a@e1"}))
	})

	It("stays while a program has calls, whatever a live list says", func() {
		b := newBench(keeper.Config{}, "", "", "")
		b.step(report("e1", 1))
		b.step(keeper.CallQueued{Request: request("a", 1, 1)})
		b.now += keeper.DefaultConfig().LiveMargin
		b.step(keeper.ProgramsLive{Leader: "s1", Shard: 1})
		Expect(released(b.step(finished("a", 1)))).To(BeEmpty())
		Expect(released(b.step(keeper.ProgramsLive{Leader: "s1", Shard: 1}))).To(Equal([]string{"a@e1"}))
	})

	It("is left to the engine by the none policy", func() {
		b := newBench(keeper.Config{}, "", "", "none")
		b.step(report("e1", 2))
		b.step(keeper.CallQueued{Request: request("a", 1, 1)})
		b.step(finished("a", 1))
		Expect(b.step(keeper.ProgramEnded{Program: "a"})).To(BeEmpty())
	})
})
