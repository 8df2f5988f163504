package ledger_test

import (
	"fmt"

	"pgregory.net/rapid"

	"github.com/magpielug/magpielug/internal/ledger"
)

const (
	shardCount     = 3
	largestBudget  = 2000
	largestCall    = 300
	tenant, tierID = "tenant", "tier"
)

// message is in flight between a shard and the account. It may be delivered any
// number of times, in any order, or never.
type message struct {
	toAccount bool
	shard     uint32
	wanted    ledger.Micros
	returned  ledger.Micros
	granted   ledger.Micros
}

// network models one tier's account, the escrows of all shards and the messages
// between them. rapid generates its operations.
type network struct {
	account *ledger.Account
	escrows [shardCount]*ledger.Escrow
	// openReservations holds the reservations of running calls by shard.
	openReservations [shardCount][]ledger.Micros
	messages         []message
	// maxOutstanding is the upper bound on the outstanding amount: the budget, or
	// more while a lowered budget has not been reached by returns.
	maxOutstanding ledger.Micros
}

func newNetwork(t *rapid.T) *network {
	budget := generateMicros(t, "budget", largestBudget)
	n := &network{account: ledger.NewAccount(budget), maxOutstanding: budget}
	for shard := range n.escrows {
		n.escrows[shard] = &ledger.Escrow{}
	}
	return n
}

func generateMicros(t *rapid.T, label string, greatest uint64) ledger.Micros {
	return ledger.Micros(rapid.Uint64Range(0, greatest).Draw(t, label))
}

func generateShard(t *rapid.T) int { return rapid.IntRange(0, shardCount-1).Draw(t, "shard") }

func (n *network) reserve(t *rapid.T) {
	shard := generateShard(t)
	amount := generateMicros(t, "worst case", largestCall)
	if n.escrows[shard].Reserve(amount) == nil {
		n.openReservations[shard] = append(n.openReservations[shard], amount)
	}
}

func (n *network) settle(t *rapid.T) {
	shard := generateShard(t)
	if len(n.openReservations[shard]) == 0 {
		t.Skip("no running call")
	}
	index := rapid.IntRange(0, len(n.openReservations[shard])-1).Draw(t, "call")
	reserved := n.openReservations[shard][index]
	cost := generateMicros(t, "cost", 2*largestCall)
	charge, failure := n.escrows[shard].Settle(reserved, cost)
	if failure != nil || charge > reserved {
		t.Fatalf("settling a reservation of %d with cost %d: charged %d, error %v", reserved, cost, charge, failure)
	}
	n.openReservations[shard] = append(n.openReservations[shard][:index], n.openReservations[shard][index+1:]...)
}

func (n *network) topUp(t *rapid.T) {
	shard := generateShard(t)
	policy := ledger.NewTopUpPolicy(n.account.Budget(), largestCall)
	wanted, needed := policy.Wanted(n.escrows[shard], generateMicros(t, "need", largestCall))
	if needed {
		n.send(message{toAccount: true, shard: uint32(shard), wanted: wanted, returned: n.escrows[shard].Returned()})
	}
}

func (n *network) returnIdle(t *rapid.T) {
	shard := generateShard(t)
	total, excess := ledger.IdleReturn(n.escrows[shard], generateMicros(t, "keep", largestCall))
	if !excess {
		t.Skip("nothing to return")
	}
	if failure := n.escrows[shard].RaiseReturned(total); failure != nil {
		t.Fatalf("return %d: %v", total, failure)
	}
	n.send(message{toAccount: true, shard: uint32(shard), returned: total})
}

func (n *network) send(sent message) { n.messages = append(n.messages, sent) }

// deliver delivers any message that was sent and not dropped. The message is
// kept, so that it can be delivered again.
func (n *network) deliver(t *rapid.T) {
	if len(n.messages) == 0 {
		t.Skip("no message")
	}
	n.receive(t, n.messages[rapid.IntRange(0, len(n.messages)-1).Draw(t, "message")])
}

func (n *network) drop(t *rapid.T) {
	if len(n.messages) == 0 {
		t.Skip("no message")
	}
	index := rapid.IntRange(0, len(n.messages)-1).Draw(t, "message")
	n.messages = append(n.messages[:index], n.messages[index+1:]...)
}

