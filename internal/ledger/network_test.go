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

// message is on its way between a shard and the account. It may be delivered
// any number of times, in any order, or never.
type message struct {
	toAccount bool
	shard     uint32
	wanted    ledger.Micros
	returned  ledger.Micros
	granted   ledger.Micros
}

// network is one tier's account and the escrows of all shards, with the
// messages between them, driven by rapid.
type network struct {
	account *ledger.Account
	escrows [shardCount]*ledger.Escrow
	// open holds the reservations of calls under way, by shard.
	open     [shardCount][]ledger.Micros
	messages []message
	// ceiling is what may be outstanding: the budget, or more for as long as a
	// lowered budget has not been reached by returns.
	ceiling ledger.Micros
}

func newNetwork(t *rapid.T) *network {
	budget := drawMicros(t, "budget", largestBudget)
	net := &network{account: ledger.NewAccount(budget), ceiling: budget}
	for shard := range net.escrows {
		net.escrows[shard] = &ledger.Escrow{}
	}
	return net
}

func drawMicros(t *rapid.T, label string, greatest uint64) ledger.Micros {
	return ledger.Micros(rapid.Uint64Range(0, greatest).Draw(t, label))
}

func drawShard(t *rapid.T) int { return rapid.IntRange(0, shardCount-1).Draw(t, "shard") }

func (net *network) reserve(t *rapid.T) {
	shard := drawShard(t)
	amount := drawMicros(t, "worst case", largestCall)
	if net.escrows[shard].Reserve(amount) == nil {
		net.open[shard] = append(net.open[shard], amount)
	}
}

func (net *network) settle(t *rapid.T) {
	shard := drawShard(t)
	if len(net.open[shard]) == 0 {
		t.Skip("no call under way")
	}
	index := rapid.IntRange(0, len(net.open[shard])-1).Draw(t, "call")
	reserved := net.open[shard][index]
	cost := drawMicros(t, "cost", 2*largestCall)
	charge, failure := net.escrows[shard].Settle(reserved, cost)
	if failure != nil || charge > reserved {
		t.Fatalf("settle %d at %d: charged %d, %v", reserved, cost, charge, failure)
	}
	net.open[shard] = append(net.open[shard][:index], net.open[shard][index+1:]...)
}

func (net *network) topUp(t *rapid.T) {
	shard := drawShard(t)
	policy := ledger.NewTopUpPolicy(net.account.Budget(), largestCall)
	wanted, ask := policy.Wanted(net.escrows[shard], drawMicros(t, "need", largestCall))
	if ask {
		net.send(message{toAccount: true, shard: uint32(shard), wanted: wanted, returned: net.escrows[shard].Returned()})
	}
}

func (net *network) returnIdle(t *rapid.T) {
	shard := drawShard(t)
	total, spare := ledger.IdleReturn(net.escrows[shard], drawMicros(t, "keep", largestCall))
	if !spare {
		t.Skip("nothing to give back")
	}
	if failure := net.escrows[shard].RaiseReturned(total); failure != nil {
		t.Fatalf("return %d: %v", total, failure)
	}
	net.send(message{toAccount: true, shard: uint32(shard), returned: total})
}

func (net *network) send(sent message) { net.messages = append(net.messages, sent) }

// deliver hands over any message that was ever sent and not lost; it stays, so
// that it can arrive again later.
func (net *network) deliver(t *rapid.T) {
	if len(net.messages) == 0 {
		t.Skip("no message")
	}
	net.receive(t, net.messages[rapid.IntRange(0, len(net.messages)-1).Draw(t, "message")])
}

func (net *network) lose(t *rapid.T) {
	if len(net.messages) == 0 {
		t.Skip("no message")
	}
	index := rapid.IntRange(0, len(net.messages)-1).Draw(t, "message")
	net.messages = append(net.messages[:index], net.messages[index+1:]...)
}

