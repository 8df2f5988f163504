package keeper

import (
	"time"

	"github.com/magpielug/magpielug/internal/queue"
)

// Config holds the parameters of a keeper. A zero field selects its default
// unless the field says otherwise.
type Config struct {
	// TargetRunning is the maximum number of concurrent calls on one engine, to
	// keep batches small and steps short. The engine's own RunningLimit also
	// applies; 0 leaves only that limit.
	TargetRunning int
	// MaxWaiting is the maximum number of waiting calls.
	MaxWaiting int
	// LookAhead is how many waiting calls are tried for a free slot.
	LookAhead int
	// MaxSkips is how many later calls may be granted before a call that waits
	// for cache affinity or memory takes the next slot it can. 0 selects the
	// number of slots in the pool, but at least minSkipLimit.
	MaxSkips int
	// MaxAffinityWait is how long a call may wait for the engine with its
	// prefix while another has a free slot.
	MaxAffinityWait time.Duration
	// ReturnTimeout is how long after a call the program's next call is
	// expected, unless a pause is announced.
	ReturnTimeout time.Duration
	// ReservedShare is the fraction of grants, 0 to 1, divided in proportion to
	// tier weight; the rest goes to the highest waiting tier. A negative value
	// selects strict priority.
	ReservedShare float64
	// InProgressFactor multiplies the wait bound of programs in progress, so
	// that under overload new programs are refused first.
	InProgressFactor float64
	// Preempt allows the cancellation of running repeatable calls for higher
	// tiers.
	Preempt bool
	// PreemptWait is the expected wait for a slot above which calls are
	// preempted.
	PreemptWait time.Duration
	// PreemptRatio is the minimum ratio of the waiting tier's weight to the
	// running tier's.
	PreemptRatio uint32
	// ReportTimeout is how long after its last report an engine still gets
	// grants.
	ReportTimeout time.Duration
	// NoEngineGrace is how long calls wait while no engine is ready.
	NoEngineGrace time.Duration
	// CacheLag is the maximum delay of cache events and reports. They do not
	// correct estimates updated more recently than this.
	CacheLag time.Duration
	// EndedRetention is how long ended programs are remembered, so that cache
	// still reported for them is released.
	EndedRetention time.Duration
	// ReleaseRetry is the minimum time between two release commands for the
	// same program and engine.
	ReleaseRetry time.Duration
	// LiveListGrace is how long after its last call a program counts as live
	// although a live list omits it: the list may be older than the call.
	LiveListGrace time.Duration
	// GrantConfirmTimeout is the age up to which a grant may be missing from
	// its leader's list.
	GrantConfirmTimeout time.Duration
	// MaxPrograms is the maximum number of tracked programs.
	MaxPrograms int
	// MaxLoads is the maximum number of concurrent adapter loads in the pool.
	MaxLoads int
	// LoadTimeout is how long a load may take before it is abandoned.
	LoadTimeout time.Duration
	// LoadConfirmTimeout is how long a load request may go without a report that
	// shows the engine loading.
	LoadConfirmTimeout time.Duration
	// LoadRetry is how long an adapter is not loaded again on an engine that
	// failed to load it.
	LoadRetry time.Duration
	// AdapterWaitTimeout is how long calls wait for the engines that have their
	// adapter before it is loaded on another one.
	AdapterWaitTimeout time.Duration
	// RoleRetry is the minimum time between two role commands to an engine.
	RoleRetry time.Duration
	// DecisionHistory is how many decisions are kept for Explain.
	DecisionHistory int
	// ExportPerToken is the time to export and import one cached token; 0 means
	// that engines cannot export.
	ExportPerToken time.Duration
	// ShardOf returns the shard of a program, so that a program known only from
	// engine reports can be looked up in its shard's live list. If nil, such
	// programs count as live.
	ShardOf func(program string) uint32
}

const (
	defaultMaxWaiting          = 4096
	defaultLookAhead           = 16
	defaultMaxAffinityWait     = 5 * time.Second
	defaultReturnTimeout       = 5 * time.Second
	defaultInProgressFactor    = 2
	defaultPreemptWait         = 500 * time.Millisecond
	defaultPreemptRatio        = 4
	defaultReportTimeout       = 5 * time.Second
	defaultNoEngineGrace       = 5 * time.Second
	defaultCacheLag            = 2 * time.Second
	defaultEndedRetention      = 5 * time.Minute
	defaultReleaseRetry        = 2 * time.Second
	defaultLiveListGrace       = 10 * time.Second
	defaultGrantConfirmTimeout = 5 * time.Second
	defaultMaxPrograms         = 20000
	defaultDecisionHistory     = 2048
	defaultMaxLoads            = 1
	defaultRoleRetry           = 3 * time.Second
	defaultLoadTimeout         = 30 * time.Second
	defaultLoadConfirmTimeout  = 4 * time.Second
	defaultLoadRetry           = 15 * time.Second
	defaultAdapterWaitTimeout  = 2 * time.Second
)

// DefaultConfig returns a Config with all defaults filled in.
func DefaultConfig() Config { return Config{}.withDefaults() }

// withDefaults replaces zero fields by their defaults.
func (config Config) withDefaults() Config {
	setDefault(&config.MaxWaiting, defaultMaxWaiting)
	setDefault(&config.LookAhead, defaultLookAhead)
	setDefault(&config.MaxAffinityWait, defaultMaxAffinityWait)
	setDefault(&config.ReturnTimeout, defaultReturnTimeout)
	setDefault(&config.ReservedShare, queue.DefaultReservedShare)
	setDefault(&config.InProgressFactor, defaultInProgressFactor)
	setDefault(&config.PreemptWait, defaultPreemptWait)
	setDefault(&config.PreemptRatio, defaultPreemptRatio)
	setDefault(&config.ReportTimeout, defaultReportTimeout)
	setDefault(&config.NoEngineGrace, defaultNoEngineGrace)
	setDefault(&config.CacheLag, defaultCacheLag)
	setDefault(&config.EndedRetention, defaultEndedRetention)
	setDefault(&config.ReleaseRetry, defaultReleaseRetry)
	setDefault(&config.LiveListGrace, defaultLiveListGrace)
	setDefault(&config.GrantConfirmTimeout, defaultGrantConfirmTimeout)
	setDefault(&config.MaxPrograms, defaultMaxPrograms)
	setDefault(&config.DecisionHistory, defaultDecisionHistory)
	setDefault(&config.MaxLoads, defaultMaxLoads)
	setDefault(&config.RoleRetry, defaultRoleRetry)
	setDefault(&config.LoadTimeout, defaultLoadTimeout)
	setDefault(&config.LoadConfirmTimeout, defaultLoadConfirmTimeout)
	setDefault(&config.LoadRetry, defaultLoadRetry)
	setDefault(&config.AdapterWaitTimeout, defaultAdapterWaitTimeout)
	return config
}

// setDefault sets a field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
