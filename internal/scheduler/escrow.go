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

// The holding side of escrow. A shard's leader requests escrow from the tier's account ahead of
// demand; calls that the escrow does not cover are parked for a bounded time.

const (
	// escrowRetry is the time after which an unanswered escrow request is repeated.
	escrowRetry = 300 * time.Millisecond
	// escrowMargin is added to the longest election timeout to bound a call's wait for escrow,
	// since the account's shard may have no leader.
	escrowMargin = time.Second
	// escrowIdleTimeout is the time after which a tier's unused escrow is returned.
	escrowIdleTimeout = time.Minute
	// budgetRetryAfter is the RetryAfter of a call that the tier's budget does not cover.
	budgetRetryAfter = 10 * time.Second
	// typicalCallDivisor divides a tier's program cap to estimate the cost of a typical call,
	// which determines the size of a top-up.
	typicalCallDivisor = 64
)

// escrowDemand is a leader's record of its shard's demand for one tier's escrow.
type escrowDemand struct {
	// proposed is the sum of the worst-case costs of calls that are proposed but not yet
	// applied.
	proposed    uint64
	parked      []parkedCall
	lastRequest time.Duration
	lastUse     time.Duration
}

// parkedCall is a call that waits for escrow and has not been proposed.
type parkedCall struct {
	replyTo   ReplyID
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
	return failure.WithRetryAfter(budgetRetryAfter)
}

func (host *host) escrowDemand(key shard.TierKey) *escrowDemand {
	found := host.escrowDemands[key]
	if found == nil {
		found = &escrowDemand{lastRequest: -escrowRetry}
		host.escrowDemands[key] = found
	}
	return found
}

// worstCase returns the maximum cost in micros of a call that is not accepted yet.
func (host *host) worstCase(programID string, accepted *shardv1.CallAccepted) uint64 {
	program := host.state.Program(programID)
	if program == nil {
		return shard.WorstCaseCostWithoutHistory(accepted)
	}
	return program.WorstCaseCost(accepted)
}

// coversCall reports whether the escrow covers another call.
func (host *host) coversCall(key shard.TierKey, worstCase uint64) bool {
	demand := host.escrowDemand(key)
	demand.lastUse = host.core.now
	available := uint64(host.state.Escrow(key).Available())
	return available >= demand.proposed && available-demand.proposed >= worstCase
}

func (host *host) parkCall(parked parkedCall) {
	key := shard.TierKey{Tenant: parked.request.Caller.Tenant, Tier: parked.request.Caller.Tier}
	demand := host.escrowDemand(key)
	demand.parked = append(demand.parked, parked)
	host.topUp(key)
}

// topUp requests more escrow if it runs low, at most once per escrowRetry unless the last
// request is answered in full.
func (host *host) topUp(key shard.TierKey) {
	demand := host.escrowDemand(key)
	tier, found := host.core.configuration.Tier(key.Tenant, key.Tier)
	if !found || host.core.now-demand.lastRequest < escrowRetry {
		return
	}
	wanted, more := topUpPolicy(tier).Wanted(host.state.Escrow(key), demand.worstCase())
	if !more {
		return
	}
	demand.lastRequest = host.core.now
	host.sendEscrowRequest(key, wanted)
}

func topUpPolicy(tier *operatorv1.Tier) ledger.TopUpPolicy {
	typical := max(tier.ProgramCapMicros/typicalCallDivisor, 1)
	return ledger.NewTopUpPolicy(ledger.Micros(tier.BudgetMicros), ledger.Micros(typical))
}

// worstCase returns the total worst-case cost of the proposed and parked calls.
func (demand *escrowDemand) worstCase() ledger.Micros {
	sum := demand.proposed
	for _, parked := range demand.parked {
		sum += parked.worstCase
	}
	return ledger.Micros(sum)
}

// sendEscrowRequest sends the tier's account the totals that the shard wants and has returned.
func (host *host) sendEscrowRequest(key shard.TierKey, wanted ledger.Micros) {
	host.core.requestEscrow(&schedulerv1.EscrowRequest{
		Tenant:              key.Tenant,
		Tier:                key.Tier,
		Shard:               host.number,
		Leader:              host.core.config.Process,
		WantedTotalMicros:   uint64(wanted),
		ReturnedTotalMicros: uint64(host.state.Escrow(key).Returned()),
	})
}

// escrowReplied proposes the granted total, or retries parked calls if it is not new.
func (core *Core) escrowReplied(reply *schedulerv1.EscrowReply) {
	host := core.hosts[reply.Shard]
	if host == nil || !host.leads() {
		return
	}
	key := tierOfReply(reply)
	if reply.GrantedTotalMicros >= reply.WantedTotalMicros {
		// Answered in full: the next request may follow immediately.
		host.escrowDemand(key).lastRequest = host.core.now - escrowRetry
	}
	waiting := escrowWaiter{key: key}
	exhausted := reply.GrantedTotalMicros < reply.WantedTotalMicros && !reply.Recalling
	if reply.GrantedTotalMicros <= uint64(host.state.Escrow(key).Granted()) {
		host.retryParked(key, exhausted)
		return
	}
	waiting.exhausted = exhausted
	host.propose(&shardv1.Entry{Change: &shardv1.Entry_EscrowRaised{EscrowRaised: &shardv1.EscrowRaised{
		Tenant:             reply.Tenant,
		Tier:               reply.Tier,
		GrantedTotalMicros: reply.GrantedTotalMicros,
	}}}, waiting)
}