func (n *network) receive(t *rapid.T, received message) {
	if !received.toAccount {
		n.escrows[received.shard].RaiseGranted(received.granted)
		return
	}
	if failure := n.account.RaiseReturned(received.shard, received.returned); failure != nil {
		t.Fatalf("returned total: %v", failure)
	}
	granted := n.account.Grant(received.shard, received.wanted)
	n.send(message{shard: received.shard, granted: granted})
}

func (n *network) changeBudget(t *rapid.T) {
	n.account.SetBudget(generateMicros(t, "budget", largestBudget))
	n.maxOutstanding = max(n.account.Budget(), n.account.Outstanding())
}

// restoreEscrow simulates a leader change of a shard by restoring its escrow from
// a snapshot record.
func (n *network) restoreEscrow(t *rapid.T) {
	shard := generateShard(t)
	restored, failure := ledger.RestoreEscrow(n.escrows[shard].Record(tenant, tierID))
	if failure != nil {
		t.Fatalf("restore escrow: %v", failure)
	}
	n.escrows[shard] = restored
}

func (n *network) restoreAccount(t *rapid.T) {
	restored, failure := ledger.RestoreAccount(n.account.Record(tenant, tierID))
	if failure != nil {
		t.Fatalf("restore account: %v", failure)
	}
	n.account = restored
}

// checkInvariants checks the package invariants after each operation.
func (n *network) checkInvariants(t *rapid.T) {
	n.maxOutstanding = max(n.account.Budget(), min(n.maxOutstanding, n.account.Outstanding()))
	var totalHeld, totalUsed ledger.Micros
	for shard, escrow := range n.escrows {
		if escrow.Granted() > n.account.Granted(uint32(shard)) {
			t.Fatalf("escrow of shard %d has a granted total of %d, above the account's %d", shard, escrow.Granted(), n.account.Granted(uint32(shard)))
		}
		if escrow.Returned()+escrow.Reserved()+escrow.Spent() > escrow.Granted() {
			t.Fatalf("shard %d uses more than it was granted", shard)
		}
		if escrow.Reserved() != sum(n.openReservations[shard]) {
			t.Fatalf("shard %d has %d reserved, but its calls reserved %d", shard, escrow.Reserved(), sum(n.openReservations[shard]))
		}
		totalHeld += escrow.Granted() - escrow.Returned()
		totalUsed += escrow.Reserved() + escrow.Spent()
	}
	if totalUsed > n.maxOutstanding || totalHeld > n.account.Outstanding() || n.account.Outstanding() > n.maxOutstanding {
		t.Fatal(fmt.Sprintf("used %d, held %d, outstanding %d, limit %d", totalUsed, totalHeld, n.account.Outstanding(), n.maxOutstanding))
	}
}

// settleAll cancels all running calls and recalls all idle escrow. A recall
// carries the granted total and its response the returned total, since earlier
// messages with either may have been lost.
func (n *network) settleAll(t *rapid.T) {
	for shard, escrow := range n.escrows {
		for _, reserved := range n.openReservations[shard] {
			if failure := escrow.Cancel(reserved); failure != nil {
				t.Fatalf("cancel: %v", failure)
			}
		}
		n.openReservations[shard] = nil
	}
	for _, shard := range n.account.Holders() {
		n.recall(t, shard)
	}
}

func (n *network) recall(t *rapid.T, shard uint32) {
	escrow := n.escrows[shard]
	escrow.RaiseGranted(n.account.Granted(shard))
	total, _ := ledger.IdleReturn(escrow, 0)
	if failure := escrow.RaiseReturned(total); failure != nil {
		t.Fatalf("return: %v", failure)
	}
	if failure := n.account.RaiseReturned(shard, escrow.Returned()); failure != nil {
		t.Fatalf("returned total: %v", failure)
	}
	if n.account.Returned(shard) != escrow.Returned() {
		t.Fatalf("the account's returned total is %d, that of shard %d is %d", n.account.Returned(shard), shard, escrow.Returned())
	}
}

func sum(amounts []ledger.Micros) ledger.Micros {
	var total ledger.Micros
	for _, amount := range amounts {
		total += amount
	}
	return total
}
