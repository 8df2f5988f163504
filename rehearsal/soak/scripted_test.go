package soak

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/rehearsal/standin/agentengine"
	"github.com/magpielug/magpielug/rehearsal/workload"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A scripted run", func() {
	It("completes all programs, stops the endless one, and finds no invariant violation", func() {
		outcome, err := RunScripted(context.Background(), ScriptedOptions{
			Options: Options{
				Seed:      1,
				Nodes:     4,
				Magpielug: binary,
				Directory: GinkgoT().TempDir(),
				Output:    GinkgoWriter,
			},
			Deployment:    workload.Cairo(),
			Programs:      12,
			ArrivalPeriod: 5 * time.Second,
			TimeScale:     0.1,
			EndlessBudget: 20 * maxTurnTokens,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Violations).To(BeEmpty())
		Expect(outcome.Records).To(HaveLen(13))
		stopped := 0
		for _, record := range outcome.Records {
			if record.BudgetExhausted {
				stopped++
				continue
			}
			Expect(record.Completed).To(BeTrue(), record.Name)
		}
		Expect(stopped).To(Equal(1))
		// The endless program and its sub-agents are refused once each.
		Expect(outcome.FailedAttempts).To(HaveKeyWithValue("2003 PROGRAM_CAP_REACHED", BeNumerically(">", 0)))
		Expect(outcome.PromptTokens.Sent).To(BeNumerically(">", 0))
	})

	It("is reported by tenant, with the causes of failed attempts", func() {
		outcome := &ScriptedOutcome{
			Records: []ProgramRecord{
				{Tenant: "kiosk", Turns: 2, Latency: time.Second, Completed: true},
				{Tenant: "kiosk", Turns: 4, Latency: 3 * time.Second, Completed: true},
				{Tenant: "field", Turns: 9, SubAgents: 2, Latency: time.Second, BudgetExhausted: true},
				{Tenant: "field", Latency: time.Second},
			},
			PromptTokens:   PromptTokens{Sent: 200, Recomputed: 50},
			FailedAttempts: map[string]int{"no response": 1, "2003 PROGRAM_CAP_REACHED": 3},
		}
		table := outcome.Table([]string{"kiosk", "field"}, map[string]time.Duration{"kiosk": 2 * time.Second, "field": 4 * time.Second})
		Expect(table).To(MatchRegexp(`kiosk +2 +2 +0 +0 +6 +0 +3s +3s +2s +1 *\n`))
		Expect(table).To(MatchRegexp(`field +2 +0 +1 +1 +9 +2 +0s +0s +4s +0 *\n`))
		Expect(table).To(ContainSubstring("200, of which recomputed by another engine: 50 (25.0%)"))
		Expect(table).To(MatchRegexp(`(?s)3  2003 PROGRAM_CAP_REACHED\n +1  no response`))
	})
})

var _ = Describe("The budget available to an attempt", func() {
	It("counts unsettled and concurrent attempts as maxTurnTokens", func() {
		now := time.Now()
		tested := &program{budget: 1000}
		tested.attempts = []*turnAttempt{
			{startedAt: now.Add(-10 * time.Second), endedAt: now.Add(-5 * time.Second), completed: true},
			{startedAt: now.Add(-10 * time.Second), endedAt: now.Add(-5 * time.Second), notRun: true},
			{startedAt: now.Add(-10 * time.Second), endedAt: now.Add(-5 * time.Second)},
			{startedAt: now.Add(-10 * time.Second), endedAt: now.Add(-settlementDelay / 2), completed: true},
			{startedAt: now.Add(-time.Second)},
		}
		own := tested.beginAttempt(now)
		Expect(tested.availableBudget(own)).To(BeEquivalentTo(1000 - eventsPerStream*tokensPerEvent - 3*maxTurnTokens))
		Expect(tested.endAttempt(own, true, false, 36)).To(BeEquivalentTo(36))
		Expect(tested.availableBudget(own)).To(BeEquivalentTo(1000 - eventsPerStream*tokensPerEvent - 3*maxTurnTokens))
	})
})

var _ = Describe("A refusal for lack of budget", func() {
	It("is premature if the budget covers a turn beyond what lost owners may have granted", func() {
		plain := &program{budget: 4000}
		Expect(plain.isPrematureRefusal(maxTurnTokens)).To(BeTrue())
		Expect(plain.isPrematureRefusal(maxTurnTokens - 1)).To(BeFalse())
		// After an owner was killed, its successor counts up to 1372 of 4000 tokens as spent.
		lost := int64(0)
		tested := &program{budget: 4000, uncertainSpend: func() int64 { return maxUncertainSpend(4000, lost) }}
		Expect(tested.isPrematureRefusal(maxTurnTokens)).To(BeTrue(), "no owner was lost yet")
		lost = 1
		Expect(tested.isPrematureRefusal(696)).To(BeFalse())
		Expect(tested.isPrematureRefusal(1372 + 2*maxTurnTokens)).To(BeTrue())
		lost = 2
		Expect(tested.isPrematureRefusal(1372 + 2*maxTurnTokens)).To(BeFalse())
		Expect(tested.isPrematureRefusal(1372 + 4000/16 + 2*maxTurnTokens + 1)).To(BeTrue())
	})
})

var _ = Describe("Recomputed prompt tokens", func() {
	It("are those of histories that another engine processed before", func() {
		recorder := newRecorder()
		first := &callAttempt{id: "a", target: retainedTurnPath}
		same := &callAttempt{id: "b", target: retainedTurnPath, previousTurn: "a", historyBytes: 40}
		moved := &callAttempt{id: "c", target: retainedTurnPath, previousTurn: "b", historyBytes: 80}
		for _, attempt := range []*callAttempt{first, same, moved} {
			recorder.recordStart(attempt)
		}
		Expect(turnIDs([]agentengine.Run{{ID: "a"}, {ID: "b"}})).To(Equal(map[string]bool{"a": true, "b": true}))
		use := recorder.countPromptTokens([][]agentengine.Run{
			{{ID: "a", Body: text(20)}, {ID: "b", Body: text(60)}},
			{{ID: "c", Body: text(100)}, {ID: "unknown", Body: text(400)}},
		})
		Expect(use).To(Equal(PromptTokens{Sent: 45, Recomputed: 20}))
	})
})

func text(length int) string { return string(make([]byte, length)) }
