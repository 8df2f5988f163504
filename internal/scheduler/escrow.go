package scheduler

import (
	"slices"
	"time"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/ledger"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/shard"
)

// The holder's side of a tier's budget: a shard's leader asks the tier's account
// for escrow before calls need it, and calls that it does not cover wait a
// little for more.

const (
	// escrowRetry is how long a request for escrow waits for its answer.
	escrowRetry = 300 * time.Millisecond
	// escrowMargin is what a call waits for escrow beyond the longest election: the
	// account's shard may be without a leader.
	escrowMargin = time.Second
	// escrowIdle is how long a tier's escrow lies unused before it goes back.
	escrowIdle = time.Minute
	// budgetRetryAfter is when a caller may ask again for a tier without budget.
	budgetRetryAfter = 10 * time.Second
	// usualCallShare sizes a top-up: a usual call costs this part of the tier's
	// cap for one program.
	usualCallShare = 64
)

// escrowNeed is what a leader knows of its shard's want of one tier's escrow.
type escrowNeed struct {
	// proposed is the worst case of calls that are proposed and not yet applied.
	proposed uint64
	parked   []parkedCall
	lastAsk  time.Duration
	lastUse  time.Duration
}

// parkedCall is a call that waits for escrow. It has not been proposed.
type parkedCall struct {
	ask       AskID
	request   *schedulerv1.CallRequest
	worstCase uint64
	since     time.Duration
}

func tierKey(tier *operatorv1.Tier) shard.TierKey {
	return shard.TierKey{Tenant: tier.Tenant, Tier: tier.Name}
}

func tierOfReply(reply *schedulerv1.EscrowReply) shard.TierKey {
	return shard.TierKey{Tenant: reply.Tenant, Tier: reply.Tier}
}

func budgetExhausted(worstCase uint64) *resultcode.Error {
	failure := resultcode.New(resultcode.BudgetExhausted,
		"the tier's budget does not cover the %d micros that the call may cost", worstCase)
	return failure.After(budgetRetryAfter)
}

func (host *host) need(key shard.TierKey) *escrowNeed {
	found := host.needs[key]
	if found == nil {
		found = &escrowNeed{lastAsk: -escrowRetry}
		host.needs[key] = found
	}
	return found
}

// worstCase bounds the cost of a call that is not yet accepted.
func (host *host) worstCase(programID string, accepted *shardv1.CallAccepted) uint64 {
	program := host.state.Program(programID)
	if program == nil {
		return shard.WorstCaseAlone(accepted)
	}
	return program.WorstCase(accepted)
}

// coversCall tells whether the escrow covers a further call.
func (host *host) coversCall(key shard.TierKey, worstCase uint64) bool {
	need := host.need(key)
	need.lastUse = host.core.now
	available := uint64(host.state.Escrow(key).Available())
	return available >= need.proposed && available-need.proposed >= worstCase
}

func (host *host) parkCall(parked parkedCall) {
	key := shard.TierKey{Tenant: parked.request.Caller.Tenant, Tier: parked.request.Caller.Tier}
	need := host.need(key)
	need.parked = append(need.parked, parked)
	host.topUp(key)
}

// topUp asks the account for more where the escrow runs low, and repeats the
// request until it is answered.
func (host *host) topUp(key shard.TierKey) {
	need := host.need(key)
	tier, found := host.core.configuration.Tier(key.Tenant, key.Tier)
	if !found || host.core.now-need.lastAsk < escrowRetry {
		return
	}
	wanted, more := topUpPolicy(tier).Wanted(host.state.Escrow(key), need.total())
	if !more {
		return
	}
	need.lastAsk = host.core.now
	host.askAccount(key, wanted)
}

func topUpPolicy(tier *operatorv1.Tier) ledger.TopUpPolicy {
	usual := max(tier.ProgramCapMicros/usualCallShare, 1)
	return ledger.NewTopUpPolicy(ledger.Micros(tier.BudgetMicros), ledger.Micros(usual))
}

// total is the worst case of every call that wants escrow now.
func (need *escrowNeed) total() ledger.Micros {
	sum := need.proposed
	for _, parked := range need.parked {
		sum += parked.worstCase
	}
	return ledger.Micros(sum)
}

// askAccount tells the tier's account what the shard wants and has given back.
func (host *host) askAccount(key shard.TierKey, wanted ledger.Micros) {
	host.core.requestEscrow(&schedulerv1.EscrowRequest{
		Tenant:              key.Tenant,
		Tier:                key.Tier,
		Shard:               host.number,
		Leader:              host.core.config.Process,
		WantedTotalMicros:   uint64(wanted),
		ReturnedTotalMicros: uint64(host.state.Escrow(key).Returned()),
	})
}

// escrowReplied commits what the account has granted.
func (core *Core) escrowReplied(reply *schedulerv1.EscrowReply) {
	host := core.hosts[reply.Shard]
	if host == nil || !host.leads() {
		return
	}
	key := tierOfReply(reply)
	if reply.GrantedTotalMicros >= reply.WantedTotalMicros {
		// Answered in full: the next request need not wait.
		host.need(key).lastAsk = host.core.now - escrowRetry
	}
	settled := escrowWaiter{key: key}
	exhausted := reply.GrantedTotalMicros < reply.WantedTotalMicros && !reply.Recalling
	if reply.GrantedTotalMicros <= uint64(host.state.Escrow(key).Granted()) {
		host.unpark(key, exhausted)
		return
	}
	settled.exhausted = exhausted
	host.propose(&shardv1.Entry{Change: &shardv1.Entry_EscrowRaised{EscrowRaised: &shardv1.EscrowRaised{
		Tenant:             reply.Tenant,
		Tier:               reply.Tier,
		GrantedTotalMicros: reply.GrantedTotalMicros,
	}}}, settled)
}

