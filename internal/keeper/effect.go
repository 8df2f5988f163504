package keeper

import (
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// Effect is one output of Step, to be carried out by the caller.
type Effect interface{ effect() }

// Grant assigns a call a slot on an engine.
type Grant struct {
	Request Request
	Engine  string
	// Priority is the engine's priority field for the call.
	Priority int
	// ExpectedCached is the estimated cached part of the prompt, in tokens.
	ExpectedCached int
	// Why is a one-line reason for the choice.
	Why string
}

// Refuse rejects a call that has not run. RetryAfter is the delay after which
// the caller may retry.
type Refuse struct {
	Request    Request
	Code       resultcode.Code
	RetryAfter time.Duration
	Why        string
	// Context is the state of the pool at the refusal.
	Context RefusalContext
}

// Preempt tells the leader to cancel a running call and offer it again.
type Preempt struct {
	Request Request
	Engine  string
	Why     string
}

// ReleaseCache tells an engine to free a program's blocks.
type ReleaseCache struct {
	Engine  string
	Program string
	Why     string
}

// CheckEngine requests a load report from an engine that failed a call. The
// engine gets no grants until it reports.
type CheckEngine struct{ Engine string }

// LoadAdapter tells an engine to load an adapter for its current model version.
// The result is seen in the engine's reports.
type LoadAdapter struct {
	Engine  string
	Model   string
	Version string
	Adapter string
	Why     string
}

// SetRole tells an engine to change its role.
type SetRole struct {
	Engine string
	Role   string
}

// ExportCache tells an engine to export a program's blocks and then free them.
type ExportCache struct {
	Engine  string
	Program string
}

// ImportCache tells an engine to import a program's exported blocks.
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
