package scheduler

import (
	"context"
	"time"
)

const (
	pollTimeout = time.Second
	// unresponsivePolls is the number of consecutive failed polls after which an engine is
	// reported as unresponsive.
	unresponsivePolls = 3
	// failedPollDivisor divides the poll interval after a failed poll, so that an engine that
	// refuses connections is detected within one and a half intervals.
	failedPollDivisor = 4
	// requestedPollSpacing is the minimum time between a poll and a requested one.
	requestedPollSpacing = 100 * time.Millisecond
)

// enginePolls polls the managed engines for their load reports.
type enginePolls struct {
	executor *executor
	interval time.Duration
	// running holds the poller of each engine. It is owned by the control goroutine.
	running map[EngineAddress]enginePoll
}

// enginePoll is the poller of one engine.
type enginePoll struct {
	cancel context.CancelFunc
	// requests triggers a poll ahead of schedule.
	requests chan struct{}
}

func newEnginePolls(executor *executor, interval time.Duration) *enginePolls {
	return &enginePolls{
		executor: executor,
		interval: interval,
		running:  make(map[EngineAddress]enginePoll),
	}
}

// pollNow requests a poll ahead of schedule.
func (polls *enginePolls) pollNow(engine EngineAddress) {
	select {
	case polls.running[engine].requests <- struct{}{}:
	default:
	}
}

// watch starts and stops pollers to match the given engines.
func (polls *enginePolls) watch(engines []EngineAddress) {
	wanted := make(map[EngineAddress]bool, len(engines))
	for _, engine := range engines {
		wanted[engine] = true
		if _, found := polls.running[engine]; found {
			continue
		}
		ctx, cancel := context.WithCancel(polls.executor.ctx)
		started := enginePoll{cancel: cancel, requests: make(chan struct{}, 1)}
		polls.running[engine] = started
		go polls.poll(ctx, engine, started.requests)
	}
	for engine, poll := range polls.running {
		if !wanted[engine] {
			poll.cancel()
			delete(polls.running, engine)
		}
	}
}

func (polls *enginePolls) poll(ctx context.Context, engine EngineAddress, requests <-chan struct{}) {
	failures := 0
	for {
		failures = polls.ask(ctx, engine, failures)
		wait := polls.interval
		if failures > 0 {
			wait /= failedPollDivisor
		}
		if !awaitPoll(ctx, wait, requests) {
			return
		}
	}
}

// awaitPoll waits until the next poll is due or requested. It returns false once the context is
// done.
func awaitPoll(ctx context.Context, wait time.Duration, requests <-chan struct{}) bool {
	due := time.NewTimer(wait)
	defer due.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-due.C:
		return true
	case <-requests:
	}
	spacing := time.NewTimer(min(wait, requestedPollSpacing))
	defer spacing.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-spacing.C:
		return true
	}
}

// ask polls once and returns the number of consecutive failures.
func (polls *enginePolls) ask(ctx context.Context, engine EngineAddress, failures int) int {
	bounded, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := polls.executor.engines.Report(bounded, engine.Address)
	if err == nil {
		polls.executor.post(EngineReported{Engine: engine.Engine, Report: report})
		return 0
	}
	failures++
	if failures == unresponsivePolls && ctx.Err() == nil {
		polls.executor.post(EngineUnresponsive{Engine: engine.Engine})
	}
	return failures
}
