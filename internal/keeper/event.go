package keeper

import "time"

// CallKey names one attempt of one call across all shards.
type CallKey struct {
	Program   string
	RequestID string
	Attempt   uint32
}

// Request asks for a slot on one of the pool's engines.
type Request struct {
	Call CallKey
	// Leader is the scheduler process that leads the program's shard.
	Leader string
	Shard  uint32
	Tenant string
	Tier   string
	// Kind is the program kind; pauses are predicted by tenant and kind.
	Kind string
	// Parent is the program that spawned this one as a sub-agent; empty for a
	// root. Its cached prefix is taken to be shared in part.
	Parent string
	// Repeatable is true when the call may run again; only such calls are
	// preempted.
	Repeatable bool
	// Weight is the tier's share under contention.
	Weight  uint32
	Model   string
	Adapter string
	Zone    string
	// PromptTokens is the estimated whole prompt; MaxTokens bounds the output.
	PromptTokens int
	MaxTokens    int
	// AttainedService is what the program (with its sub-agents) has used so
	// far, in service tokens: uncached prompt tokens times a small factor plus
	// generated tokens.
	AttainedService float64
	// ProgramAge is how long ago the program began, as of the request.
	ProgramAge time.Duration
	// WaitBound is the longest predicted wait the tier accepts.
	WaitBound time.Duration
	// Deadline is on the keeper's clock; 0 is none.
	Deadline time.Duration
	// RemainingService is known to the oracle baseline only; 0 otherwise.
	RemainingService float64
}

// Event is one input to a keeper's step.
type Event interface{ event() }

// CallQueued offers a call for a slot. The same call offered again changes
// nothing while it waits, and repeats its Grant while it runs.
type CallQueued struct{ Request Request }

// CallCancelled withdraws a call that waits, or tells that a granted one is
// being cancelled by its leader.
type CallCancelled struct{ Call CallKey }

// CallFinished returns a grant with what the engine reported.
type CallFinished struct {
	Call         CallKey
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// Failed is true when the engine failed the call.
	Failed bool
}

// FirstToken tells that a granted call has finished its prompt phase.
type FirstToken struct{ Call CallKey }

// ProgramPaused tells that a program waits for its caller's tool.
type ProgramPaused struct {
	Program string
	// ExpectedPause is a prediction; 0 when unknown.
	ExpectedPause time.Duration
}

// ProgramEnded tells that a program is gone: its cache is to be released.
type ProgramEnded struct{ Program string }

// EngineReported brings an engine's lagging load report.
type EngineReported struct {
	Engine  string
	Model   string
	Version string
	Zone    string
	// Role is what the engine does: RoleMixed, "prefill" or "decode"; empty where
	// it does not tell.
	Role string
	// Loading is true while the engine carries an order to load out.
	Loading      bool
	Adapters     []string
	Leaving      bool
	Running      int
	Waiting      int
	RunningLimit int
	BlocksTotal  int
	BlocksUsed   int
	BlockTokens  int
	StepDuration time.Duration
	// ProgramBlocks has the blocks held for each program. It is taken as whole
	// when it has entries or BlocksUsed is 0.
	ProgramBlocks map[string]int
}

// EngineCacheChanged brings one late cache event.
type EngineCacheChanged struct {
	Engine  string
	Program string
	// Tokens now cached for the program on the engine.
	Tokens int
}

// EngineLost removes an engine; its grants are returned as failed by leaders.
type EngineLost struct{ Engine string }

// EngineDraining stops new grants on an engine, known or not yet known, until
// EngineResumed.
type EngineDraining struct{ Engine string }

// EngineResumed ends an EngineDraining.
type EngineResumed struct{ Engine string }

// LoadFailed tells that an engine has refused an order to load an adapter.
type LoadFailed struct {
	Engine  string
	Adapter string
}

// LeaderLost drops the waiting calls and ends the grants of a leader.
type LeaderLost struct {
	Leader string
	Shard  uint32
}

// ProgramsLive is a leader's whole list of live programs of one shard whose
// model this pool serves. Cache of programs that a shard's list leaves out is
// released. Leaders send it to a new keeper and then at intervals.
type ProgramsLive struct {
	Leader   string
	Shard    uint32
	Programs []string
}

// HeldGrant is one grant that a leader holds.
type HeldGrant struct {
	Request Request
	Engine  string
}

// GrantsHeld is a leader's whole list of the grants it holds in this pool. A
// new keeper takes over grants it does not know; a grant that is left out and
// is older than Config.GrantConfirm has ended, its message was lost.
type GrantsHeld struct {
	Leader string
	Grants []HeldGrant
}

// Tick lets time pass: waiting bounds, deadlines, ageing, sweeps.
type Tick struct{}

func (CallQueued) event()         {}
func (CallCancelled) event()      {}
func (CallFinished) event()       {}
func (FirstToken) event()         {}
func (ProgramPaused) event()      {}
func (ProgramEnded) event()       {}
func (EngineReported) event()     {}
func (EngineCacheChanged) event() {}
func (EngineLost) event()         {}
func (EngineDraining) event()     {}
func (EngineResumed) event()      {}
func (LoadFailed) event()         {}
func (LeaderLost) event()         {}
func (ProgramsLive) event()       {}
func (GrantsHeld) event()         {}
func (Tick) event()               {}
