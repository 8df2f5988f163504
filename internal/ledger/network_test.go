package ledger_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"

	"github.com/magpielug/magpielug/internal/ledger"
)

const (
	shardCount     = 3
	largestBudget  = 2000
	largestCall    = 300
	tenant, tierID = "tenant", "tier"
	drainStep      = time.Second
	drainSteps     = 30
)

var tier = ledger.Tier{Tenant: tenant, Name: tierID}

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

// drain lets the network heal under new leaders, which know the replicated
// state only: all calls end, and in time all escrow has come back.
func (net *network) drain(t *rapid.T) {
	reminder := ledger.NewReminder(drainStep, 1)
	for shard, escrow := range net.escrows {
		for _, reserved := range net.open[shard] {
			if failure := escrow.Cancel(reserved); failure != nil {
				t.Fatalf("cancel: %v", failure)
			}
		}
		net.open[shard] = nil
	}
	var books [shardCount]*ledger.Book
	var requesters [shardCount]*ledger.Requester
	for shard, escrow := range net.escrows {
		books[shard], _ = ledger.RestoreBook([]*shardv1.EscrowRecord{escrow.Record(tenant, tierID)}, nil)
		requesters[shard] = ledger.NewRequester(ledger.RequesterConfig{Retry: drainStep, Idle: 2 * drainStep})
	}
	accounts, _ := ledger.RestoreBook(nil, []*shardv1.AccountRecord{net.account.Record(tenant, tierID)})
	for now := time.Duration(0); now < drainSteps*drainStep; now += drainStep {
		for shard := range net.escrows {
			net.exchange(t, now, uint32(shard), books[shard], requesters[shard], accounts)
		}
		for _, reply := range reminder.Tick(now, accounts) {
			net.answer(reply, books[reply.Shard], requesters[reply.Shard])
		}
	}
	for shard := range net.escrows {
		escrow := books[shard].Escrow(tier)
		net.escrows[shard] = &escrow
	}
	net.account, _ = ledger.RestoreAccount(accounts.AccountRecords()[0])
}

// exchange carries out what a shard's leader wants at a tick.
func (net *network) exchange(t *rapid.T, now time.Duration, shard uint32, book *ledger.Book, requester *ledger.Requester, accounts *ledger.Book) {
	requests, returns := requester.Tick(now, book, nil)
	for _, returned := range returns {
		if failure := book.ApplyEscrowReturned(&shardv1.EscrowReturned{
			Tenant: tenant, Tier: tierID, ReturnedTotalMicros: uint64(returned.ReturnedTotal)}); failure != nil {
			t.Fatalf("return: %v", failure)
		}
	}
	for _, request := range requests {
		if failure := accounts.ApplyAccountReturned(&shardv1.AccountReturned{
			Tenant: tenant, Tier: tierID, Shard: shard, ReturnedTotalMicros: uint64(request.ReturnedTotal)}); failure != nil {
			t.Fatalf("returned total: %v", failure)
		}
		granted, returned := accounts.Account(tier, shard)
		net.answer(ledger.Reply{Tier: tier, Shard: shard, GrantedTotal: granted, ReturnedTotal: returned}, book, requester)
	}
}

func (net *network) answer(reply ledger.Reply, book *ledger.Book, requester *ledger.Requester) {
	book.ApplyEscrowRaised(&shardv1.EscrowRaised{Tenant: tenant, Tier: tierID, GrantedTotalMicros: uint64(reply.GrantedTotal)})
	requester.Answered(tier, reply.GrantedTotal, reply.ReturnedTotal)
}

func sum(amounts []ledger.Micros) ledger.Micros {
	var total ledger.Micros
	for _, amount := range amounts {
		total += amount
	}
	return total
}
