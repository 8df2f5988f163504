package scheduler

import (
	"context"
	"time"
)

const (
	pollTimeout = time.Second
	// silentPolls in a row make an engine count as lost.
	silentPolls = 3
)

// enginePolls asks the kept engines for their load reports.
type enginePolls struct {
	traffic  *traffic
	interval time.Duration
	// running holds the poll of each engine; the control goroutine owns it.
	running map[EngineAddress]context.CancelFunc
}

func newEnginePolls(traffic *traffic, interval time.Duration) *enginePolls {
	return &enginePolls{
		traffic:  traffic,
		interval: interval,
		running:  make(map[EngineAddress]context.CancelFunc),
	}
}

// watch starts and stops polls so that exactly these engines are asked.
func (polls *enginePolls) watch(engines []EngineAddress) {
	wanted := make(map[EngineAddress]bool, len(engines))
	for _, engine := range engines {
		wanted[engine] = true
		if polls.running[engine] == nil {
			ctx, cancel := context.WithCancel(polls.traffic.ctx)
			polls.running[engine] = cancel
			go polls.poll(ctx, engine)
		}
	}
	for engine, cancel := range polls.running {
		if !wanted[engine] {
			cancel()
			delete(polls.running, engine)
		}
	}
}

func (polls *enginePolls) poll(ctx context.Context, engine EngineAddress) {
	ticker := time.NewTicker(polls.interval)
	defer ticker.Stop()
	failures := 0
	for {
		failures = polls.ask(ctx, engine, failures)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
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
