// Package ownership decides which node owns a shard of programs, through claims
// in the log, and keeps the shard's ledger while this node owns it.
//
// A claim is one append under the condition that the partition ends where the
// claimant has read to, with a higher epoch than any before it. From it on the
// store refuses the former owner's appends.
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
	// producer names every owner to the store; the epoch tells them apart.
	producer = "owner"
	// claimTimeout bounds a takeover.
	claimTimeout = 2500 * time.Millisecond
	// claimTries bounds the rounds of reading and appending in a takeover.
	claimTries = 8
	// claimPause separates two such rounds after a failure.
	claimPause = 40 * time.Millisecond
	// appendTimeout is how long an append of ceilings may take before it is
	// sent again with its number.
	appendTimeout = 1200 * time.Millisecond
	// firstAppendPause follows an append that the store refused; it doubles up
	// to longestAppendPause.
	firstAppendPause   = 30 * time.Millisecond
	longestAppendPause = 200 * time.Millisecond
	// unableAfter is how long the log may be silent before an owner says that
	// it can't write.
	unableAfter = 600 * time.Millisecond
	// waitLimit is how long a request for tokens waits for the log before its
	// asker is told that it has to; the asker asks again.
	waitLimit = 180 * time.Millisecond
	// claimRest is how long a node claims nothing after the log has failed a claim.
	claimRest = 500 * time.Millisecond
	// overdueMargin is how long after a turn's time its end may still come in.
	overdueMargin = time.Second
	// endedRetention is how long a request's end is remembered that came before
	// the request.
	endedRetention = 10 * time.Second
	// accountRetention is how long an account outlasts its program's last turn.
	accountRetention = 5 * time.Minute
)

// Owner names a shard's owner and its claim.
type Owner struct {
	Node  string
	Epoch int64
	// Address is where the owner serves the other nodes.
	Address string
}

// ReserveRequest is a request for tokens.
type ReserveRequest struct {
	Program   tenant.Program
	RequestID string
	Budget    int64
	MaxTokens int64
	// ExpiresAt is when the turn's time is over.
	ExpiresAt time.Time
	// Claim tells the node to take the shard over where the log names no owner
	// that may be left in place.
	Claim bool
}

func (ask ReserveRequest) order() spending.ReserveRequest {
	return spending.ReserveRequest{Program: ask.Program, RequestID: ask.RequestID, Budget: ask.Budget, MaxTokens: ask.MaxTokens, ExpiresAt: ask.ExpiresAt.Add(overdueMargin)}
}

// ReserveResult is the outcome of an Ask.
type ReserveResult struct {
	Verdict nodev1.Verdict
	Owner   Owner
	Reason  string
}

// waiter is an Ask that waits for the log or for a claim.
type waiter struct {
	ask   ReserveRequest
	since time.Time
	reply chan<- ReserveResult
}

// shard is one shard's state. Only the control goroutine touches it.
type shard struct {
	number int
	phase  charts.OwnershipState
	owner  Owner
	ledger *spending.Ledger
	// epoch and sequence are this node's fence while it owns the shard.
	epoch    int64
	sequence int64
	// writing is true while an append of ceilings is under way.
	writing bool
	// silentSince is when the append under way began.
	silentSince time.Time
	// confirmedAt is when the newest append or claim was begun that the log has taken: up to
	// then this node owned the shard for certain.
	confirmedAt time.Time
	waiters     []waiter
	// claimBegan is when the claim under way began.
	claimBegan time.Time
	// ended holds requests whose end came before they were granted, with the time
	// of that: their askers have given up, and nothing may stay reserved for them.
	ended map[string]time.Time
	// closed is told once the accounts of a shard that is being released are
	// written; it is set while an append before that is under way.
	closed chan<- struct{}
}

// Dependencies is what a manager asks of its node.
type Dependencies struct {
	// RequestHandover asks the owner that a claim names whether it keeps a shard; see the
	// call of that name. An error says that it does not answer.
	RequestHandover func(ctx context.Context, claim *nodev1.Claim, shard int) (*nodev1.YieldReply, error)
	// FreezeDetector tells when the process was frozen.
	FreezeDetector *freeze.Detector
	// LogUnavailable tells whether the log has not answered this node for a while. It
	// claims nothing then: another node may reach the log.
	LogUnavailable func() bool
	// CountsSecondAllowance tells whether all nodes that may own shards count a second
	// allowance beside an outstanding one; nodes of a version before don't. Nil for no.
	CountsSecondAllowance func() bool
}

// Identity is how a node appears in its claims.
type Identity struct {
	Node        string
	Incarnation string
	Address     string
}

func unsure(reason string) ReserveResult {
	return ReserveResult{Verdict: nodev1.Verdict_VERDICT_UNSURE, Reason: reason}
}

func (manager *Manager) reserve(shard *shard, asked waiter) {
	manager.largestTurn = max(manager.largestTurn, asked.ask.MaxTokens)
	switch {
	case shard.phase == charts.OwnershipStateOwned:
		manager.decide(shard, asked)
	case shard.phase == charts.OwnershipStateClaiming:
		shard.waiters = append(shard.waiters, asked)
	case shard.phase == charts.OwnershipStateElsewhere && asked.ask.Claim && manager.logAway(time.Now()):
		asked.reply <- ReserveResult{Verdict: nodev1.Verdict_VERDICT_UNABLE, Reason: "the log does not answer this node"}
	case shard.phase == charts.OwnershipStateElsewhere && asked.ask.Claim:
		shard.waiters = append(shard.waiters, asked)
		manager.claim(shard)
	default:
		asked.reply <- ReserveResult{Verdict: nodev1.Verdict_VERDICT_NOT_OWNER, Owner: shard.owner, Reason: "another node owns the shard"}
	}
}