// escrowWaiter goes on with parked calls once granted escrow is applied.
type escrowWaiter struct {
	key       shard.TierKey
	exhausted bool
}

func (waiting escrowWaiter) applied(host *host, _ shard.Outcome) {
	host.unpark(waiting.key, waiting.exhausted)
}

func (escrowWaiter) abandoned(*host) {}

// unpark proposes the parked calls that the escrow now covers, in the order of
// their arrival. Where the budget has no more, the others are refused at once.
func (host *host) unpark(key shard.TierKey, exhausted bool) {
	need := host.need(key)
	waiting := need.parked
	need.parked = nil
	for _, parked := range waiting {
		switch {
		case host.coversCall(key, parked.worstCase):
			host.core.callAsked(CallAsked{Ask: parked.ask, Request: parked.request})
		case exhausted:
			host.declineCall(parked.ask, parked.request, budgetExhausted(parked.worstCase))
		default:
			need.parked = append(need.parked, parked)
		}
	}
	if len(need.parked) > 0 {
		host.topUp(key)
	}
}

// tickEscrow repeats requests, refuses calls that have waited too long, and
// gives unused escrow back.
func (host *host) tickEscrow() {
	for _, key := range host.neededTiers() {
		need := host.needs[key]
		host.refuseImpatient(need)
		if len(need.parked) > 0 {
			host.topUp(key)
		}
		if host.core.now-need.lastUse >= escrowIdle {
			need.lastUse = host.core.now
			host.returnEscrow(key)
		}
	}
}

func (host *host) neededTiers() []shard.TierKey {
	keys := make([]shard.TierKey, 0, len(host.needs))
	for key := range host.needs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, shard.TierKey.Compare)
	return keys
}

// escrowPatience bounds the wait of a call for escrow.
func (core *Core) escrowPatience() time.Duration {
	return core.config.Replication.ElectionTimeoutMax + escrowMargin
}

func (host *host) refuseImpatient(need *escrowNeed) {
	need.parked = slices.DeleteFunc(need.parked, func(parked parkedCall) bool {
		impatient := host.core.now-parked.since >= host.core.escrowPatience()
		if impatient {
			// Nothing was proposed, and whether the budget has more is not known.
			host.core.decline(parked.ask, resultcode.New(resultcode.NoLeader,
				"the tier's account does not answer").After(leaderRetryAfter))
		}
		return impatient
	})
}

// dropParked sends the callers of parked calls to the next leader.
func (host *host) dropParked() {
	for _, key := range host.neededTiers() {
		for _, parked := range host.needs[key].parked {
			host.core.emit(Decline{Ask: parked.ask, Error: host.core.notLeader(host.number)})
		}
	}
	clear(host.needs)
}

// escrowRecalled gives back what the shard does not need now. A grant that it has
// not heard of is taken in first.
func (core *Core) escrowRecalled(recall *schedulerv1.EscrowRecall) {
	host := core.hosts[recall.Shard]
	if host == nil || !host.leads() {
		return
	}
	key := shard.TierKey{Tenant: recall.Tenant, Tier: recall.Tier}
	if recall.GrantedTotalMicros <= uint64(host.state.Escrow(key).Granted()) {
		host.returnEscrow(key)
		return
	}
	host.propose(&shardv1.Entry{Change: &shardv1.Entry_EscrowRaised{EscrowRaised: &shardv1.EscrowRaised{
		Tenant:             recall.Tenant,
		Tier:               recall.Tier,
		GrantedTotalMicros: recall.GrantedTotalMicros,
	}}}, recallWaiter{key: key})
}

// recallWaiter goes on with a recall once an unheard grant is applied.
type recallWaiter struct{ key shard.TierKey }

func (waiting recallWaiter) applied(host *host, _ shard.Outcome) { host.returnEscrow(waiting.key) }

func (recallWaiter) abandoned(*host) {}

// returnEscrow commits the return first; only then the account hears of it. With
// nothing to spare it tells what was given back before: that message may be lost.
func (host *host) returnEscrow(key shard.TierKey) {
	total, spare := ledger.IdleReturn(host.state.Escrow(key), host.need(key).total())
	if !spare {
		host.askAccount(key, host.state.Escrow(key).Granted())
		return
	}
	host.propose(&shardv1.Entry{Change: &shardv1.Entry_EscrowReturned{EscrowReturned: &shardv1.EscrowReturned{
		Tenant:              key.Tenant,
		Tier:                key.Tier,
		ReturnedTotalMicros: uint64(total),
	}}}, returnWaiter{key: key})
}

// returnWaiter tells the account what has been given back. A lost message is
// made good by the next request, which carries the total again.
type returnWaiter struct{ key shard.TierKey }

func (waiting returnWaiter) applied(host *host, _ shard.Outcome) {
	host.askAccount(waiting.key, host.state.Escrow(waiting.key).Granted())
}

func (returnWaiter) abandoned(*host) {}
