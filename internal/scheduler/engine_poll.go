package scheduler

import (
	"context"
	"time"
)

const (
	pollTimeout = time.Second
	// silentPolls in a row make an engine count as lost.
	silentPolls = 3
	// failedPollShare is the part of the interval after which a failed poll is
	// repeated: an engine that refuses connections is lost after one and a half
	// intervals at most.
	failedPollShare = 4
	// pokedPollSpacing is the least time between a poll and one asked for.
	pokedPollSpacing = 100 * time.Millisecond
)

// enginePolls asks the kept engines for their load reports.
type enginePolls struct {
	traffic  *traffic
	interval time.Duration
	// running holds the poll of each engine; the control goroutine owns it.
	running map[EngineAddress]enginePoll
}

// enginePoll is one engine's poll under way.
type enginePoll struct {
	cancel context.CancelFunc
	// pokes asks for a poll without waiting for the interval.
	pokes chan struct{}
}

func newEnginePolls(traffic *traffic, interval time.Duration) *enginePolls {
	return &enginePolls{
		traffic:  traffic,
		interval: interval,
		running:  make(map[EngineAddress]enginePoll),
	}
}

// poke asks an engine for its report soon.
func (polls *enginePolls) poke(engine EngineAddress) {
	select {
	case polls.running[engine].pokes <- struct{}{}:
	default:
	}
}

// watch starts and stops polls so that exactly these engines are asked.
func (polls *enginePolls) watch(engines []EngineAddress) {
	wanted := make(map[EngineAddress]bool, len(engines))
	for _, engine := range engines {
		wanted[engine] = true
		if _, found := polls.running[engine]; found {
			continue
		}
		ctx, cancel := context.WithCancel(polls.traffic.ctx)
		started := enginePoll{cancel: cancel, pokes: make(chan struct{}, 1)}
		polls.running[engine] = started
		go polls.poll(ctx, engine, started.pokes)
	}
	for engine, poll := range polls.running {
		if !wanted[engine] {
			poll.cancel()
			delete(polls.running, engine)
		}
	}
}

func (polls *enginePolls) poll(ctx context.Context, engine EngineAddress, pokes <-chan struct{}) {
	failures := 0
	for {
		failures = polls.ask(ctx, engine, failures)
		wait := polls.interval
		if failures > 0 {
			wait /= failedPollShare
		}
		if !awaitPoll(ctx, wait, pokes) {
			return
		}
	}
}

// awaitPoll waits until the next poll is due, or sooner when poked. It returns
// false once the context has ended.
func awaitPoll(ctx context.Context, wait time.Duration, pokes <-chan struct{}) bool {
	due := time.NewTimer(wait)
	defer due.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-due.C:
		return true
	case <-pokes:
	}
	spacing := time.NewTimer(min(wait, pokedPollSpacing))
	defer spacing.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-spacing.C:
		return true
	}
}

// ask polls once and returns the number of failures in a row.
func (polls *enginePolls) ask(ctx context.Context, engine EngineAddress, failures int) int {
	bounded, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	report, err := polls.traffic.engines.Report(bounded, engine.Address)
	if err == nil {
		polls.traffic.post(EngineReported{Engine: engine.Engine, Report: report})
		return 0
	}
	failures++
	if failures == silentPolls && ctx.Err() == nil {
		polls.traffic.post(EngineSilent{Engine: engine.Engine})
	}
	return failures
}