// escrowWaiter retries parked calls once a grant is applied.
type escrowWaiter struct {
	key       shard.TierKey
	exhausted bool
}

func (waiting escrowWaiter) applied(host *host, _ shard.Outcome) {
	host.retryParked(waiting.key, waiting.exhausted)
}

func (escrowWaiter) abandoned(*host) {}

// retryParked proposes the parked calls that the escrow now covers, in order of arrival. If the
// budget is exhausted, all others are declined.
func (host *host) retryParked(key shard.TierKey, exhausted bool) {
	demand := host.escrowDemand(key)
	waiting := demand.parked
	demand.parked = nil
	for _, parked := range waiting {
		switch {
		case host.coversCall(key, parked.worstCase):
			host.core.callRequested(CallRequested{ReplyTo: parked.replyTo, Request: parked.request})
		case exhausted:
			host.declineCall(parked.replyTo, parked.request, budgetExhausted(parked.worstCase))
		default:
			demand.parked = append(demand.parked, parked)
		}
	}
	if len(demand.parked) > 0 {
		host.topUp(key)
	}
}

// tickEscrow repeats requests, declines calls that have waited too long, and returns unused
// escrow.
func (host *host) tickEscrow() {
	for _, key := range host.demandedTiers() {
		demand := host.escrowDemands[key]
		host.refuseTimedOut(demand)
		if len(demand.parked) > 0 {
			host.topUp(key)
		}
		if host.core.now-demand.lastUse >= escrowIdleTimeout {
			demand.lastUse = host.core.now
			host.returnEscrow(key)
		}
	}
}

func (host *host) demandedTiers() []shard.TierKey {
	keys := make([]shard.TierKey, 0, len(host.escrowDemands))
	for key := range host.escrowDemands {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, shard.TierKey.Compare)
	return keys
}

// escrowWaitTimeout bounds the time that a call waits for escrow.
func (core *Core) escrowWaitTimeout() time.Duration {
	return core.config.Replication.ElectionTimeoutMax + escrowMargin
}

func (host *host) refuseTimedOut(demand *escrowDemand) {
	demand.parked = slices.DeleteFunc(demand.parked, func(parked parkedCall) bool {
		expired := host.core.now-parked.since >= host.core.escrowWaitTimeout()
		if expired {
			// Nothing was proposed, and it is unknown whether the budget is exhausted.
			host.core.decline(parked.replyTo, resultcode.New(resultcode.NoLeader,
				"the leader of the tier's account did not answer in time").WithRetryAfter(leaderRetryAfter))
		}
		return expired
	})
}

// declineParked redirects the callers of parked calls to the next leader.
func (host *host) declineParked() {
	for _, key := range host.demandedTiers() {
		for _, parked := range host.escrowDemands[key].parked {
			host.core.emit(Decline{ReplyTo: parked.replyTo, Error: host.core.notLeader(host.number)})
		}
	}
	clear(host.escrowDemands)
}

// escrowRecalled returns escrow that the shard does not need now. If the recall contains a grant
// that this shard does not know yet, the grant is applied first.
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

// recallWaiter returns escrow once the grant is applied.
type recallWaiter struct{ key shard.TierKey }

func (waiting recallWaiter) applied(host *host, _ shard.Outcome) { host.returnEscrow(waiting.key) }

func (recallWaiter) abandoned(*host) {}

// returnEscrow commits a return before reporting it to the account. If there is nothing to
// return, it repeats the total returned so far, since that report may have been lost.
func (host *host) returnEscrow(key shard.TierKey) {
	total, spare := ledger.IdleReturn(host.state.Escrow(key), host.escrowDemand(key).worstCase())
	if !spare {
		host.sendEscrowRequest(key, host.state.Escrow(key).Granted())
		return
	}
	host.propose(&shardv1.Entry{Change: &shardv1.Entry_EscrowReturned{EscrowReturned: &shardv1.EscrowReturned{
		Tenant:              key.Tenant,
		Tier:                key.Tier,
		ReturnedTotalMicros: uint64(total),
	}}}, returnWaiter{key: key})
}

// returnWaiter reports the returned total to the account. If the report is lost, the next
// request contains the total again.
type returnWaiter struct{ key shard.TierKey }

func (waiting returnWaiter) applied(host *host, _ shard.Outcome) {
	host.sendEscrowRequest(waiting.key, host.state.Escrow(waiting.key).Granted())
}

func (returnWaiter) abandoned(*host) {}
