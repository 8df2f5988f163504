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

// Debug endpoints; they return the current state without lag.
const (
	PathRuns  = "/debug/runs"
	PathState = "/debug/state"
)

const (
	// maxRetainedEvents bounds the cache events that can be read.
	maxRetainedEvents = 8192
	// defaultEventLimit bounds the events of one response.
	defaultEventLimit = 1000
)

// RunsResponse is the response of GET PathRuns.
type RunsResponse struct {
	// Runs counts the starts of each request id.
	Runs map[string]int `json:"runs"`
	// LateRequests counts requests that arrived after LeaveGrace.
	LateRequests int `json:"late"`
}

// telemetry holds sampled load reports and cache events until they are due.
type telemetry struct {
	reports      []sampledReport
	events       []sampledEvent
	lastSequence uint64
	lastBlocks   map[string]int
	random       *rand.Rand
	changes      cacheChanges
}

type sampledReport struct {
	at     time.Duration
	report wire.LoadReport
}

type sampledEvent struct {
	at    time.Duration
	event wire.CacheEvent
}

func newTelemetry(config Config) telemetry {
	return telemetry{
		random:  rand.New(rand.NewPCG(config.EventSeed, config.EventSeed)),
		changes: newCacheChanges(),
	}
}

// runSampling samples the engine until Close.
func (engine *Engine) runSampling() {
	for engine.sleep(engine.config.ReportInterval) {
		engine.sample()
	}
}

// sample records a report, and events for the programs whose block count changed.
func (engine *Engine) sample() {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	now := engine.now()
	report := engine.loadReport(now)
	report.Sequence = engine.telemetry.changes.record(engine.telemetry.lastBlocks, report.ProgramBlocks)
	engine.telemetry.addReport(sampledReport{at: now, report: report}, now-engine.config.ReportLag)
	engine.telemetry.addEvents(now, report.ProgramBlocks, engine.config.EventLoss)
}

// addReport appends a sample and drops those older than the latest one that is due.
func (telemetry *telemetry) addReport(sample sampledReport, due time.Duration) {
	telemetry.reports = append(telemetry.reports, sample)
	for len(telemetry.reports) > 1 && telemetry.reports[1].at <= due {
		telemetry.reports = telemetry.reports[1:]
	}
}

func (telemetry *telemetry) addEvents(now time.Duration, blocks map[string]int, loss float64) {
	var changed []wire.CacheEvent
	for program, count := range blocks {
		if count > telemetry.lastBlocks[program] {
			changed = append(changed, wire.CacheEvent{Kind: outside.CacheStored, Program: program, Blocks: count})
		}
	}
	for program, count := range telemetry.lastBlocks {
		if blocks[program] < count {
			changed = append(changed, wire.CacheEvent{Kind: outside.CacheEvicted, Program: program, Blocks: blocks[program]})
		}
	}
	telemetry.lastBlocks = blocks
	// Sorted, so that the same random draws drop the same events.
	slices.SortFunc(changed, func(left, right wire.CacheEvent) int { return cmp.Compare(left.Program, right.Program) })
	for _, event := range changed {
		telemetry.lastSequence++
		event.Sequence = telemetry.lastSequence
		if telemetry.random.Float64() >= loss {
			telemetry.events = append(telemetry.events, sampledEvent{at: now, event: event})
		}
	}
	if excess := len(telemetry.events) - maxRetainedEvents; excess > 0 {
		telemetry.events = telemetry.events[excess:]
	}
}

// loadReport returns the engine's load at now.
func (engine *Engine) loadReport(now time.Duration) wire.LoadReport {
	stats := engine.model.Stats(now)
	return wire.LoadReport{
		Engine:         engine.config.Name,
		Model:          engine.weights.model,
		Version:        engine.weights.version,
		Loading:        engine.weights.loading != nil,
		Adapters:       slices.Clone(engine.weights.adapters),
		Role:           engine.role,
		Leaving:        !engine.leavingSince.IsZero(),
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
	reply.HandleGetWithETag(mux, wire.PathReport, engine.laggedReport, withoutVolatileFields)
	reply.HandleGet(mux, wire.PathEvents, engine.cacheEvents)
	reply.HandleGet(mux, PathRuns, func(*http.Request) (RunsResponse, error) { return engine.Runs(), nil })
	reply.HandleGet(mux, PathState, func(*http.Request) (wire.LoadReport, error) {
		engine.lock.Lock()
		defer engine.lock.Unlock()
		return engine.loadReport(engine.now()), nil
	})
}

// laggedReport returns the latest report that is due, limited to the programs that changed
// after the number in the request, if any.
func (engine *Engine) laggedReport(request *http.Request) (wire.LoadReport, error) {
	after, err := reply.UintParameter(request, wire.ParameterAfter, 0)
	if err != nil {
		return wire.LoadReport{}, err
	}
	engine.lock.Lock()
	defer engine.lock.Unlock()
	return engine.telemetry.changes.deltaSince(engine.telemetry.reports[0].report, after), nil
}

// withoutVolatileFields clears the fields that must not change the ETag: those that grow
// with time alone, and the block counts, whose changes are reflected in Sequence.
func withoutVolatileFields(report wire.LoadReport) wire.LoadReport {
	report.HeldSeconds, report.WastedSeconds, report.IdleSeconds = 0, 0, 0
	report.ProgramBlocks, report.Since = nil, 0
	return report
}

// cacheEvents returns the due events after a sequence number.
func (engine *Engine) cacheEvents(request *http.Request) (wire.EventsResponse, error) {
	after, err := reply.UintParameter(request, wire.ParameterAfter, 0)
	if err != nil {
		return wire.EventsResponse{}, err
	}
	limit, err := reply.UintParameter(request, wire.ParameterLimit, defaultEventLimit)
	if err != nil {
		return wire.EventsResponse{}, err
	}
	engine.lock.Lock()
	defer engine.lock.Unlock()
	due := engine.now() - engine.config.EventDelay
	response := wire.EventsResponse{Events: []wire.CacheEvent{}}
	for _, sample := range engine.telemetry.events {
		if sample.at > due || uint64(len(response.Events)) >= limit {
			break
		}
		if sample.event.Sequence > after {
			response.Events = append(response.Events, sample.event)
		}
	}
	return response, nil
}

// Runs counts the starts of each request id.
func (engine *Engine) Runs() RunsResponse {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	runs := make(map[string]int, len(engine.counts.runs))
	for id, count := range engine.counts.runs {
		runs[id] = count
	}
	return RunsResponse{Runs: runs, LateRequests: engine.counts.lateRequests}
}

// Stats returns the model's current state and counters.
func (engine *Engine) Stats() enginemodel.Stats {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	return engine.model.Stats(engine.now())
}
