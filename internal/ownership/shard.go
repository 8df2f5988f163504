// Package ownership decides through claims in the log which node owns a shard of
// programs, and maintains the shard's ledger while this node owns it.
//
// A claim is an append with a higher epoch than all before it, on condition that the
// partition still ends where the claimant has read to. It fences the former owner: the
// store then rejects that node's appends.
package ownership

import (
	"context"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/freeze"
	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/tenant"
	"go.uber.org/zap"
)

const (
	// Topic is the topic of claims and ceilings.
	Topic = "spending"
	// producer is the producer name of all owners; their epochs differ.
	producer = "owner"
	// claimTimeout bounds a takeover.
	claimTimeout = 2500 * time.Millisecond
	// maxClaimAttempts bounds the read and append attempts of a takeover, apart from those that the
	// store refuses for their epoch.
	maxClaimAttempts = 8
	// maxEpochSearches bounds the latter. Each doubles the epoch.
	maxEpochSearches = 62
	// claimRetryDelay is the delay after a failed attempt, except one that conflicted with
	// another append.
	claimRetryDelay = 40 * time.Millisecond
	// appendTimeout bounds one attempt to append ceilings.
	appendTimeout = 1200 * time.Millisecond
	// initialAppendBackoff is the delay after a failed append; it doubles up to
	// maxAppendBackoff.
	initialAppendBackoff = 30 * time.Millisecond
	maxAppendBackoff     = 200 * time.Millisecond
	// unresponsiveAfter is how long an append or a claim may be in flight before the log
	// counts as unresponsive.
	unresponsiveAfter = 600 * time.Millisecond
	// maxLogWait is how long a reservation waits for the log before its caller is told to
	// retry.
	maxLogWait = 180 * time.Millisecond
	// claimCooldown is how long a node makes no claims after the store has failed one.
	claimCooldown = 500 * time.Millisecond
	// turnExpiryMargin is how long after a turn's deadline its settlement is still accepted.
	turnExpiryMargin = time.Second
	// earlySettleRetention is how long a settlement that precedes its reservation is kept.
	earlySettleRetention = 10 * time.Second
)

// Owner identifies a shard's owner by its claim.
type Owner struct {
	Node  string
	Epoch int64
	// Address is the owner's address for other nodes.
	Address string
}

// ReserveRequest is a request for a turn's tokens.
type ReserveRequest struct {
	Program   tenant.Program
	RequestID string
	Budget    int64
	MaxTokens int64
	// ExpiresAt is the turn's deadline.
	ExpiresAt time.Time
	// AllowClaim allows this node to take the shard over unless its owner keeps it.
	AllowClaim bool
}

func (request ReserveRequest) ledgerRequest() spending.ReserveRequest {
	return spending.ReserveRequest{Program: request.Program, RequestID: request.RequestID, Budget: request.Budget, MaxTokens: request.MaxTokens, ExpiresAt: request.ExpiresAt.Add(turnExpiryMargin)}
}

// ReserveResult is the result of a ReserveRequest.
type ReserveResult struct {
	Verdict nodev1.Verdict
	Owner   Owner
	Reason  string
	// TurnsGranted is how many turns the owner has granted to the program since it took the shard
	// over; 0 if this node does not own it.
	TurnsGranted int64
}

// waiter is a reservation that waits for a log append or a claim.
type waiter struct {
	request  ReserveRequest
	queuedAt time.Time
	reply    chan<- ReserveResult
}

// shard is the state of one shard. Only the control goroutine accesses it.
type shard struct {
	number int
	phase  charts.OwnershipState
	owner  Owner
	ledger *spending.Ledger
	// epoch and sequence are this node's fence while it owns the shard.
	epoch    int64
	sequence int64
	// appendInFlight is true while ceilings are being appended.
	appendInFlight  bool
	appendStartedAt time.Time
	// ownedAsOf is the start time of the latest successful append or claim. This node is
	// known to have owned the shard until then.
	ownedAsOf      time.Time
	waiters        []waiter
	claimStartedAt time.Time
	// settledEarly holds the ids of requests settled before they were reserved, with the
	// time of settlement. Their callers have given up, so nothing may be reserved for them.
	settledEarly map[string]time.Time
	// allowance is that of this node's claim, renewal what is written again before the log drops it.
	allowance spending.Allowance
	renewal   renewal
	// refusedEpoch is the highest epoch that the store has refused this node as too low.
	refusedEpoch int64
	// releaseDone is signaled once the final checkpoint is written. It is set while the
	// release waits for an append in flight.
	releaseDone chan<- struct{}
}

