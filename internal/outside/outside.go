// Package outside declares the outside systems that magpielug meets, one
// interface each, and their HTTP adapters. The wire shapes stand in
// docs/INTERFACES.md; another platform is met by another adapter.
package outside

import (
	"context"
	"errors"
	"time"
)

// ErrOutcomeUnknown says that a request may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("outcome unknown")

// ErrStaleFence says that a back end has seen a higher fence than the order's.
var ErrStaleFence = errors.New("stale fence")

// ErrNotRun says that a back end refused a request before any effect, or that
// the request never reached it. Errors that wrap ErrStaleFence wrap it too.
var ErrNotRun = errors.New("not run")

// ErrMalformedAnswer says that an answer can't be understood. Errors that wrap
// it wrap ErrOutcomeUnknown too.
var ErrMalformedAnswer = errors.New("malformed answer")

// Record is one record of a log stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds data to the end of stream and returns its offset. An error
	// that wraps ErrOutcomeUnknown means that the record may stand.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit records from offset on, in order; none at the
	// stream's end.
	Read(ctx context.Context, stream string, offset uint64, limit int) ([]Record, error)
}

// MachineState is how the machine list sees a machine.
type MachineState string

// States of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// MachineRole is what a machine is for.
type MachineRole string

// Roles of machines.
const (
	RoleGateway   MachineRole = "gateway"
	RoleScheduler MachineRole = "scheduler"
	RoleEngine    MachineRole = "engine"
	RoleTool      MachineRole = "tool"
)

// Machine is one entry of the lagging machine list.
type Machine struct {
	ID      string
	Role    MachineRole
	Region  string
	Zone    string
	Address string
	State   MachineState
	// Service is the model or tool service a back end serves.
	Service string
}

// Machines is the platform's lagging list of live and leaving machines.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
}

// Fence orders the holders of an engine's lease; the higher Epoch wins.
type Fence struct {
	Holder string
	Epoch  uint64
}

// GenerateRequest asks an engine for one completion.
type GenerateRequest struct {
	// RequestID names the generation at the engine; the engine runs one id
	// once and joins later requests of the same id to it.
	RequestID string
	Program   string
	Model     string
	Adapter   string
	// Prompt is the whole prompt, history first, one part a message. An earlier
	// output stands as a part of its own with its text unchanged: engines find
	// its cached blocks by their content.
	Prompt    []string
	MaxTokens int
	// Priority orders the engine's own queue; higher runs first.
	Priority int
	Fence    Fence
	// ResumeAfter skips chunks up to this sequence number.
	ResumeAfter uint64
	// AttachOnly joins a generation that the engine knows and never starts one:
	// an unknown RequestID is refused with ErrNotRun and is remembered, so that
	// a late start of the same RequestID is refused too.
	AttachOnly bool
}

// EngineChunk is one item of an engine's stream.
type EngineChunk struct {
	// Sequence rises by one a chunk, from 1.
	Sequence uint64
	Text     string
	Tokens   int
	// Finish is empty but on the last item: "stop", "length" or "cancelled".
	Finish       string
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// LoadReport is an engine's own view of its load, a lag behind.
type LoadReport struct {
	Engine  string
	Model   string
	Version string
	// Loading is true while an order to load is under way.
	Loading       bool
	Adapters      []string
	Role          string
	Leaving       bool
	Running       int
	Waiting       int
	RunningLimit  int
	BlocksTotal   int
	BlocksUsed    int
	BlockTokens   int
	StepDuration  time.Duration
	FenceEpoch    uint64
	ProgramBlocks map[string]int
}

// Kinds of cache events.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// CacheEvent tells that prefix blocks of a program were stored or evicted.
// Sequence numbers with gaps show lost events.
type CacheEvent struct {
	Sequence uint64
	Kind     string
	Program  string
	// Blocks is the program's number of cached blocks after the change.
	Blocks int
}

// Engine is one model engine.
type Engine interface {
	// Generate streams a completion to receive until its finish or an error. It
	// returns an error of receive as it is. Any other error after the first
	// item wraps ErrOutcomeUnknown, and ResumeAfter picks the stream up again.
	Generate(ctx context.Context, address string, request GenerateRequest, receive func(EngineChunk) error) error
	// Cancel ends a generation; an id that has not come yet will not run.
	Cancel(ctx context.Context, address, requestID string, fence Fence) error
	// Release frees the cache blocks held for a program.
	Release(ctx context.Context, address, program string, fence Fence) error
	Export(ctx context.Context, address, program string, fence Fence) ([]byte, error)
	Import(ctx context.Context, address, program string, content []byte, fence Fence) error
	// Load orders a model version and adapter; SetRole changes the role.
	Load(ctx context.Context, address, model, adapter, version string, fence Fence) error
	SetRole(ctx context.Context, address, role string, fence Fence) error
	Events(ctx context.Context, address string, after uint64, limit int) ([]CacheEvent, error)
	Report(ctx context.Context, address string) (LoadReport, error)
}

// ToolRequest is one call of a tool service.
type ToolRequest struct {
	RequestID  string
	Program    string
	Service    string
	Input      string
	Repeatable bool
}

// Tool is an application or tool service.
type Tool interface {
	Call(ctx context.Context, address string, request ToolRequest) (string, error)
}

// Weights is the rate-limited weight store that engines load from.
type Weights interface {
	// Reserve asks for a slot to move a model version; wait is how long to
	// hold off where none is free.
	Reserve(ctx context.Context, model, version string) (granted bool, wait time.Duration, err error)
}
