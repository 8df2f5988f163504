package spending_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var program = tenant.Program{ID: "p"}

var start = time.Unix(1000, 0)

// turnTimeout is the time after which a turn expires.
const turnTimeout = 4 * time.Second

// reserve reserves a turn's tokens at the time start.
func reserve(ledger *spending.Ledger, requestID string, budget, maxTokens int64) spending.Verdict {
	return reserveAt(ledger, requestID, budget, maxTokens, start)
}

func reserveAt(ledger *spending.Ledger, requestID string, budget, maxTokens int64, now time.Time) spending.Verdict {
	request := spending.ReserveRequest{Program: program, RequestID: requestID, Budget: budget, MaxTokens: maxTokens, ExpiresAt: now.Add(turnTimeout)}
	return ledger.Reserve(request, now)
}

// write logs and acknowledges the ledger's pending ceilings.
func write(ledger *spending.Ledger, logged map[tenant.Program]spending.Ceiling) {
	ceilings := ledger.DrainPendingCeilings()
	for _, ceiling := range ceilings {
		logged[ceiling.Program] = ceiling
	}
	ledger.AcknowledgeCeilings(ceilings)
}

var _ = Describe("Ledger", func() {
	It("grants only under an acknowledged ceiling", func() {
		ledger := spending.NewLedger(nil, start)
		Expect(reserve(ledger, "a", 1000, 100)).To(Equal(spending.AwaitCeiling))
		Expect(reserve(ledger, "a", 1000, 100)).To(Equal(spending.AwaitCeiling))
		write(ledger, map[tenant.Program]spending.Ceiling{})
		Expect(reserve(ledger, "a", 1000, 100)).To(Equal(spending.Granted))
		Expect(reserve(ledger, "a", 1000, 100)).To(Equal(spending.Granted))
	})

	It("refuses a turn whose maximum does not fit beside the open turns", func() {
		ledger := spending.NewLedger(nil, start)
		reserve(ledger, "a", 500, 288)
		write(ledger, map[tenant.Program]spending.Ceiling{})
		Expect(reserve(ledger, "a", 500, 288)).To(Equal(spending.Granted))
		Expect(reserve(ledger, "b", 500, 288)).To(Equal(spending.BudgetExhausted))
		ledger.Settle(program, "a", 9, start)
		Expect(reserve(ledger, "b", 500, 288)).NotTo(Equal(spending.BudgetExhausted))
	})

	It("leaves a successor room for one last turn", func() {
		logged := map[tenant.Program]spending.Ceiling{}
		ledger := spending.NewLedger(nil, start)
		reserve(ledger, "a", 500, 288)
		write(ledger, logged)
		reserve(ledger, "a", 500, 288)
		write(ledger, logged)
		successor := spending.NewLedger(logged, start)
		reserve(successor, "b", 500, 288)
		write(successor, logged)
		Expect(reserve(successor, "b", 500, 288)).To(Equal(spending.Granted))
	})

	It("returns Undetermined if only a former owner may have spent the remaining budget", func() {
		ledger := spending.NewLedger(map[tenant.Program]spending.Ceiling{program: {Program: program, Tokens: 700, Settled: 100}}, start)
		Expect(reserve(ledger, "a", 500, 288)).To(Equal(spending.Undetermined))
		later := spending.ReserveRequest{Program: program, RequestID: "a", Budget: 500, MaxTokens: 288, ExpiresAt: start.Add(turnTimeout)}
		Expect(ledger.Reserve(later, start.Add(2*time.Second))).To(Equal(spending.Undetermined))
		Expect(ledger.Reserve(later, start.Add(4*time.Second))).To(Equal(spending.BudgetExhausted))
	})

	// The uncertainty timeout must run from the first Undetermined verdict and not from the
	// takeover, or a program whose first request is late is refused without a chance to retry.
	It("returns Undetermined before it refuses, however late the first request is", func() {
		ledger := spending.NewLedger(map[tenant.Program]spending.Ceiling{program: {Program: program, Tokens: 700, Settled: 100}}, start)
		later := spending.ReserveRequest{Program: program, RequestID: "a", Budget: 500, MaxTokens: 288, ExpiresAt: start.Add(turnTimeout)}
		Expect(ledger.Reserve(later, start.Add(3300*time.Millisecond))).To(Equal(spending.Undetermined))
		Expect(ledger.Reserve(later, start.Add(6*time.Second))).To(Equal(spending.Undetermined))
		Expect(ledger.Reserve(later, start.Add(7*time.Second))).To(Equal(spending.BudgetExhausted))
		Expect(ledger.Reserve(later, start.Add(time.Minute))).To(Equal(spending.BudgetExhausted))
	})

	It("holds the reservation of an unsettled turn only until the turn expires", func() {
		logged := map[tenant.Program]spending.Ceiling{}
		ledger := spending.NewLedger(nil, start)
		reserve(ledger, "a", 500, 288)
		write(ledger, logged)
		Expect(reserve(ledger, "a", 500, 288)).To(Equal(spending.Granted))
		ledger.ExpireTurns(start.Add(turnTimeout))
		Expect(reserve(ledger, "b", 500, 288)).To(Equal(spending.BudgetExhausted))
		ledger.ExpireTurns(start.Add(turnTimeout + time.Millisecond))
		Expect(ledger.Settle(program, "a", 9, start)).To(BeFalse())
		Expect(reserve(ledger, "b", 500, 288)).To(Equal(spending.AwaitCeiling))
		write(ledger, logged)
		Expect(reserve(ledger, "b", 500, 288)).To(Equal(spending.Granted))
	})

	It("does not let a successor count a predecessor's open turn as spent", func() {
		logged := map[tenant.Program]spending.Ceiling{}
		ledger := spending.NewLedger(nil, start)
		for _, request := range []string{"a", "b"} {
			reserve(ledger, request, 112, 40)
			write(ledger, logged)
			Expect(reserve(ledger, request, 112, 40)).To(Equal(spending.Granted))
		}
		ledger.Settle(program, "a", 36, start)
		for _, ceiling := range ledger.Checkpoint() {
			logged[ceiling.Program] = ceiling
		}
		// Turn b has spent 36, but its settlement arrived after the checkpoint.
		successor := spending.NewLedger(logged, start)
		Expect(reserve(successor, "c", 112, 40)).NotTo(Equal(spending.BudgetExhausted))
	})

	It("exports its exact state to a successor", func() {
		ledger := spending.NewLedger(nil, start)
		reserve(ledger, "a", 1000, 288)
		write(ledger, map[tenant.Program]spending.Ceiling{})
		reserve(ledger, "a", 1000, 288)
		successor := spending.NewLedger(map[tenant.Program]spending.Ceiling{program: {Program: program, Tokens: 900}}, start)
		successor.ImportAccounts(ledger.ExportAccounts(), start)
		successor.Settle(program, "a", 9, start)
		Expect(reserve(successor, "b", 1000, 700)).To(Equal(spending.Granted))
	})
})