// Dependencies holds the functions and services of the node that a Manager uses.
type Dependencies struct {
	// RequestHandover asks the owner named by a claim whether it keeps a shard. An error
	// means that the owner did not answer.
	RequestHandover func(ctx context.Context, claim *nodev1.Claim, shard int) (*nodev1.YieldReply, error)
	// FreezeDetector detects that the process was suspended.
	FreezeDetector *freeze.Detector
	// LogUnavailable reports whether the store has not answered this node for some time.
	// The node then leaves claims to other nodes, which may reach the store.
	LogUnavailable func() bool
	// LogRetention is how long the log keeps a record, 0 if it drops none.
	LogRetention time.Duration
	// SupportsSecondAllowance reports whether all nodes that may own shards support a second
	// allowance beside an outstanding one. Nil means false.
	SupportsSecondAllowance func() bool
}

// Identity identifies a node in its claims.
type Identity struct {
	Node        string
	Incarnation string
	Address     string
}

func undetermined(reason string) ReserveResult {
	return ReserveResult{Verdict: nodev1.Verdict_VERDICT_UNSURE, Reason: reason}
}

func (manager *Manager) reserve(shard *shard, waiting waiter) {
	manager.largestTurnTokens = max(manager.largestTurnTokens, waiting.request.MaxTokens)
	switch {
	case shard.phase == charts.OwnershipStateOwned:
		manager.decide(shard, waiting)
	case shard.phase == charts.OwnershipStateClaiming:
		shard.waiters = append(shard.waiters, waiting)
	case shard.phase == charts.OwnershipStateElsewhere && waiting.request.AllowClaim && manager.logUnavailable(time.Now()):
		waiting.reply <- ReserveResult{Verdict: nodev1.Verdict_VERDICT_UNABLE, Reason: "the log does not answer this node"}
	case shard.phase == charts.OwnershipStateElsewhere && waiting.request.AllowClaim:
		shard.waiters = append(shard.waiters, waiting)
		manager.claim(shard)
	default:
		waiting.reply <- ReserveResult{Verdict: nodev1.Verdict_VERDICT_NOT_OWNER, Owner: shard.owner, Reason: "another node owns the shard"}
	}
}

// logUnavailable reports whether the log has not answered this node for some time or has
// recently failed a claim. The node then makes no claims.
func (manager *Manager) logUnavailable(now time.Time) bool {
	if !feature.Enabled(feature.ClaimRefusal) {
		return false
	}
	return now.Sub(manager.lastClaimFailure) < claimCooldown || manager.dependencies.LogUnavailable()
}

// decide answers a reservation or queues it until a ceiling is acknowledged.
func (manager *Manager) decide(shard *shard, waiting waiter) {
	if _, settled := shard.settledEarly[waiting.request.RequestID]; settled {
		waiting.reply <- ReserveResult{Verdict: nodev1.Verdict_VERDICT_UNSURE, Owner: shard.owner, Reason: "the asker has given up"}
		return
	}
	verdict := shard.ledger.Reserve(waiting.request.ledgerRequest(), time.Now())
	turnsGranted := shard.ledger.Balance(waiting.request.Program).TurnsGranted
	switch verdict {
	case spending.Granted:
		waiting.reply <- ReserveResult{Verdict: nodev1.Verdict_VERDICT_GRANTED, Owner: shard.owner, TurnsGranted: turnsGranted}
	case spending.BudgetExhausted:
		if manager.dependencies.FreezeDetector.FrozenSince(shard.ownedAsOf) {
			// Another node may have taken over during the freeze and settled turns since.
			// Wait for an append to confirm the ownership.
			shard.ledger.RequeueCeiling(waiting.request.Program)
			shard.waiters = append(shard.waiters, waiting)
			break
		}
		manager.logRefusal(shard, waiting.request, "spent")
		waiting.reply <- ReserveResult{Verdict: nodev1.Verdict_VERDICT_SPENT, Owner: shard.owner, Reason: "the budget leaves no room", TurnsGranted: turnsGranted}
	case spending.Undetermined:
		manager.logRefusal(shard, waiting.request, "unsure")
		waiting.reply <- ReserveResult{Verdict: nodev1.Verdict_VERDICT_UNSURE, Owner: shard.owner, Reason: "a former owner may have used the room left", TurnsGranted: turnsGranted}
	case spending.AwaitCeiling:
		if shard.logUnresponsive(time.Now()) {
			waiting.reply <- ReserveResult{Verdict: nodev1.Verdict_VERDICT_UNABLE, Owner: shard.owner, Reason: "the log does not answer the owner"}
			return
		}
		shard.waiters = append(shard.waiters, waiting)
	}
	manager.appendPending(shard)
}

