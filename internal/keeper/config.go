package keeper

import (
	"time"

	"github.com/magpielug/magpielug/internal/queue"
)

// Config bounds and tunes a keeper. A zero field takes its default, but where
// the field says otherwise.
type Config struct {
	// TargetRunning is the most calls granted together on one engine, so that
	// steps stay short. The engine's own RunningLimit bounds it; 0 leaves that
	// limit alone.
	TargetRunning int
	// MaxWaiting bounds the calls that wait.
	MaxWaiting int
	// LookAhead is how many waiting calls are tried for a free slot.
	LookAhead int
	// MaxSkips is how many grants may pass a waiting call for the sake of cache
	// affinity or memory before it takes the next slot it can. 0 takes the pool's
	// number of slots, one turnover, and leastSkips at least.
	MaxSkips int
	// MaxHold is how long a call may wait for the engine with its prefix while
	// another has a free slot.
	MaxHold time.Duration
	// ReturnWithin is how long after a call its program is expected to make the
	// next one, until a pause is told.
	ReturnWithin time.Duration
	// ReservedShare is the part of grants shared by tier weight, 0 to 1; the
	// rest goes to the highest tier that waits. Below 0 is strict priority.
	ReservedShare float64
	// InProgressFactor multiplies the wait bound of a program that has begun, so
	// that at overload new programs are refused before half-done ones.
	InProgressFactor float64
	// Preempt allows to cancel running repeatable calls for higher tiers.
	Preempt bool
	// PreemptWait is the expected wait for a slot above which Preempt acts.
	PreemptWait time.Duration
	// PreemptRatio is how many times heavier the waiting tier must be.
	PreemptRatio uint32
	// ReportTimeout is how long an engine may be silent and get grants.
	ReportTimeout time.Duration
	// NoEngineGrace is how long calls wait while no engine is ready.
	NoEngineGrace time.Duration
	// CacheLag is how late cache events and reports may be: an estimate touched
	// more recently is not corrected by them.
	CacheLag time.Duration
	// EndedMemory is how long ended programs are remembered for the sweep.
	EndedMemory time.Duration
	// ReleaseRetry is the least time between two release orders for the same
	// program on the same engine.
	ReleaseRetry time.Duration
	// LiveMargin is how long a program seen by the keeper is safe from a live
	// list that leaves it out: the list may be older than the program.
	LiveMargin time.Duration
	// GrantConfirm is how long a grant may be missing from its leader's list.
	GrantConfirm time.Duration
	// MaxPrograms bounds the programs tracked.
	MaxPrograms int
	// MaxLoads bounds the loads of adapters under way in the pool.
	MaxLoads int
	// LoadTimeout is how long a load may take before it is ordered elsewhere.
	LoadTimeout time.Duration
	// LoadConfirm is how late a report may first show an order to load.
	LoadConfirm time.Duration
	// LoadRetry is how long an adapter is not ordered again on an engine that
	// failed to load it.
	LoadRetry time.Duration
	// AdapterPatience is how long calls wait for the engines that have their
	// adapter before it is loaded on one more.
	AdapterPatience time.Duration
	// RoleRetry is the least time between two orders to change an engine's role.
	RoleRetry time.Duration
	// DecisionMemory is how many decisions are kept for Explain.
	DecisionMemory int
	// ExportPerToken is the time to export and import one cached token; 0 means
	// that engines can't export.
	ExportPerToken time.Duration
	// ShardOf tells a program's shard, so that a program known only from an
	// engine's report can be found gone. Nil leaves such programs alone.
	ShardOf func(program string) uint32
}

const (
	defaultMaxWaiting       = 4096
	defaultLookAhead        = 16
	defaultMaxHold          = 5 * time.Second
	defaultReturnWithin     = 5 * time.Second
	defaultInProgressFactor = 2
	defaultPreemptWait      = 500 * time.Millisecond
	defaultPreemptRatio     = 4
	defaultReportTimeout    = 5 * time.Second
	defaultNoEngineGrace    = 5 * time.Second
	defaultCacheLag         = 2 * time.Second
	defaultEndedMemory      = 5 * time.Minute
	defaultReleaseRetry     = 2 * time.Second
	defaultLiveMargin       = 10 * time.Second
	defaultGrantConfirm     = 5 * time.Second
	defaultMaxPrograms      = 20000
	defaultDecisionMemory   = 2048
	defaultMaxLoads         = 1
	defaultRoleRetry        = 3 * time.Second
	defaultLoadTimeout      = 30 * time.Second
	defaultLoadConfirm      = 4 * time.Second
	defaultLoadRetry        = 15 * time.Second
	defaultAdapterPatience  = 2 * time.Second
)

// DefaultConfig returns the defaults.
func DefaultConfig() Config { return Config{}.withDefaults() }

// withDefaults fills the zero fields.
func (config Config) withDefaults() Config {
	setDefault(&config.MaxWaiting, defaultMaxWaiting)
	setDefault(&config.LookAhead, defaultLookAhead)
	setDefault(&config.MaxHold, defaultMaxHold)
	setDefault(&config.ReturnWithin, defaultReturnWithin)
	setDefault(&config.ReservedShare, queue.DefaultReservedShare)
	setDefault(&config.InProgressFactor, defaultInProgressFactor)
	setDefault(&config.PreemptWait, defaultPreemptWait)
	setDefault(&config.PreemptRatio, defaultPreemptRatio)
	setDefault(&config.ReportTimeout, defaultReportTimeout)
	setDefault(&config.NoEngineGrace, defaultNoEngineGrace)
	setDefault(&config.CacheLag, defaultCacheLag)
	setDefault(&config.EndedMemory, defaultEndedMemory)
	setDefault(&config.ReleaseRetry, defaultReleaseRetry)
	setDefault(&config.LiveMargin, defaultLiveMargin)
	setDefault(&config.GrantConfirm, defaultGrantConfirm)
	setDefault(&config.MaxPrograms, defaultMaxPrograms)
	setDefault(&config.DecisionMemory, defaultDecisionMemory)
	setDefault(&config.MaxLoads, defaultMaxLoads)
	setDefault(&config.RoleRetry, defaultRoleRetry)
	setDefault(&config.LoadTimeout, defaultLoadTimeout)
	setDefault(&config.LoadConfirm, defaultLoadConfirm)
	setDefault(&config.LoadRetry, defaultLoadRetry)
	setDefault(&config.AdapterPatience, defaultAdapterPatience)
	return config
}

// setDefault sets a field that is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
