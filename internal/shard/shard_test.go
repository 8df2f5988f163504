package shard

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

const (
	testTenant = "metering"
	testTier   = "kiosk"
	testCap    = 2_000
)

func created(program, parent string) *shardv1.Entry {
	return &shardv1.Entry{Change: &shardv1.Entry_ProgramCreated{ProgramCreated: &shardv1.ProgramCreated{
		ProgramId: program, ParentId: parent, Tenant: testTenant, Tier: testTier, CapMicros: testCap, TurnLimit: 20,
	}}}
}

func accepted(program, request string) *shardv1.Entry {
	return &shardv1.Entry{Change: &shardv1.Entry_CallAccepted{CallAccepted: &shardv1.CallAccepted{
		ProgramId: program, RequestId: request, Digest: []byte(request),
		Kind: schedulerv1.CallKind_CALL_KIND_MODEL, Target: "small",
		Messages:  []*schedulerv1.Message{{Role: "user", Content: "question of " + request}},
		MaxTokens: 30, PromptPriceMicros: 100, OutputPriceMicros: 1000, Repeatable: true,
	}}}
}

func intended(program, request string, attempt uint32) *shardv1.Entry {
	return &shardv1.Entry{Change: &shardv1.Entry_CallIntended{CallIntended: &shardv1.CallIntended{
		ProgramId: program, RequestId: request, Attempt: attempt, BackEnd: "e1",
	}}}
}

func finished(program, request string, attempt, tokens uint32) *shardv1.Entry {
	return &shardv1.Entry{Change: &shardv1.Entry_CallFinished{CallFinished: &shardv1.CallFinished{
		ProgramId: program, RequestId: request, Attempt: attempt, Output: "answer to " + request,
		FinishReason: "stop", PromptTokens: 10, OutputTokens: tokens, ChunkBytes: []uint32{7, 3},
	}}}
}

func requeued(program, request string, attempt uint32) *shardv1.Entry {
	return &shardv1.Entry{Change: &shardv1.Entry_CallRequeued{CallRequeued: &shardv1.CallRequeued{
		ProgramId: program, RequestId: request, Attempt: attempt,
	}}}
}

func stopped(program string) *shardv1.Entry {
	return &shardv1.Entry{Change: &shardv1.Entry_ProgramEnded{ProgramEnded: &shardv1.ProgramEnded{
		ProgramId: program, Stopped: true, Reason: "test",
	}}}
}

func escrow(total uint64) *shardv1.Entry {
	return &shardv1.Entry{Change: &shardv1.Entry_EscrowRaised{EscrowRaised: &shardv1.EscrowRaised{
		Tenant: testTenant, Tier: testTier, GrantedTotalMicros: total,
	}}}
}

// anyEntry generates an entry. Few program and request ids make duplicate and
// outdated entries likely.
func anyEntry(t *rapid.T) *shardv1.Entry {
	program := rapid.SampledFrom([]string{"p1", "p2", "p1.a", "p1.a.b"}).Draw(t, "program")
	request := fmt.Sprintf("r%d", rapid.IntRange(0, 5).Draw(t, "request"))
	attempt := uint32(rapid.IntRange(1, 2).Draw(t, "attempt"))
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		return created(program, map[string]string{"p1.a": "p1", "p1.a.b": "p1.a"}[program])
	case 1, 2, 3:
		return accepted(program, request)
	case 4, 5:
		return intended(program, request, attempt)
	case 6, 7:
		return finished(program, request, attempt, uint32(rapid.IntRange(1, 200).Draw(t, "tokens")))
	case 8:
		return requeued(program, request, attempt)
	}
	if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
		return stopped(program)
	}
	return escrow(uint64(rapid.IntRange(0, 5_000).Draw(t, "escrow")))
}

func snapshotOf(state *State) string {
	data, err := state.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

var _ = Describe("shard state", func() {
	It("is the same after a snapshot and restore, and never exceeds caps and escrow", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			state, copied := New(), New()
			for range rapid.IntRange(1, 60).Draw(t, "length") {
				entry := anyEntry(t)
				state.Apply(entry)
				if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
					Expect(copied.Restore([]byte(snapshotOf(state)))).To(Succeed())
				} else {
					copied.Apply(entry)
				}
				Expect(snapshotOf(copied)).To(Equal(snapshotOf(state)))
				checkBudgetBounds(state)
			}
		})
	})

	It("returns the stored result and chunk sizes of a finished call to a duplicate request", func() {
		state := New()
		for _, entry := range []*shardv1.Entry{escrow(1000), created("p1", ""), accepted("p1", "r1"), intended("p1", "r1", 1), finished("p1", "r1", 1, 5)} {
			Expect(state.Apply(entry).Err).To(BeNil())
		}
		repeated := state.Apply(accepted("p1", "r1"))
		Expect(repeated.Duplicate).To(BeTrue())
		Expect(repeated.Call.Finished().Output).To(Equal("answer to r1"))
		Expect(repeated.Call.Finished().ChunkBytes).To(Equal([]uint32{7, 3}))
		parts, err := state.acceptedPrompt("p1", "r2")
		Expect(err).NotTo(HaveOccurred())
		Expect(parts).To(Equal([]string{"\nuser: question of r1", "answer to r1", "\nuser: question of r2"}))
	})

	It("limits the number of rejected calls kept per program", func() {
		state := New()
		state.Apply(created("p1", ""))
		for number := range 3 * maximumDeclined {
			state.Apply(&shardv1.Entry{Change: &shardv1.Entry_CallDeclined{CallDeclined: &shardv1.CallDeclined{
				ProgramId: "p1", RequestId: fmt.Sprint(number), Code: uint32(resultcode.BudgetExhausted),
			}}})
		}
		Expect(state.Program("p1").calls).To(HaveLen(maximumDeclined))
		late := state.Apply(accepted("p1", fmt.Sprint(3*maximumDeclined-1)))
		Expect(late.Err.Code).To(Equal(resultcode.RequestIDReused), "its digest differs")
	})

	It("rejects an invalid snapshot and keeps its state", func() {
		state := New()
		state.Apply(created("p1", ""))
		before := snapshotOf(state)
		Expect(state.Restore([]byte("no snapshot"))).NotTo(Succeed())
		Expect(snapshotOf(state)).To(Equal(before))
	})
})

// checkBudgetBounds checks that no program exceeds its cap and no escrow its grant.
func checkBudgetBounds(state *State) {
	state.Programs(func(program *Program) bool {
		Expect(program.Spent()+program.Reserved()).To(BeNumerically("<=", testCap), program.ID())
		return true
	})
	held := state.Escrow(TierKey{Tenant: testTenant, Tier: testTier})
	Expect(held.Spent() + held.Reserved()).To(BeNumerically("<=", held.Granted()))
}

// acceptedPrompt accepts a call and returns its prompt.
func (state *State) acceptedPrompt(program, request string) ([]string, error) {
	outcome := state.Apply(accepted(program, request))
	return outcome.Call.Prompt().Parts()
}
