package keeper

import (
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// Effect is one output of a keeper's step, carried out by its caller.
type Effect interface{ effect() }

// Grant gives a call a slot on an engine.
type Grant struct {
	Request Request
	Engine  string
	// Priority is the engine's own priority field for the call.
	Priority int
	// ExpectedCached is the prefix the keeper believes to be cached, tokens.
	ExpectedCached int
	// Why explains the choice in one short line.
	Why string
}

// Refuse gives a call its final answer: not run, and when to come back.
type Refuse struct {
	Request    Request
	Code       resultcode.Code
	RetryAfter time.Duration
	Why        string
	// Grounds are what the keeper knew of its pool.
	Grounds Grounds
}

// Preempt orders the leader to cancel a running call and to offer it again.
type Preempt struct {
	Request Request
	Engine  string
	Why     string
}

// ReleaseCache orders an engine to free a program's blocks.
type ReleaseCache struct {
	Engine  string
	Program string
	Why     string
}

// CheckEngine asks for an engine's load report without waiting for the next one
// that is due: a call has failed there, and it gets no grant before it reports.
type CheckEngine struct{ Engine string }

// LoadAdapter orders an engine to load an adapter beside the model version that
// it has. The engine's reports tell what becomes of the order.
type LoadAdapter struct {
	Engine  string
	Model   string
	Version string
	Adapter string
	Why     string
}

// SetRole orders an engine to change its role.
type SetRole struct {
	Engine string
	Role   string
}

// ExportCache orders an engine to export a program's blocks, then free them.
type ExportCache struct {
	Engine  string
	Program string
}

// ImportCache orders an engine to take exported blocks in.
type ImportCache struct {
	Engine  string
	Program string
}

func (Grant) effect()        {}
func (Refuse) effect()       {}
func (Preempt) effect()      {}
func (ReleaseCache) effect() {}
func (CheckEngine) effect()  {}
func (LoadAdapter) effect()  {}
func (SetRole) effect()      {}
func (ExportCache) effect()  {}
func (ImportCache) effect()  {}
