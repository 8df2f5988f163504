package spending_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/spending"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const program = "p"

var start = time.Unix(1000, 0)

// write acknowledges what the ledger wants written.
func write(ledger *spending.Ledger, logged map[string]spending.Ceiling) {
	wanted := ledger.Wanted()
	for _, ceiling := range wanted {
		logged[ceiling.Program] = ceiling
	}
	ledger.Written(wanted)
}

var _ = Describe("Ledger", func() {
	It("grants only under a ceiling that the log has acknowledged", func() {
		ledger := spending.NewLedger(nil, start)
		Expect(ledger.Reserve(program, "a", 1000, 100, start)).To(Equal(spending.AwaitCeiling))
		Expect(ledger.Reserve(program, "a", 1000, 100, start)).To(Equal(spending.AwaitCeiling))
		write(ledger, map[string]spending.Ceiling{})
		Expect(ledger.Reserve(program, "a", 1000, 100, start)).To(Equal(spending.Granted))
		Expect(ledger.Reserve(program, "a", 1000, 100, start)).To(Equal(spending.Granted))
	})

	It("refuses a turn that does not fit at its most beside the open ones", func() {
		ledger := spending.NewLedger(nil, start)
		ledger.Reserve(program, "a", 500, 288, start)
		write(ledger, map[string]spending.Ceiling{})
		Expect(ledger.Reserve(program, "a", 500, 288, start)).To(Equal(spending.Granted))
		Expect(ledger.Reserve(program, "b", 500, 288, start)).To(Equal(spending.Spent))
		ledger.Settle(program, "a", 9, start)
		Expect(ledger.Reserve(program, "b", 500, 288, start)).NotTo(Equal(spending.Spent))
	})

	It("leaves a successor the room of a last turn", func() {
		logged := map[string]spending.Ceiling{}
		ledger := spending.NewLedger(nil, start)
		ledger.Reserve(program, "a", 500, 288, start)
		write(ledger, logged)
		ledger.Reserve(program, "a", 500, 288, start)
		write(ledger, logged)
		successor := spending.NewLedger(logged, start)
		successor.Reserve(program, "b", 500, 288, start)
		write(successor, logged)
		Expect(successor.Reserve(program, "b", 500, 288, start)).To(Equal(spending.Granted))
	})

	It("says that it is unsure where only a former owner may have spent the room", func() {
		ledger := spending.NewLedger(map[string]spending.Ceiling{program: {Program: program, Tokens: 700, Settled: 100}}, start)
		Expect(ledger.Reserve(program, "a", 500, 288, start)).To(Equal(spending.Unsure))
	})

	It("is exact for a successor that it hands its accounts to", func() {
		ledger := spending.NewLedger(nil, start)
		ledger.Reserve(program, "a", 1000, 288, start)
		write(ledger, map[string]spending.Ceiling{})
		ledger.Reserve(program, "a", 1000, 288, start)
		successor := spending.NewLedger(map[string]spending.Ceiling{program: {Program: program, Tokens: 900}}, start)
		successor.Adopt(ledger.Accounts(), start)
		successor.Settle(program, "a", 9, start)
		Expect(successor.Reserve(program, "b", 1000, 700, start)).To(Equal(spending.Granted))
	})
})

// TestBudgetHolds lets owners come and go: some are cut off and go on granting
// from what they know, ceilings are acknowledged late, turns settle or never do.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 100
		budget := rapid.Int64Range(100, 1500).Draw(t, "budget")
		logged := map[string]spending.Ceiling{}
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
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1, 2: // Any owner, also one that was cut off, is asked.
				owner := rapid.IntRange(0, newest).Draw(t, "owner")
				key := fmt.Sprint(step)
				size := rapid.Int64Range(1, most).Draw(t, "most")
				if owners[owner].Reserve(program, key, budget, size, start) == spending.Granted {
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
				copied := map[string]spending.Ceiling{}
				for name, ceiling := range logged {
					copied[name] = ceiling
				}
				owners = append(owners, spending.NewLedger(copied, start))
			}
			if given > budget+most {
				t.Fatalf("%d tokens given, budget %d and one turn of %d", given, budget, most)
			}
		}
	})
}
