package history_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/rehearsal/caller"
	"github.com/magpielug/magpielug/rehearsal/history"
	"github.com/magpielug/magpielug/rehearsal/standin/engine"
	"github.com/magpielug/magpielug/rehearsal/standin/tool"
)

const (
	program   = "p1"
	maxTokens = 64
	engineRun = "engine-1/0"
)

// question returns a model call's messages and the part of the prompt made from them.
func question(text string) ([]caller.Message, string) {
	return []caller.Message{{Role: "user", Content: text}}, "\nuser: " + text
}

// goodRun returns a run without violations, of one program with two model calls and
// a tool call.
func goodRun() *history.Run {
	bound, input := maxTokens, "reading"
	first, firstPart := question("first [[tokens=20]]")
	last, lastPart := question("last [[tokens=20]]")
	output := engine.ExpectedOutput(program, program+"/a", []string{firstPart}, maxTokens).Text
	reading := tool.ExpectedOutput(program, program+"/b", "records", input)
	lastOutput := engine.ExpectedOutput(program, program+"/c", []string{firstPart, output, "\ntool: reading", reading, lastPart}, maxTokens).Text
	made := func(id string, order int, sent caller.Call, output string) history.Call {
		at := time.Duration(order) * time.Second
		return history.Call{RequestID: id, Request: sent, Invoked: at, Returned: at + time.Millisecond, Outcome: history.Answered,
			SendCount: 1, Result: caller.Result{Output: output, Usage: caller.Usage{CostMicros: 10}}}
	}
	calls := []history.Call{
		made("a", 1, caller.Call{Messages: first, MaxTokens: &bound}, output),
		made("b", 2, caller.Call{Target: "records", Input: &input}, reading),
		made("c", 3, caller.Call{Messages: last, MaxTokens: &bound, Repeatable: true}, lastOutput),
	}
	turns := []caller.Turn{
		{Number: 1, RequestID: "a", Messages: first, Output: output},
		{Number: 2, RequestID: "b", Messages: []caller.Message{{Role: "tool", Content: input}}, Output: reading},
		{Number: 3, RequestID: "c", Messages: last, Output: lastOutput},
	}
	run := &history.Run{
		Programs: []history.Program{{
			ID: program, Tier: "kiosk", Calls: calls, FinalTurns: turns,
			FinalState: caller.Program{ID: program, SpentMicros: 30, CapMicros: 50},
			Reads:      []history.Read{{Invoked: 2500 * time.Millisecond, Returned: 2600 * time.Millisecond, Turns: turns[:2]}},
		}},
		Budgets:             map[string]uint64{"kiosk": 40},
		EngineMemoryChecked: true,
		Drains:              []history.Drain{{BackEnd: "engine-1", RunsBefore: map[string]int{"x": 1}, RunsAfter: map[string]int{"x": 1}}},
		Publishes: []history.Publish{
			{ChangeID: "one", Base: 1, Version: 2, Returned: time.Second},
			{ChangeID: "two", Base: 1, Code: resultcode.VersionConflict, Returned: time.Second},
		},
		Samples: []history.VersionSample{{At: 500 * time.Millisecond, Process: "gateway-1", Version: 1}, {At: 20 * time.Second, Process: "gateway-1", Version: 2}},
	}
	run.BackEnds.RecordRuns(engineRun, map[string]int{"p1/a": 1, "p1/b": 1, "p1/c": 1})
	return run
}

// continuedAt replaces the last output from the given token on with what a second
// engine generates when it continues the first one's output.
func continuedAt(run *history.Run, tokens int) {
	call, turn := &run.Programs[0].Calls[2], &run.Programs[0].FinalTurns[2]
	prefix := turn.Output[:tokens*4]
	var prompt []string
	for _, earlier := range run.Programs[0].FinalTurns {
		for _, message := range earlier.Messages {
			prompt = append(prompt, "\n"+message.Role+": "+message.Content)
		}
		prompt = append(prompt, earlier.Output)
	}
	prompt[len(prompt)-1] = prefix
	rest := engine.ExpectedOutput(program, program+"/c#2", prompt, maxTokens-tokens).Text
	turn.Output = prefix + rest
	call.Result.Output = turn.Output
}

