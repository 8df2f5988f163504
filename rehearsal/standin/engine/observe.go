package engine

import (
	"cmp"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
	"github.com/magpielug/magpielug/rehearsal/standin/reply"
)

// Debug endpoints; they show the present, without lag.
const (
	PathRuns  = "/debug/runs"
	PathState = "/debug/state"
)

const (
	// keptEvents bounds the cache events that can be read.
	keptEvents = 8192
	// defaultEventLimit bounds the events of one answer.
	defaultEventLimit = 1000
)

// RunsAnswer is the answer of GET PathRuns.
type RunsAnswer struct {
	// Runs counts how often each request id began to run.
	Runs map[string]int `json:"runs"`
	// Late counts requests that came after the leaving engine's grace.
	Late int `json:"late"`
}

// observed is what the engine tells about itself, with its delays.
type observed struct {
	reports  []sampledReport
	events   []sampledEvent
	sequence uint64
	blocks   map[string]int
	random   *rand.Rand
	changes  cacheChanges
}

type sampledReport struct {
	at     time.Duration
	report wire.LoadReport
}

type sampledEvent struct {
	at    time.Duration
	event wire.CacheEvent
}

func newObserved(config Config) observed {
	return observed{
		random:  rand.New(rand.NewPCG(config.EventSeed, config.EventSeed)),
		changes: newCacheChanges(),
	}
}

// watch samples the engine until Close.
func (engine *Engine) watch() {
	for engine.pause(engine.config.ReportInterval) {
		engine.observe()
	}
}

// observe takes one sample: a report, and events for the programs whose blocks
// changed.
func (engine *Engine) observe() {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	now := engine.now()
	report := engine.report(now)
	report.Sequence = engine.observed.changes.note(engine.observed.blocks, report.ProgramBlocks)
	engine.observed.addReport(sampledReport{at: now, report: report}, now-engine.config.ReportLag)
	engine.observed.addEvents(now, report.ProgramBlocks, engine.config.EventLoss)
}

// addReport keeps the samples from the newest one that is due on.
func (seen *observed) addReport(sample sampledReport, due time.Duration) {
	seen.reports = append(seen.reports, sample)
	for len(seen.reports) > 1 && seen.reports[1].at <= due {
		seen.reports = seen.reports[1:]
	}
}

func (seen *observed) addEvents(now time.Duration, blocks map[string]int, loss float64) {
	var changed []wire.CacheEvent
	for program, count := range blocks {
		if count > seen.blocks[program] {
			changed = append(changed, wire.CacheEvent{Kind: outside.CacheStored, Program: program, Blocks: count})
		}
	}
	for program, count := range seen.blocks {
		if blocks[program] < count {
			changed = append(changed, wire.CacheEvent{Kind: outside.CacheEvicted, Program: program, Blocks: blocks[program]})
		}
	}
	seen.blocks = blocks
	// Sorted, so that the same draws lose the same events.
	slices.SortFunc(changed, func(left, right wire.CacheEvent) int { return cmp.Compare(left.Program, right.Program) })
	for _, event := range changed {
		seen.sequence++
		event.Sequence = seen.sequence
		if seen.random.Float64() >= loss {
			seen.events = append(seen.events, sampledEvent{at: now, event: event})
		}
	}
	if excess := len(seen.events) - keptEvents; excess > 0 {
		seen.events = seen.events[excess:]
	}
}

// report is the engine's load at now.
func (engine *Engine) report(now time.Duration) wire.LoadReport {
	stats := engine.model.Stats(now)
	return wire.LoadReport{
		Engine:         engine.config.Name,
		Model:          engine.weights.model,
		Version:        engine.weights.version,
		Loading:        engine.weights.loading != nil,
		Adapters:       slices.Clone(engine.weights.adapters),
		Role:           engine.role,
		Leaving:        !engine.leaving.IsZero(),
		Running:        stats.Running,
		Waiting:        stats.Waiting,
		RunningLimit:   engine.config.Batching.RunningLimit,
		BlocksTotal:    stats.BlocksTotal,
		BlocksUsed:     stats.BlocksUsed,
		BlockTokens:    engine.config.Batching.BlockTokens,
		StepMicros:     stats.StepDuration.Microseconds(),
		FenceEpoch:     engine.epoch,
		ProgramBlocks:  stats.ProgramBlocks,
		CachedTokens:   stats.CachedTokens,
		PromptTokens:   stats.PromptTokens,
		HeldSeconds:    stats.HeldBlockSeconds,
		WastedSeconds:  stats.WastedBlockSeconds,
		IdleSeconds:    stats.IdleBlockSeconds,
		BlockEvictions: stats.Evictions,
	}
}

func (engine *Engine) routeQueries(mux *http.ServeMux) {
	reply.HandleGetWithETag(mux, wire.PathReport, engine.shownReport, withoutIntegrals)
	reply.HandleGet(mux, wire.PathEvents, engine.events)
	reply.HandleGet(mux, PathRuns, func(*http.Request) (RunsAnswer, error) { return engine.Runs(), nil })
	reply.HandleGet(mux, PathState, func(*http.Request) (wire.LoadReport, error) {
		engine.lock.Lock()
		defer engine.lock.Unlock()
		return engine.report(engine.now()), nil
	})
}

// shownReport answers with the report that is due, with the programs that have
// changed after a number where one is named.
func (engine *Engine) shownReport(request *http.Request) (wire.LoadReport, error) {
	after, err := reply.UintParameter(request, wire.ParameterAfter, 0)
	if err != nil {
		return wire.LoadReport{}, err
	}
	engine.lock.Lock()
	defer engine.lock.Unlock()
	return engine.observed.changes.since(engine.observed.reports[0].report, after), nil
}

// withoutIntegrals leaves out what rises with time alone, and the programs'
// blocks, whose changes Sequence numbers: a report that differs in nothing else
// is not worth sending.
func withoutIntegrals(report wire.LoadReport) wire.LoadReport {
	report.HeldSeconds, report.WastedSeconds, report.IdleSeconds = 0, 0, 0
	report.ProgramBlocks, report.Since = nil, 0
	return report
}

// events answers with the events after a sequence number that are due.
func (engine *Engine) events(request *http.Request) (wire.EventsAnswer, error) {
	after, err := reply.UintParameter(request, wire.ParameterAfter, 0)
	if err != nil {
		return wire.EventsAnswer{}, err
	}
	limit, err := reply.UintParameter(request, wire.ParameterLimit, defaultEventLimit)
	if err != nil {
		return wire.EventsAnswer{}, err
	}
	engine.lock.Lock()
	defer engine.lock.Unlock()
	due := engine.now() - engine.config.EventDelay
	answer := wire.EventsAnswer{Events: []wire.CacheEvent{}}
	for _, sample := range engine.observed.events {
		if sample.at > due || uint64(len(answer.Events)) >= limit {
			break
		}
		if sample.event.Sequence > after {
			answer.Events = append(answer.Events, sample.event)
		}
	}
	return answer, nil
}

// Runs counts how often each request id began to run.
func (engine *Engine) Runs() RunsAnswer {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	runs := make(map[string]int, len(engine.counts.runs))
	for id, count := range engine.counts.runs {
		runs[id] = count
	}
	return RunsAnswer{Runs: runs, Late: engine.counts.late}
}

// Stats returns the model's state and counters now.
func (engine *Engine) Stats() enginemodel.Stats {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	return engine.model.Stats(engine.now())
}