// logRefusal logs a refused reservation with the balance that it was refused for.
func (manager *Manager) logRefusal(shard *shard, request ReserveRequest, verdict string) {
	balance := shard.ledger.Balance(request.Program)
	manager.logger.Info("turn refused", zap.String("key", request.RequestID), zap.String("program", request.Program.ID), zap.String("tenant", request.Program.Tenant),
		zap.String("verdict", verdict), zap.Int("shard", shard.number), zap.Int64("epoch", shard.epoch),
		zap.Int64("budget", request.Budget), zap.Int64("most", request.MaxTokens), zap.Int64("spent", balance.Spent),
		zap.Int64("doubt", balance.Uncertain), zap.Int64("open", balance.Reserved), zap.Int64("ceiling", balance.Ceiling), zap.Int64("turns", balance.TurnsGranted))
}

// logUnresponsive reports whether the append in flight exceeds unresponsiveAfter.
func (shard *shard) logUnresponsive(now time.Time) bool {
	return shard.appendInFlight && now.Sub(shard.appendStartedAt) > unresponsiveAfter
}

// fire applies an event of charts/ownership.yaml to a shard and reports whether its
// phase changed.
func (manager *Manager) fire(shard *shard, event charts.OwnershipEvent) bool {
	next, refusal := charts.Ownership.Next(shard.phase, event)
	if refusal != nil || next == shard.phase {
		return false
	}
	shard.phase = next
	manager.ownedOrClaiming[shard.number].Store(next == charts.OwnershipStateOwned || next == charts.OwnershipStateClaiming)
	manager.setOwned(shard.number, next == charts.OwnershipStateOwned)
	return true
}

func (manager *Manager) decideWaiters(shard *shard) {
	waiters := shard.waiters
	shard.waiters = nil
	for _, waiting := range waiters {
		manager.decide(shard, waiting)
	}
}

func (manager *Manager) refuseWaiters(shard *shard, result ReserveResult) {
	for _, waiting := range shard.waiters {
		waiting.reply <- result
	}
	shard.waiters = nil
}

// expireWaiters answers the reservations that have waited for more than maxLogWait.
func (manager *Manager) expireWaiters(now time.Time) {
	for _, shard := range manager.shards {
		kept := shard.waiters[:0]
		for _, waiting := range shard.waiters {
			if now.Sub(waiting.queuedAt) > maxLogWait {
				waiting.reply <- shard.waitTimeoutResult(now)
				continue
			}
			kept = append(kept, waiting)
		}
		shard.waiters = kept
	}
}

// waitTimeoutResult returns the result of a reservation that has waited for too long. If
// a claim has been in flight for longer than unresponsiveAfter, the caller may try another node.
func (shard *shard) waitTimeoutResult(now time.Time) ReserveResult {
	if shard.phase == charts.OwnershipStateClaiming && feature.Enabled(feature.ClaimRefusal) && now.Sub(shard.claimStartedAt) > unresponsiveAfter {
		return ReserveResult{Verdict: nodev1.Verdict_VERDICT_UNABLE, Reason: "the log does not answer this node's claim"}
	}
	return ReserveResult{Verdict: nodev1.Verdict_VERDICT_WAITING, Owner: shard.owner, Reason: "the log does not answer"}
}

// settle ends a turn. If its reservation is unknown, it records the settlement: the
// caller may have given up while the shard was being claimed.
func (shard *shard) settle(program tenant.Program, requestID string, tokens int64, now time.Time) {
	if shard.ledger != nil && shard.ledger.Settle(program, requestID, tokens, now) {
		return
	}
	shard.settledEarly[requestID] = now
}

func (manager *Manager) expireTurns(now time.Time) {
	for _, shard := range manager.shards {
		if shard.ledger != nil {
			shard.ledger.ExpireTurns(now)
		}
	}
}

func (manager *Manager) expireAccounts(now time.Time) {
	for _, shard := range manager.shards {
		if shard.ledger != nil {
			shard.ledger.ExpireAccounts(now.Add(-spending.AccountRetention))
		}
		for requestID, settledAt := range shard.settledEarly {
			if now.Sub(settledAt) > earlySettleRetention {
				delete(shard.settledEarly, requestID)
			}
		}
	}
}
