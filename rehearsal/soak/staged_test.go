package soak

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/rehearsal/standin/agentengine"
	"github.com/magpielug/magpielug/rehearsal/workload"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A staged run", func() {
	It("ends all programs, stops the endless one, and breaks no promise", func() {
		outcome, err := RunStaged(context.Background(), StagedOptions{
			Options: Options{
				Seed:      1,
				Nodes:     4,
				Magpielug: binary,
				Directory: GinkgoT().TempDir(),
				Output:    GinkgoWriter,
			},
			Deployment: workload.Cairo(),
			Programs:   12,
			Over:       5 * time.Second,
			TimeScale:  0.1,
			LoopBudget: 20 * most,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Violations).To(BeEmpty())
		Expect(outcome.Records).To(HaveLen(13))
		stopped := 0
		for _, record := range outcome.Records {
			if record.Stopped {
				stopped++
				continue
			}
			Expect(record.Completed).To(BeTrue(), record.Name)
		}
		Expect(stopped).To(Equal(1))
		// The endless program and its sub-agents are refused, each once.
		Expect(outcome.Refusals).To(HaveKeyWithValue("2003 PROGRAM_CAP_REACHED", BeNumerically(">", 0)))
		Expect(outcome.Prompts.Sent).To(BeNumerically(">", 0))
	})

	It("is shown by tenant, with what refused its attempts", func() {
		outcome := &StagedOutcome{
			Records: []ProgramRecord{
				{Tenant: "kiosk", Turns: 2, Latency: time.Second, Completed: true},
				{Tenant: "kiosk", Turns: 4, Latency: 3 * time.Second, Completed: true},
				{Tenant: "field", Turns: 9, SubAgents: 2, Latency: time.Second, Stopped: true},
				{Tenant: "field", Latency: time.Second},
			},
			Prompts:  PromptUse{Sent: 200, Again: 50},
			Refusals: map[string]int{"no answer": 1, "2003 PROGRAM_CAP_REACHED": 3},
		}
		table := outcome.Table([]string{"kiosk", "field"}, map[string]time.Duration{"kiosk": 2 * time.Second, "field": 4 * time.Second})
		Expect(table).To(MatchRegexp(`kiosk +2 +2 +0 +0 +6 +0 +3s +3s +2s +1 *\n`))
		Expect(table).To(MatchRegexp(`field +2 +0 +1 +1 +9 +2 +0s +0s +4s +0 *\n`))
		Expect(table).To(ContainSubstring("200, of which read again by another engine: 50 (25.0%)"))
		Expect(table).To(MatchRegexp(`(?s)3  2003 PROGRAM_CAP_REACHED\n +1  no answer`))
	})
})

var _ = Describe("The room that a budget leaves to an attempt", func() {
	It("counts what has not ended for certain at its most, also turns side by side", func() {
		now := time.Now()
		running := &program{budget: 1000}
		running.attempts = []*turnAttempt{
			{began: now.Add(-10 * time.Second), ended: now.Add(-5 * time.Second), whole: true},
			{began: now.Add(-10 * time.Second), ended: now.Add(-5 * time.Second), notRun: true},
			{began: now.Add(-10 * time.Second), ended: now.Add(-5 * time.Second)},
			{began: now.Add(-10 * time.Second), ended: now.Add(-settleTime / 2), whole: true},
			{began: now.Add(-time.Second)},
		}
		own := running.begin(now)
		Expect(running.room(own)).To(BeEquivalentTo(1000 - eventsPerStream*tokensPerEvent - 3*most))
		Expect(running.end(own, true, false, 36)).To(BeEquivalentTo(36))
		Expect(running.room(own)).To(BeEquivalentTo(1000 - eventsPerStream*tokensPerEvent - 3*most))
	})
})

var _ = Describe("A refusal for want of budget", func() {
	It("is too early wherever a turn fits, but for what lost owners may have granted", func() {
		sound := &program{budget: 4000}
		Expect(sound.refusedTooEarly(most)).To(BeTrue())
		Expect(sound.refusedTooEarly(most - 1)).To(BeFalse())
		// An owner was killed: its successor counted 1372 of 4000 in doubt, and refused with
		// room for 696 once that was 3 s old.
		lost := int64(0)
		running := &program{budget: 4000, doubt: func() int64 { return doubtOf(4000, lost) }}
		Expect(running.refusedTooEarly(most)).To(BeTrue(), "nothing was lost yet")
		lost = 1
		Expect(running.refusedTooEarly(696)).To(BeFalse())
		Expect(running.refusedTooEarly(1372 + 2*most)).To(BeTrue())
		lost = 2
		Expect(running.refusedTooEarly(1372 + 2*most)).To(BeFalse())
		Expect(running.refusedTooEarly(1372 + 4000/16 + 2*most + 1)).To(BeTrue())
	})
})

var _ = Describe("Prompts read again", func() {
	It("are histories that went to another engine before", func() {
		ledger := newLedger()
		first := &sent{id: "a", target: turnPath}
		same := &sent{id: "b", target: turnPath, previous: "a", historyBytes: 40}
		moved := &sent{id: "c", target: turnPath, previous: "b", historyBytes: 80}
		for _, attempt := range []*sent{first, same, moved} {
			ledger.begin(attempt)
		}
		Expect(turnsOf([]agentengine.Run{{ID: "a"}, {ID: "b"}})).To(Equal(map[string]bool{"a": true, "b": true}))
		use := ledger.promptUseOf([][]agentengine.Run{
			{{ID: "a", Body: text(20)}, {ID: "b", Body: text(60)}},
			{{ID: "c", Body: text(100)}, {ID: "unknown", Body: text(400)}},
		})
		Expect(use).To(Equal(PromptUse{Sent: 45, Again: 20}))
	})
})

func text(length int) string { return string(make([]byte, length)) }
