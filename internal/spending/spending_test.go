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

// turnTime is how long a turn may take.
const turnTime = 4 * time.Second

// reserve asks a ledger for a turn's tokens at the start of the test.
func reserve(ledger *spending.Ledger, request string, budget, most int64) spending.Verdict {
	order := spending.ReserveRequest{Program: program, RequestID: request, Budget: budget, MaxTokens: most, ExpiresAt: start.Add(turnTime)}
	return ledger.Reserve(order, start)
}

// write acknowledges what the ledger wants written.
func write(ledger *spending.Ledger, logged map[tenant.Program]spending.Ceiling) {
	wanted := ledger.DrainPendingCeilings()
	for _, ceiling := range wanted {
		logged[ceiling.Program] = ceiling
	}
	ledger.AcknowledgeCeilings(wanted)
}

var _ = Describe("Ledger", func() {
	It("grants only under a ceiling that the log has acknowledged", func() {
		ledger := spending.NewLedger(nil, start)
		Expect(reserve(ledger, "a", 1000, 100)).To(Equal(spending.AwaitCeiling))
		Expect(reserve(ledger, "a", 1000, 100)).To(Equal(spending.AwaitCeiling))
		write(ledger, map[tenant.Program]spending.Ceiling{})
		Expect(reserve(ledger, "a", 1000, 100)).To(Equal(spending.Granted))
		Expect(reserve(ledger, "a", 1000, 100)).To(Equal(spending.Granted))
	})

	It("refuses a turn that does not fit at its most beside the open ones", func() {
		ledger := spending.NewLedger(nil, start)
		reserve(ledger, "a", 500, 288)
		write(ledger, map[tenant.Program]spending.Ceiling{})
		Expect(reserve(ledger, "a", 500, 288)).To(Equal(spending.Granted))
		Expect(reserve(ledger, "b", 500, 288)).To(Equal(spending.BudgetExhausted))
		ledger.Settle(program, "a", 9, start)
		Expect(reserve(ledger, "b", 500, 288)).NotTo(Equal(spending.BudgetExhausted))
	})

	It("leaves a successor the room of a last turn", func() {
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

	It("says that it is unsure where only a former owner may have spent the room", func() {
		ledger := spending.NewLedger(map[tenant.Program]spending.Ceiling{program: {Program: program, Tokens: 700, Settled: 100}}, start)
		Expect(reserve(ledger, "a", 500, 288)).To(Equal(spending.Undetermined))
		later := spending.ReserveRequest{Program: program, RequestID: "a", Budget: 500, MaxTokens: 288, ExpiresAt: start.Add(turnTime)}
		Expect(ledger.Reserve(later, start.Add(2*time.Second))).To(Equal(spending.Undetermined))
		Expect(ledger.Reserve(later, start.Add(4*time.Second))).To(Equal(spending.BudgetExhausted))
	})

	// A program with room for 72 of its 112 tokens was told that its budget is spent, for its
	// second turn: its owner had come after an unclean loss, its account was made at its first
	// turn with doubt=37, its tenant's limit held the second one back for 3.3 s, and 'turn
	// refused spent=73 doubt=37' has no 'unsure' before it (soak, seed 742542021). The time for
	// which a doubt is told as such began with the account, and was over unseen.
	It("says that it is unsure before it refuses, however late it is asked", func() {
		ledger := spending.NewLedger(map[tenant.Program]spending.Ceiling{program: {Program: program, Tokens: 700, Settled: 100}}, start)
		later := spending.ReserveRequest{Program: program, RequestID: "a", Budget: 500, MaxTokens: 288, ExpiresAt: start.Add(turnTime)}
		Expect(ledger.Reserve(later, start.Add(3300*time.Millisecond))).To(Equal(spending.Undetermined))
		Expect(ledger.Reserve(later, start.Add(6*time.Second))).To(Equal(spending.Undetermined))
		Expect(ledger.Reserve(later, start.Add(7*time.Second))).To(Equal(spending.BudgetExhausted))
		Expect(ledger.Reserve(later, start.Add(time.Minute))).To(Equal(spending.BudgetExhausted))
	})

	It("holds the room of a turn whose end it never hears of only as long as the turn may take", func() {
		logged := map[tenant.Program]spending.Ceiling{}
		ledger := spending.NewLedger(nil, start)
		reserve(ledger, "a", 500, 288)
		write(ledger, logged)
		Expect(reserve(ledger, "a", 500, 288)).To(Equal(spending.Granted))
		ledger.ExpireTurns(start.Add(turnTime))
		Expect(reserve(ledger, "b", 500, 288)).To(Equal(spending.BudgetExhausted))
		ledger.ExpireTurns(start.Add(turnTime + time.Millisecond))
		Expect(ledger.Settle(program, "a", 9, start)).To(BeFalse())
		Expect(reserve(ledger, "b", 500, 288)).To(Equal(spending.AwaitCeiling))
		write(ledger, logged)
		Expect(reserve(ledger, "b", 500, 288)).To(Equal(spending.Granted))
	})

	It("does not let a successor take a predecessor's open turn for spent", func() {
		logged := map[tenant.Program]spending.Ceiling{}
		ledger := spending.NewLedger(nil, start)
		for _, request := range []string{"a", "b"} {
			reserve(ledger, request, 112, 40)
			write(ledger, logged)
			Expect(reserve(ledger, request, 112, 40)).To(Equal(spending.Granted))
		}
		ledger.Settle(program, "a", 36, start)
		for _, exact := range ledger.Checkpoint() {
			logged[exact.Program] = exact
		}
		// Turn b has spent 36, which came too late for the predecessor.
		successor := spending.NewLedger(logged, start)
		Expect(reserve(successor, "c", 112, 40)).NotTo(Equal(spending.BudgetExhausted))
	})

	It("is exact for a successor that it hands its accounts to", func() {
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

// TestBudgetHolds lets owners come and go: some are cut off and go on granting
// from what they know, ceilings are acknowledged late, turns settle or never do.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 100
		budget := rapid.Int64Range(100, 1500).Draw(t, "budget")
		logged := map[tenant.Program]spending.Ceiling{}
		owners := []*spending.Ledger{spending.NewLedger(nil, start)}
		type turn struct {
			owner int
			key   string
			spent int64
		}
		var open []turn
		given := int64(0)
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for step := range steps {
			newest := len(owners) - 1
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0, 1, 2: // Any owner, also one that was cut off, is asked.
				owner := rapid.IntRange(0, newest).Draw(t, "owner")
				key := fmt.Sprint(step)
				size := rapid.Int64Range(1, most).Draw(t, "most")
				if reserve(owners[owner], key, budget, size) == spending.Granted {
					spent := rapid.Int64Range(0, size).Draw(t, "spent")
					given += spent
					open = append(open, turn{owner, key, spent})
				}
			case 3, 4: // Only the newest owner's appends are taken.
				write(owners[newest], logged)
			case 5: // A turn ends, or its end never comes to its owner.
				if len(open) > 0 {
					ended := open[0]
					open = open[1:]
					if rapid.Bool().Draw(t, "settles") {
						owners[ended.owner].Settle(program, ended.key, ended.spent, start)
					}
				}
			case 6:
				copied := map[tenant.Program]spending.Ceiling{}
				for name, ceiling := range logged {
					copied[name] = ceiling
				}
				owners = append(owners, spending.NewLedger(copied, start))
			case 7: // An owner hears of no end until the turns' time is over.
				owner := rapid.IntRange(0, newest).Draw(t, "owner")
				owners[owner].ExpireTurns(start.Add(turnTime + time.Second))
			}
			if given > budget+most {
				t.Fatalf("%d tokens given, budget %d and one turn of %d", given, budget, most)
			}
		}
	})
}