// TestBudgetHolds checks that random sequences of owners never exceed the budget by more
// than one turn. Partitioned owners continue to grant, acknowledgments are delayed and
// settlements are lost.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxTokens = 100
		budget := rapid.Int64Range(100, 1500).Draw(t, "budget")
		logged := map[tenant.Program]spending.Ceiling{}
		owners := []*spending.Ledger{spending.NewLedger(nil, start)}
		type turn struct {
			owner     int
			requestID string
			spent     int64
		}
		var openTurns []turn
		totalSpent := int64(0)
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for step := range steps {
			newest := len(owners) - 1
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0, 1, 2: // A request to any owner, including a partitioned one.
				owner := rapid.IntRange(0, newest).Draw(t, "owner")
				requestID := fmt.Sprint(step)
				size := rapid.Int64Range(1, maxTokens).Draw(t, "max tokens")
				if reserve(owners[owner], requestID, budget, size) == spending.Granted {
					spent := rapid.Int64Range(0, size).Draw(t, "spent")
					totalSpent += spent
					openTurns = append(openTurns, turn{owner, requestID, spent})
				}
			case 3, 4: // The log accepts only the newest owner's appends.
				write(owners[newest], logged)
			case 5: // A turn ends, and its settlement may be lost.
				if len(openTurns) > 0 {
					ended := openTurns[0]
					openTurns = openTurns[1:]
					if rapid.Bool().Draw(t, "settles") {
						owners[ended.owner].Settle(program, ended.requestID, ended.spent, start)
					}
				}
			case 6:
				copied := map[tenant.Program]spending.Ceiling{}
				for name, ceiling := range logged {
					copied[name] = ceiling
				}
				owners = append(owners, spending.NewLedger(copied, start))
			case 7: // An owner's open turns expire without settlement.
				owner := rapid.IntRange(0, newest).Draw(t, "owner")
				owners[owner].ExpireTurns(start.Add(turnTimeout + time.Second))
			}
			if totalSpent > budget+maxTokens {
				t.Fatalf("%d tokens spent, want at most the budget of %d and one turn of %d", totalSpent, budget, maxTokens)
			}
		}
	})
}
