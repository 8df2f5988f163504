package enginemodel

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// runUntilIdle steps the engine until it is idle. It returns the last output of
// each finished request and the time.
func runUntilIdle(engine *Engine, now time.Duration) (map[string]Output, time.Duration) {
	finished := make(map[string]Output)
	for {
		at, busy := engine.NextStep(now)
		if !busy {
			return finished, now
		}
		now = at
		for _, output := range engine.Step(now) {
			if output.Finished {
				finished[output.RequestID] = output
			}
		}
	}
}

func smallConfig() Config {
	config := DefaultConfig()
	config.BlockTokens = 4
	config.Blocks = 32
	config.RunningLimit = 4
	config.PrefillTokensPerStep = 8
	return config
}

var _ = Describe("Engine", func() {
	It("reuses the full blocks of prompt and output in the next turn", func() {
		engine := New(smallConfig())
		first := Request{ID: "1", Program: "p", PromptTokens: 10, OutputTokens: 7, OutputSeed: 5}
		Expect(engine.Submit(0, first)).To(Succeed())
		_, now := runUntilIdle(engine, 0)
		second := Request{ID: "2", Program: "p", Prefix: OutputPrefix(first, 4), PromptTokens: 20, OutputTokens: 1}
		Expect(engine.Submit(now, second)).To(Succeed())
		finished, _ := runUntilIdle(engine, now)
		Expect(finished["2"].CachedTokens).To(Equal(16))
	})

	It("counts the whole lifetime of blocks that are never reused as wasted", func() {
		engine := New(smallConfig())
		Expect(engine.Submit(0, Request{ID: "1", Program: "p", PromptTokens: 8, OutputTokens: 1, OutputSeed: 1})).To(Succeed())
		runUntilIdle(engine, 0)
		stats := engine.Stats(10 * time.Second)
		Expect(stats.HeldBlockSeconds).To(BeNumerically("~", 20, 0.1))
		Expect(stats.WastedShare()).To(Equal(1.0))
		Expect(engine.Release(10*time.Second, "p")).To(Equal(2))
		released := engine.Stats(99 * time.Second)
		Expect(released.HeldBlockSeconds).To(Equal(stats.HeldBlockSeconds))
		Expect(released.IdleBlockSeconds).To(BeNumerically("~", 20, 0.1))
	})

	It("admits by priority, then by submission order", func() {
		config := smallConfig()
		config.RunningLimit = 1
		engine := New(config)
		for order, priority := range []int{0, 5, 5} {
			request := Request{ID: fmt.Sprint(order), PromptTokens: 4, OutputTokens: 1, Priority: priority}
			Expect(engine.Submit(0, request)).To(Succeed())
		}
		var order []string
		for now, busy := engine.NextStep(0); busy; now, busy = engine.NextStep(now) {
			for _, output := range engine.Step(now) {
				order = append(order, output.RequestID)
			}
		}
		Expect(order).To(Equal([]string{"1", "2", "0"}))
	})

	It("preempts the lowest-priority request when the cache is full and finishes it later", func() {
		config := smallConfig()
		config.Blocks = 8
		engine := New(config)
		Expect(engine.Submit(0, Request{ID: "low", Program: "a", PromptTokens: 8, OutputTokens: 20, OutputSeed: 1})).To(Succeed())
		var finished []string
		Expect(engine.Submit(0, Request{ID: "high", Program: "b", PromptTokens: 8, OutputTokens: 20, OutputSeed: 2, Priority: 1})).To(Succeed())
		for now, busy := engine.NextStep(0); busy; now, busy = engine.NextStep(now) {
			for _, output := range engine.Step(now) {
				if output.Finished {
					finished = append(finished, output.RequestID)
					Expect(output.OutputTokens).To(Equal(20))
				}
			}
		}
		Expect(finished).To(Equal([]string{"high", "low"}))
		stats := engine.Stats(time.Minute)
		Expect(stats.Preemptions).To(BeNumerically(">", 0))
		// A preempted request that finds its own blocks is not counted as reuse.
		Expect(stats.WastedShare()).To(BeNumerically("~", 1, 1e-9))
	})

	It("evicts the end of a prefix before its beginning", func() {
		config := smallConfig()
		config.Blocks = 8
		engine := New(config)
		prompt := Request{ID: "1", Program: "a", Prefix: ExtendPrefix(nil, 1, 20, 4), PromptTokens: 20, OutputTokens: 1}
		Expect(engine.Submit(0, prompt)).To(Succeed())
		_, now := runUntilIdle(engine, 0)
		Expect(engine.Submit(now, Request{ID: "2", Program: "b", PromptTokens: 20, OutputTokens: 1, OutputSeed: 2})).To(Succeed())
		_, now = runUntilIdle(engine, now)
		Expect(engine.Stats(now).Evictions).To(Equal(uint64(2)))
		prompt.ID = "3"
		Expect(engine.Submit(now, prompt)).To(Succeed())
		finished, _ := runUntilIdle(engine, now)
		Expect(finished["3"].CachedTokens).To(Equal(12))
	})

	It("adds up step durations from the base, decoding sequences and prompt tokens", func() {
		config := smallConfig()
		config.StepBase, config.StepPerSequence, config.StepPerPrefillToken = time.Second, time.Millisecond, time.Microsecond
		engine := New(config)
		Expect(engine.Submit(0, Request{ID: "1", PromptTokens: 20, OutputTokens: 3})).To(Succeed())
		Expect(engine.Submit(0, Request{ID: "2", PromptTokens: 4, OutputTokens: 2})).To(Succeed())
		_, now := runUntilIdle(engine, 0)
		// Three prefill steps of 8 tokens each, then one step with two decoding
		// sequences and one step with one.
		Expect(now).To(Equal(5*time.Second + 3*time.Millisecond + 24*time.Microsecond))
	})

	It("reuses blocks exported from one engine and imported into another", func() {
		source, target := New(smallConfig()), New(smallConfig())
		first := Request{ID: "1", Program: "p", PromptTokens: 12, OutputTokens: 5, OutputSeed: 5}
		Expect(source.Submit(0, first)).To(Succeed())
		_, now := runUntilIdle(source, 0)
		exported := source.Export("p")
		Expect(target.Import(now, "p", exported)).To(Equal(4))
		Expect(target.Submit(now, Request{ID: "2", Program: "p", Prefix: OutputPrefix(first, 4), PromptTokens: 18, OutputTokens: 1})).To(Succeed())
		finished, _ := runUntilIdle(target, now)
		Expect(finished["2"].CachedTokens).To(Equal(16))
		Expect(target.Release(now, "p")).To(Equal(4))
		Expect(target.Stats(now).BlocksUsed).To(BeZero())
	})

	It("rejects requests that are invalid or exceed the cache", func() {
		engine := New(smallConfig())
		Expect(engine.Submit(0, Request{ID: "1", PromptTokens: 100, OutputTokens: 29})).To(MatchError(ErrTooLarge))
		Expect(engine.Submit(0, Request{ID: "1", PromptTokens: 4})).To(MatchError(ErrInvalidRequest))
		Expect(engine.Submit(0, Request{ID: "1", PromptTokens: 3, OutputTokens: 1, Prefix: []uint64{1}})).To(MatchError(ErrInvalidRequest))
		_, busy := engine.NextStep(0)
		Expect(busy).To(BeFalse())
	})
})