func (net *network) receive(t *rapid.T, received message) {
	if !received.toAccount {
		net.escrows[received.shard].RaiseGranted(received.granted)
		return
	}
	if failure := net.account.RaiseReturned(received.shard, received.returned); failure != nil {
		t.Fatalf("returned total: %v", failure)
	}
	granted := net.account.Grant(received.shard, received.wanted)
	net.send(message{shard: received.shard, granted: granted})
}

func (net *network) changeBudget(t *rapid.T) {
	net.account.SetBudget(drawMicros(t, "budget", largestBudget))
	net.ceiling = max(net.account.Budget(), net.account.Outstanding())
}

// replaceHolder lets another replica, which has the same committed state, lead
// a shard.
func (net *network) replaceHolder(t *rapid.T) {
	shard := drawShard(t)
	restored, failure := ledger.RestoreEscrow(net.escrows[shard].Record(tenant, tierID))
	if failure != nil {
		t.Fatalf("restore escrow: %v", failure)
	}
	net.escrows[shard] = restored
}

func (net *network) replaceAccountHolder(t *rapid.T) {
	restored, failure := ledger.RestoreAccount(net.account.Record(tenant, tierID))
	if failure != nil {
		t.Fatalf("restore account: %v", failure)
	}
	net.account = restored
}

// check states what holds at every moment.
func (net *network) check(t *rapid.T) {
	net.ceiling = max(net.account.Budget(), min(net.ceiling, net.account.Outstanding()))
	var held, used ledger.Micros
	for shard, escrow := range net.escrows {
		if escrow.Granted() > net.account.Granted(uint32(shard)) {
			t.Fatalf("shard %d has %d, the account granted %d", shard, escrow.Granted(), net.account.Granted(uint32(shard)))
		}
		if escrow.Returned()+escrow.Reserved()+escrow.Spent() > escrow.Granted() {
			t.Fatalf("shard %d uses more than its escrow", shard)
		}
		if escrow.Reserved() != sum(net.open[shard]) {
			t.Fatalf("shard %d holds %d for calls of %d", shard, escrow.Reserved(), sum(net.open[shard]))
		}
		held += escrow.Granted() - escrow.Returned()
		used += escrow.Reserved() + escrow.Spent()
	}
	if used > net.ceiling || held > net.account.Outstanding() || net.account.Outstanding() > net.ceiling {
		t.Fatal(fmt.Sprintf("used %d, held %d, outstanding %d, ceiling %d", used, held, net.account.Outstanding(), net.ceiling))
	}
}

// drain lets the network heal: all calls end, and the account recalls what its
// holders do not use. A recall tells the holder its granted total, and the
// holder always answers with its returned total, since either may have been
// lost before.
func (net *network) drain(t *rapid.T) {
	for shard, escrow := range net.escrows {
		for _, reserved := range net.open[shard] {
			if failure := escrow.Cancel(reserved); failure != nil {
				t.Fatalf("cancel: %v", failure)
			}
		}
		net.open[shard] = nil
	}
	for _, shard := range net.account.Holders() {
		net.recall(t, shard)
	}
}

func (net *network) recall(t *rapid.T, shard uint32) {
	escrow := net.escrows[shard]
	escrow.RaiseGranted(net.account.Granted(shard))
	total, _ := ledger.IdleReturn(escrow, 0)
	if failure := escrow.RaiseReturned(total); failure != nil {
		t.Fatalf("return: %v", failure)
	}
	if failure := net.account.RaiseReturned(shard, escrow.Returned()); failure != nil {
		t.Fatalf("returned total: %v", failure)
	}
	if net.account.Returned(shard) != escrow.Returned() {
		t.Fatalf("the account knows of %d returned, shard %d of %d", net.account.Returned(shard), shard, escrow.Returned())
	}
}

func sum(amounts []ledger.Micros) ledger.Micros {
	var total ledger.Micros
	for _, amount := range amounts {
		total += amount
	}
	return total
}