var _ = Describe("checks", func() {
	It("pass a run without violations", func() {
		run := goodRun()
		for name, check := range history.Checks {
			result := check(run)
			if name == history.CheckRefusals {
				Expect(result.Verdict).To(Equal(history.NotChecked))
				continue
			}
			Expect(result.Verdict).To(Equal(history.Passed), result.String())
		}
	})

	It("accept a response that was continued at another engine", func() {
		run := goodRun()
		continuedAt(run, 7)
		Expect(history.Answers(run).Verdict).To(Equal(history.Passed))
		Expect(history.Answers(run).Figures).To(ContainSubstring("1 of them continued"))
	})

	DescribeTable("fail a run with one violation", func(check string, mutate func(run *history.Run, found *history.Program)) {
		run := goodRun()
		mutate(run, &run.Programs[0])
		Expect(history.Checks[check](run).Verdict).To(Equal(history.Violated))
	},
		Entry("turns out of order", history.CheckOrder, func(_ *history.Run, found *history.Program) { slices.Reverse(found.FinalTurns) }),
		Entry("answered call missing from the history", history.CheckHistory, func(_ *history.Run, found *history.Program) { found.FinalTurns = found.FinalTurns[:2] }),
		Entry("duplicate turn", history.CheckHistory, func(_ *history.Run, found *history.Program) {
			found.FinalTurns = append(found.FinalTurns, found.FinalTurns[0])
		}),
		Entry("turn that the program did not make", history.CheckHistory, func(_ *history.Run, found *history.Program) { found.FinalTurns[1].RequestID = "z" }),
		Entry("output with an extra byte", history.CheckHistory, func(_ *history.Run, found *history.Program) { found.FinalTurns[1].Output += "x" }),
		Entry("messages that differ from those sent", history.CheckHistory, func(_ *history.Run, found *history.Program) { found.FinalTurns[0].Messages, _ = question("x") }),
		Entry("refused call in the history", history.CheckHistory, func(_ *history.Run, found *history.Program) { found.Calls[1].Outcome = history.NotRun }),
		Entry("unreadable history", history.CheckHistory, func(_ *history.Run, found *history.Program) { found.FinalTurns = nil }),
		Entry("truncated response", history.CheckAnswers, func(_ *history.Run, found *history.Program) {
			found.FinalTurns[2].Output = found.FinalTurns[2].Output[:40]
		}),
		Entry("response generated from another history", history.CheckAnswers, func(_ *history.Run, found *history.Program) {
			found.FinalTurns = found.FinalTurns[1:]
		}),
		Entry("tool response to another request", history.CheckAnswers, func(_ *history.Run, found *history.Program) { found.FinalTurns[1].Output = "records result 0" }),
		Entry("second attempt ran", history.CheckAtMostOnce, func(run *history.Run, _ *history.Program) {
			run.BackEnds.RecordRuns("engine-2/0", map[string]int{"p1/a#2": 1})
		}),
		Entry("restarted process ran the call again", history.CheckAtMostOnce, func(run *history.Run, _ *history.Program) {
			run.BackEnds.RecordRuns("engine-1/1", map[string]int{"p1/a": 1})
		}),
		Entry("refused call ran", history.CheckRefusals, func(_ *history.Run, found *history.Program) { found.Calls[2].Outcome = history.NotRun }),
		Entry("program over its cap", history.CheckBudget, func(_ *history.Run, found *history.Program) { found.FinalState.CapMicros = 29 }),
		Entry("tier over its budget", history.CheckBudget, func(run *history.Run, _ *history.Program) { run.Budgets["kiosk"] = 29 }),
		Entry("memory held for an ended program", history.CheckCache, func(run *history.Run, _ *history.Program) {
			run.LeakedMemory = []history.HeldMemory{{Engine: "engine-1", Program: program, Blocks: 1}}
		}),
		Entry("new request after the grace period", history.CheckDraining, func(run *history.Run, _ *history.Program) { run.Drains[0].RunsAfter["y"] = 1 }),
		Entry("late requests at a draining engine", history.CheckDraining, func(run *history.Run, _ *history.Program) { run.BackEnds.LateRequests = 1 }),
		Entry("interrupted request", history.CheckPlannedStop, func(run *history.Run, _ *history.Program) { run.InterruptedRequests = []history.RequestError{{}} }),
		Entry("transient error", history.CheckPlannedStop, func(run *history.Run, _ *history.Program) { run.TransientErrors = []history.RequestError{{}} }),
		Entry("failed call", history.CheckPlannedStop, func(_ *history.Run, found *history.Program) { found.Calls[0].Outcome = history.Failed }),
		Entry("caller that stopped early", history.CheckProgress, func(_ *history.Run, found *history.Program) { found.AbortReason = "refused" }),
		Entry("version assigned to two changes", history.CheckConfiguration, func(run *history.Run, _ *history.Program) { run.Publishes[1].Version = 2 }),
		Entry("reverted version", history.CheckConfiguration, func(run *history.Run, _ *history.Program) { run.Samples[0].Version = 3 }),
		Entry("change not active in time", history.CheckConfiguration, func(run *history.Run, _ *history.Program) { run.Samples[1].Version = 1 }),
		Entry("history read without an earlier turn", history.CheckLinearizable, func(_ *history.Run, found *history.Program) {
			found.Reads[0].Turns = found.Reads[0].Turns[:1]
		}),
		Entry("history read with a later turn", history.CheckLinearizable, func(_ *history.Run, found *history.Program) {
			found.Reads[0].Turns = found.FinalTurns
		}),
	)

	It("exempt a process that was frozen from activating a change in time", func() {
		run := goodRun()
		run.Samples[1].Version = 1
		run.Outages = []history.Outage{{Process: "gateway-1", From: 5 * time.Second, Until: 15 * time.Second}}
		Expect(history.Configuration(run).Verdict).To(Equal(history.Passed))
	})

	It("let an unknown call take effect or not, but not be undone", func() {
		run := goodRun()
		found := &run.Programs[0]
		found.Calls[1].Outcome = history.Unknown
		found.Calls[1].Result.Output = ""
		Expect(history.Linearizable(run).Verdict).To(Equal(history.Passed))
		found.Reads = append(found.Reads, history.Read{
			Invoked: 2700 * time.Millisecond, Returned: 2800 * time.Millisecond, Turns: found.FinalTurns[:1],
		})
		Expect(history.Linearizable(run).Verdict).To(Equal(history.Violated))
	})
})
