package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// search looks for the scheduler that leads a program's shard, on behalf of
// one request. It is the gateway's only retry layer: it asks each candidate
// once, follows leader hints, and between two passes over the candidates it
// waits, spends one token of the retry budget and checks the time bound.
type search struct {
	client  *schedulerClient
	program string
	// deadline ends the search; free searches spend no retry tokens.
	deadline time.Time
	free     bool

	pending   []string
	hint      string
	redirects int
	passes    int
}

// newSearch begins a search of at most bound. A free one is for attaching to
// a call that is under way, which adds no work to the schedulers.
func (client *schedulerClient) newSearch(program string, bound time.Duration, free bool) *search {
	return &search{
		client:   client,
		program:  program,
		deadline: client.clock.Now().Add(bound),
		free:     free,
	}
}

// next returns the address to ask now.
func (search *search) next(ctx context.Context) (string, error) {
	if search.hint != "" {
		address := search.hint
		search.hint = ""
		return address, nil
	}
	for len(search.pending) == 0 {
		if err := search.beginPass(ctx); err != nil {
			return "", err
		}
	}
	address := search.pending[0]
	search.pending = search.pending[1:]
	return address, nil
}

func (search *search) beginPass(ctx context.Context) error {
	if search.passes > 0 {
		if err := search.pause(ctx); err != nil {
			return err
		}
	}
	search.passes++
	search.redirects = 0
	search.pending = search.client.router.Candidates(search.program)
	return nil
}

func (search *search) pause(ctx context.Context) error {
	wait := search.backoff()
	if search.client.clock.Now().Add(wait).After(search.deadline) {
		return search.exhausted("no leader was found in time")
	}
	if !search.free && !search.client.budget.withdraw() {
		return search.exhausted("the shard has no leader and the retry budget is spent")
	}
	search.client.metrics.retries.Inc()
	select {
	case <-ctx.Done():
		return errCallerGone
	case <-search.client.clock.After(wait):
		return nil
	}
}

// backoff doubles from BackoffBase to BackoffLimit, with a jitter of half to
// one and a half so that gateways don't come back together.
func (search *search) backoff() time.Duration {
	wait := search.client.config.BackoffBase
	for pass := 1; pass < search.passes && wait < search.client.config.BackoffLimit; pass++ {
		wait *= 2
	}
	wait = min(wait, search.client.config.BackoffLimit)
	return time.Duration(float64(wait) * (0.5 + rand.Float64()))
}

func (search *search) exhausted(message string) error {
	return resultcode.New(resultcode.NoLeader, "%s", message).After(search.client.config.RetryAfter)
}

// redirected notes that address does not lead the shard, and who might.
func (search *search) redirected(address, leader string) {
	search.client.router.Forget(search.program, address)
	if leader == "" || leader == address || search.redirects >= search.client.config.RedirectLimit {
		return
	}
	search.redirects++
	search.hint = leader
}

// unreachable notes that address did not answer, or cut its answer off.
func (search *search) unreachable(address string) {
	search.client.router.Suspect(search.program, address)
}

// found notes that address leads the shard.
func (search *search) found(address string) {
	search.client.router.Learn(search.program, address)
}
