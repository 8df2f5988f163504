package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// leaderLookup finds the leader of a program's shard for one request. It is the
// gateway's only retry layer: in each pass it asks every candidate once and
// follows leader hints. Between passes it backs off, takes a token from the
// retry budget and checks the deadline.
type leaderLookup struct {
	client  *schedulerClient
	program string
	// deadline ends the lookup. bypassBudget exempts it from the retry budget.
	deadline     time.Time
	bypassBudget bool

	remaining  []string
	leaderHint string
	redirects  int
	passes     int
}

// newLeaderLookup starts a lookup that lasts at most timeout. bypassBudget is
// for reattaching to a running call, which adds no load to the schedulers.
func (client *schedulerClient) newLeaderLookup(program string, timeout time.Duration, bypassBudget bool) *leaderLookup {
	return &leaderLookup{
		client:       client,
		program:      program,
		deadline:     client.clock.Now().Add(timeout),
		bypassBudget: bypassBudget,
	}
}

// nextAddress returns the next scheduler to ask. It waits for the backoff
// between passes.
func (lookup *leaderLookup) nextAddress(ctx context.Context) (string, error) {
	if lookup.leaderHint != "" {
		address := lookup.leaderHint
		lookup.leaderHint = ""
		return address, nil
	}
	for len(lookup.remaining) == 0 {
		if err := lookup.startPass(ctx); err != nil {
			return "", err
		}
	}
	address := lookup.remaining[0]
	lookup.remaining = lookup.remaining[1:]
	return address, nil
}

func (lookup *leaderLookup) startPass(ctx context.Context) error {
	if lookup.passes > 0 {
		if err := lookup.waitBeforeRetry(ctx); err != nil {
			return err
		}
	}
	lookup.passes++
	lookup.redirects = 0
	lookup.remaining = lookup.client.router.Candidates(lookup.program)
	return nil
}

func (lookup *leaderLookup) waitBeforeRetry(ctx context.Context) error {
	wait := lookup.backoffDelay()
	if lookup.client.clock.Now().Add(wait).After(lookup.deadline) {
		return lookup.noLeaderError("timed out finding the shard's leader")
	}
	if !lookup.bypassBudget && !lookup.client.budget.withdraw() {
		return lookup.noLeaderError("the shard has no leader and the retry budget is exhausted")
	}
	lookup.client.metrics.retries.Inc()
	select {
	case <-ctx.Done():
		return errCallerDisconnected
	case <-lookup.client.clock.After(wait):
		return nil
	}
}

// backoffDelay doubles from BackoffBase to BackoffLimit for each pass. A jitter
// factor of 0.5 to 1.5 keeps gateways from retrying in step.
func (lookup *leaderLookup) backoffDelay() time.Duration {
	wait := lookup.client.config.BackoffBase
	for pass := 1; pass < lookup.passes && wait < lookup.client.config.BackoffLimit; pass++ {
		wait *= 2
	}
	wait = min(wait, lookup.client.config.BackoffLimit)
	return time.Duration(float64(wait) * (0.5 + rand.Float64()))
}

func (lookup *leaderLookup) noLeaderError(message string) error {
	return resultcode.New(resultcode.NoLeader, "%s", message).WithRetryAfter(lookup.client.config.RetryAfter)
}

// recordNotLeader records that address does not lead the shard and follows its
// hint at leader, if any, within RedirectLimit.
func (lookup *leaderLookup) recordNotLeader(address, leader string) {
	lookup.client.router.ForgetLeader(lookup.program, address)
	if leader == "" || leader == address || lookup.redirects >= lookup.client.config.RedirectLimit {
		return
	}
	lookup.redirects++
	lookup.leaderHint = leader
}

// recordUnreachable records that address did not respond or broke off its
// response.
func (lookup *leaderLookup) recordUnreachable(address string) {
	lookup.client.router.MarkSuspect(lookup.program, address)
}

func (lookup *leaderLookup) recordLeader(address string) {
	lookup.client.router.RecordLeader(lookup.program, address)
}