// logAway tells whether this node had better leave claims to others: the log has
// not answered it for a while, or has just failed a claim.
func (manager *Manager) logAway(now time.Time) bool {
	if !feature.Enabled(feature.ClaimRefusal) {
		return false
	}
	return now.Sub(manager.claimFailed) < claimRest || manager.around.LogUnavailable()
}

// decide answers a request for tokens, or lets it wait for a ceiling.
func (manager *Manager) decide(shard *shard, asked waiter) {
	if _, ended := shard.ended[asked.ask.RequestID]; ended {
		asked.reply <- ReserveResult{Verdict: nodev1.Verdict_VERDICT_UNSURE, Owner: shard.owner, Reason: "the asker has given up"}
		return
	}
	verdict := shard.ledger.Reserve(asked.ask.order(), time.Now())
	switch verdict {
	case spending.Granted:
		asked.reply <- ReserveResult{Verdict: nodev1.Verdict_VERDICT_GRANTED, Owner: shard.owner}
	case spending.BudgetExhausted:
		if manager.around.FreezeDetector.FrozenSince(shard.confirmedAt) {
			// Another node may own the shard by now and know how turns have ended since.
			shard.ledger.RequeueCeiling(asked.ask.Program)
			shard.waiters = append(shard.waiters, asked)
			break
		}
		manager.logRefusal(shard, asked.ask, "spent")
		asked.reply <- ReserveResult{Verdict: nodev1.Verdict_VERDICT_SPENT, Owner: shard.owner, Reason: "the budget leaves no room"}
	case spending.Undetermined:
		manager.logRefusal(shard, asked.ask, "unsure")
		asked.reply <- ReserveResult{Verdict: nodev1.Verdict_VERDICT_UNSURE, Owner: shard.owner, Reason: "a former owner may have used the room left"}
	case spending.AwaitCeiling:
		if shard.unable(time.Now()) {
			asked.reply <- ReserveResult{Verdict: nodev1.Verdict_VERDICT_UNABLE, Owner: shard.owner, Reason: "the log does not answer the owner"}
			return
		}
		shard.waiters = append(shard.waiters, asked)
	}
	manager.write(shard)
}

// logRefusal writes on what a program was refused.
func (manager *Manager) logRefusal(shard *shard, ask ReserveRequest, verdict string) {
	balance := shard.ledger.Balance(ask.Program)
	manager.logger.Info("turn refused", zap.String("key", ask.RequestID), zap.String("program", ask.Program.ID), zap.String("tenant", ask.Program.Tenant),
		zap.String("verdict", verdict), zap.Int("shard", shard.number), zap.Int64("epoch", shard.epoch),
		zap.Int64("budget", ask.Budget), zap.Int64("most", ask.MaxTokens), zap.Int64("spent", balance.Spent),
		zap.Int64("doubt", balance.Uncertain), zap.Int64("open", balance.Reserved), zap.Int64("ceiling", balance.Ceiling))
}

// unable tells whether the log has been silent too long.
func (shard *shard) unable(now time.Time) bool {
	return shard.writing && now.Sub(shard.silentSince) > unableAfter
}

// fire takes a shard through the chart of charts/ownership.yaml, and tells
// whether its phase changed.
func (manager *Manager) fire(shard *shard, event charts.OwnershipEvent) bool {
	next, refusal := charts.Ownership.Next(shard.phase, event)
	if refusal != nil || next == shard.phase {
		return false
	}
	shard.phase = next
	manager.held[shard.number].Store(next == charts.OwnershipStateOwned || next == charts.OwnershipStateClaiming)
	manager.noteOwned(shard.number, next == charts.OwnershipStateOwned)
	return true
}

func (manager *Manager) decideWaiters(shard *shard) {
	waiting := shard.waiters
	shard.waiters = nil
	for _, asked := range waiting {
		manager.decide(shard, asked)
	}
}

func (manager *Manager) refuseWaiters(shard *shard, answer ReserveResult) {
	for _, asked := range shard.waiters {
		asked.reply <- answer
	}
	shard.waiters = nil
}

// expireWaiters answers those that have waited for the log too long.
func (manager *Manager) expireWaiters(now time.Time) {
	for _, shard := range manager.shards {
		kept := shard.waiters[:0]
		for _, asked := range shard.waiters {
			if now.Sub(asked.since) > waitLimit {
				asked.reply <- shard.stillWaiting(now)
				continue
			}
			kept = append(kept, asked)
		}
		shard.waiters = kept
	}
}

// stillWaiting is the answer to one that has waited for the log too long. Where a
// claim has waited for longer than an owner may, another node may try.
func (shard *shard) stillWaiting(now time.Time) ReserveResult {
	if shard.phase == charts.OwnershipStateClaiming && feature.Enabled(feature.ClaimRefusal) && now.Sub(shard.claimBegan) > unableAfter {
		return ReserveResult{Verdict: nodev1.Verdict_VERDICT_UNABLE, Reason: "the log does not answer this node's claim"}
	}
	return ReserveResult{Verdict: nodev1.Verdict_VERDICT_WAITING, Owner: shard.owner, Reason: "the log does not answer"}
}

// settle ends a turn, or remembers its end where its request has not come yet:
// the asker may have given up while the shard was being claimed.
func (shard *shard) settle(program tenant.Program, request string, tokens int64, now time.Time) {
	if shard.ledger != nil && shard.ledger.Settle(program, request, tokens, now) {
		return
	}
	shard.ended[request] = now
}

// expireTurns ends the turns whose time is over.
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
			shard.ledger.ExpireAccounts(now.Add(-accountRetention))
		}
		for request, at := range shard.ended {
			if now.Sub(at) > endedRetention {
				delete(shard.ended, request)
			}
		}
	}
}