// engineDriver makes random calls to an engine and checks its invariants.
type engineDriver struct {
	engine    *Engine
	now       time.Duration
	submitted map[string]Request
	produced  map[string]int
	open      map[string]bool
}

func (driver *engineDriver) submit(t *rapid.T) {
	id := fmt.Sprint("r", len(driver.submitted))
	program := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "program")
	request := Request{
		ID:           id,
		Program:      program,
		PromptTokens: rapid.IntRange(1, 60).Draw(t, "prompt"),
		OutputTokens: rapid.IntRange(1, 40).Draw(t, "output"),
		Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
		OutputSeed:   rapid.Uint64Range(0, 3).Draw(t, "seed"),
	}
	request.Prefix = ExtendPrefix(nil, rapid.Uint64Range(0, 1).Draw(t, "prompt seed"), request.PromptTokens, driver.engine.config.BlockTokens)
	if err := driver.engine.Submit(driver.now, request); err != nil {
		t.Fatalf("submit: %v", err)
	}
	driver.submitted[id] = request
	driver.open[id] = true
}

func (driver *engineDriver) step(t *rapid.T) {
	at, busy := driver.engine.NextStep(driver.now)
	if !busy {
		if len(driver.open) > 0 {
			t.Fatalf("idle with %d requests open", len(driver.open))
		}
		return
	}
	driver.now = at
	for _, output := range driver.engine.Step(at) {
		driver.produced[output.RequestID] += output.Tokens
		wanted := driver.submitted[output.RequestID].OutputTokens
		if !driver.open[output.RequestID] {
			t.Fatalf("output for closed request %s", output.RequestID)
		}
		if output.Finished != (driver.produced[output.RequestID] == wanted) {
			t.Fatalf("%s finished=%v after %d of %d tokens", output.RequestID, output.Finished, output.OutputTokens, wanted)
		}
		if output.Finished {
			delete(driver.open, output.RequestID)
		}
	}
}

