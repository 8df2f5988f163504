package keeper

import "time"

// CallKey identifies one attempt of a call across all shards.
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
	// Kind is the program kind. Pauses are predicted by tenant and kind.
	Kind string
	// Parent is the program that spawned this one as a sub-agent; empty for a
	// root program. Part of its cached prefix is assumed to be shared.
	Parent string
	// Repeatable is true when the call may be run again. Only repeatable calls
	// are preempted.
	Repeatable bool
	// Weight is the tier weight.
	Weight  uint32
	Model   string
	Adapter string
	Zone    string
	// PromptTokens is the estimated length of the whole prompt; MaxTokens
	// bounds the output.
	PromptTokens int
	MaxTokens    int
	// AttainedService is what the program and its sub-agents have used so far,
	// in service tokens: uncached prompt tokens times a small factor plus
	// generated tokens.
	AttainedService float64
	// ProgramAge is the age of the program at the time of the request.
	ProgramAge time.Duration
	// WaitBound is the longest predicted wait that the tier accepts; 0 means no
	// bound.
	WaitBound time.Duration
	// Deadline is on the keeper's clock; 0 means none.
	Deadline time.Duration
	// RemainingService is set only for the oracle baseline, and 0 otherwise.
	RemainingService float64
}

// Event is one input to Step.
type Event interface{ event() }

// CallQueued offers a call for a slot. Offering the same call again has no
// effect while it waits, and repeats its Grant while it runs.
type CallQueued struct{ Request Request }

// CallCancelled withdraws a waiting call, or announces that the leader is
// cancelling a granted one.
type CallCancelled struct{ Call CallKey }

// CallFinished ends a grant with the measurements of the engine.
type CallFinished struct {
	Call         CallKey
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// Failed is true when the call failed on the engine.
	Failed bool
}

// FirstToken reports that a granted call has finished prefill.
type FirstToken struct{ Call CallKey }

// ProgramPaused reports that a program waits for a tool result.
type ProgramPaused struct {
	Program string
	// ExpectedPause is the predicted duration; 0 if unknown.
	ExpectedPause time.Duration
}

// ProgramEnded reports that a program has ended. Its cache is released.
type ProgramEnded struct{ Program string }

// EngineReported is a load report of an engine. It lags behind the engine's
// state.
type EngineReported struct {
	Engine  string
	Model   string
	Version string
	Zone    string
	// Role is the engine's role: RoleMixed, "prefill" or "decode"; empty if not
	// reported.
	Role string
	// Loading is true while the engine is loading an adapter.
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
	// ProgramBlocks is the number of blocks held per program. It is complete if
	// it has entries or BlocksUsed is 0; otherwise it is ignored.
	ProgramBlocks map[string]int
}

// EngineCacheChanged reports a change of a program's cache on an engine. It may
// be delayed.
type EngineCacheChanged struct {
	Engine  string
	Program string
	// Tokens is the number of tokens now cached.
	Tokens int
}

// EngineLost removes an engine and ends its grants. The leaders detect the
// failed calls themselves.
type EngineLost struct{ Engine string }

// EngineDraining stops new grants on an engine, which need not be known yet,
// until EngineResumed.
type EngineDraining struct{ Engine string }

// EngineResumed ends the effect of EngineDraining.
type EngineResumed struct{ Engine string }

// LoadFailed reports that an engine has rejected an adapter load.
type LoadFailed struct {
	Engine  string
	Adapter string
}

// LeaderLost drops the waiting calls and ends the grants of a shard's leader.
type LeaderLost struct {
	Leader string
	Shard  uint32
}

// ProgramsLive is a leader's complete list of the live programs of one shard
// that use the pool's model. The cache of programs that are not listed is
// released. Leaders send it to a new keeper and then periodically.
type ProgramsLive struct {
	Leader   string
	Shard    uint32
	Programs []string
}

// HeldGrant is a grant held by a leader.
type HeldGrant struct {
	Request Request
	Engine  string
}

// GrantsHeld is a leader's complete list of its grants in this pool. The keeper
// restores grants it does not know, and ends grants that are not listed and
// older than Config.GrantConfirmTimeout: the message that ended them was lost.
type GrantsHeld struct {
	Leader string
	Grants []HeldGrant
}

// Tick advances time without another event, for deadlines, timeouts and
// cleanup.
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