func (driver *engineDriver) cancel(t *rapid.T) {
	if len(driver.submitted) == 0 {
		t.Skip("nothing submitted")
	}
	id := fmt.Sprint("r", rapid.IntRange(0, len(driver.submitted)-1).Draw(t, "id"))
	if driver.engine.Cancel(driver.now, id) != driver.open[id] {
		t.Fatalf("cancel of %s disagrees with open=%v", id, driver.open[id])
	}
	delete(driver.open, id)
}

func (driver *engineDriver) release(t *rapid.T) {
	program := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "program")
	before := driver.engine.Stats(driver.now)
	freed := driver.engine.Release(driver.now, program)
	after := driver.engine.Stats(driver.now)
	if before.BlocksUsed-after.BlocksUsed != freed {
		t.Fatalf("Release returned %d, but %d blocks were freed", freed, before.BlocksUsed-after.BlocksUsed)
	}
	for index := range driver.engine.cache.blocks {
		entry := &driver.engine.cache.blocks[index]
		if entry.owner == program && entry.refCount == 0 {
			t.Fatalf("idle block %d of program %s was not freed by Release", index, program)
		}
	}
}

// check compares the engine's incremental counters with a full count.
func (driver *engineDriver) check(t *rapid.T) {
	engine := driver.engine
	references := make(map[int32]int32)
	for _, seq := range engine.running {
		for _, index := range seq.blocks {
			references[index]++
		}
	}
	used := 0
	owned := make(map[string]int)
	for index := range engine.cache.blocks {
		entry := &engine.cache.blocks[index]
		if entry.refCount != references[int32(index)] {
			t.Fatalf("block %d has reference count %d, counted %d", index, entry.refCount, references[int32(index)])
		}
		if entry.refCount > 0 || entry.registered {
			used++
			owned[entry.owner]++
		}
	}
	stats := engine.Stats(driver.now)
	if stats.BlocksUsed != used || used > engine.config.Blocks || used+engine.cache.freeCount != engine.config.Blocks {
		t.Fatalf("blocks used %d, counted %d, free %d", stats.BlocksUsed, used, engine.cache.freeCount)
	}
	for program, count := range owned {
		if stats.ProgramBlocks[program] != count {
			t.Fatalf("program %s has %d blocks, counted %d", program, stats.ProgramBlocks[program], count)
		}
	}
	if len(owned) != len(stats.ProgramBlocks) {
		t.Fatalf("programs %v, counted %v", stats.ProgramBlocks, owned)
	}
	if stats.Running > engine.config.RunningLimit || stats.Running+stats.Waiting != len(driver.open) {
		t.Fatalf("running %d, waiting %d, open %d", stats.Running, stats.Waiting, len(driver.open))
	}
	if stats.WastedBlockSeconds < -1e-6 || stats.WastedBlockSeconds > stats.HeldBlockSeconds+1e-6 {
		t.Fatalf("wasted %f of held %f", stats.WastedBlockSeconds, stats.HeldBlockSeconds)
	}
	if stats.IdleBlockSeconds < -1e-6 || stats.IdleBlockSeconds > stats.HeldBlockSeconds+1e-6 {
		t.Fatalf("idle %f of held %f", stats.IdleBlockSeconds, stats.HeldBlockSeconds)
	}
}

var _ = Describe("Engine under random calls", func() {
	It("conserves blocks, keeps its limits and produces the exact tokens of each request", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			driver := &engineDriver{
				engine:    New(smallConfig()),
				submitted: make(map[string]Request),
				produced:  make(map[string]int),
				open:      make(map[string]bool),
			}
			t.Repeat(map[string]func(*rapid.T){
				"submit":  driver.submit,
				"step":    driver.step,
				"step2":   driver.step,
				"cancel":  driver.cancel,
				"release": driver.release,
				"":        driver.check,
			})
			for attempts := 0; len(driver.open) > 0; attempts++ {
				driver.step(t)
				driver.check(t)
				if attempts > 100000 {
					t.Fatalf("requests did not finish in 100000 steps: %v", driver.open)
				}
			}
		})
	})
})
