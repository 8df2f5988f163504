// Package outside declares one interface for each external system that magpielug uses.
// Package httpadapter implements them over HTTP, as specified in docs/INTERFACES.md; a
// platform with other protocols needs another adapter.
package outside

import (
	"context"
	"errors"
	"time"
)

// ErrOutcomeUnknown means that a request may or may not have taken effect.
var ErrOutcomeUnknown = errors.New("outcome unknown")

// ErrStaleFence means that a back end has seen a higher fence than the request's.
var ErrStaleFence = errors.New("stale fence")

// ErrNotRun means that a back end rejected a request before any effect, or that the
// request never reached it. Errors that wrap ErrStaleFence also wrap ErrNotRun.
var ErrNotRun = errors.New("not run")

// ErrMalformedResponse means that a response is invalid. Errors that wrap it also wrap
// ErrOutcomeUnknown.
var ErrMalformedResponse = errors.New("malformed response")

// Record is one record of a log stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// Log is the platform's append-only log service.
type Log interface {
	// Append appends data to stream and returns the record's offset. If the error wraps
	// ErrOutcomeUnknown, the record may have been appended.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns up to limit records in order, starting at offset; none at the end of
	// the stream.
	Read(ctx context.Context, stream string, offset uint64, limit int) ([]Record, error)
}

// MachineState is the state of a machine according to the machine list.
type MachineState string

// States of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// MachineRole is the role of a machine.
type MachineRole string

// Roles of machines.
const (
	RoleGateway   MachineRole = "gateway"
	RoleScheduler MachineRole = "scheduler"
	RoleEngine    MachineRole = "engine"
	RoleTool      MachineRole = "tool"
)

// Machine is one entry of the machine list.
type Machine struct {
	ID      string
	Role    MachineRole
	Region  string
	Zone    string
	Address string
	State   MachineState
	// Service is the model or tool service of a back end.
	Service string
}

// Machines is the platform's list of live and leaving machines. The list can be out of
// date.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
}

// Fence identifies a lease on an engine. A fence with a higher Epoch supersedes a lower one.
type Fence struct {
	Holder string
	Epoch  uint64
}

// GenerateRequest is the request for one completion.
type GenerateRequest struct {
	// RequestID identifies the generation at the engine. The engine runs each id once;
	// later requests with the same id attach to that generation.
	RequestID string
	Program   string
	Model     string
	Adapter   string
	// Prompt is the full prompt, one part per message, history first. The output of an
	// earlier turn is its own part with unchanged text, so that it matches the cached
	// blocks, which engines look up by content.
	Prompt    []string
	MaxTokens int
	// Priority is the priority in the engine's queue; higher runs first.
	Priority int
	Fence    Fence
	// ResumeAfter skips chunks up to this sequence number.
	ResumeAfter uint64
	// AttachOnly attaches to an existing generation and never starts one. The engine
	// rejects an unknown RequestID with ErrNotRun and records it, so that a delayed
	// request to start it is also rejected.
	AttachOnly bool
}

// EngineChunk is one chunk of a generation.
type EngineChunk struct {
	// Sequence increases by one per chunk, from 1.
	Sequence uint64
	Text     string
	Tokens   int
	// Finish is set only in the last chunk: "stop", "length" or "cancelled".
	Finish       string
	PromptTokens int
	CachedTokens int
	OutputTokens int
}

// LoadReport is an engine's load as the engine reports it, with a delay.
type LoadReport struct {
	Engine  string
	Model   string
	Version string
	// Loading is true while a model or adapter is being loaded.
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

// CacheEvent reports that prefix blocks of a program were stored or evicted. A gap in the
// sequence numbers means that events were lost.
type CacheEvent struct {
	Sequence uint64
	Kind     string
	Program  string
	// Blocks is the program's number of cached blocks after the event.
	Blocks int
}

// Engine is the interface of model engines, which are selected by address.
type Engine interface {
	// Generate streams a completion to receive until its finish or an error. It returns
	// an error of receive unchanged. After the first chunk any other error wraps
	// ErrOutcomeUnknown, and a request with ResumeAfter resumes the stream.
	Generate(ctx context.Context, address string, request GenerateRequest, receive func(EngineChunk) error) error
	// Cancel stops a generation. The engine rejects a later start of a cancelled id.
	Cancel(ctx context.Context, address, requestID string, fence Fence) error
	// Release frees the cache blocks held for a program.
	Release(ctx context.Context, address, program string, fence Fence) error
	Export(ctx context.Context, address, program string, fence Fence) ([]byte, error)
	Import(ctx context.Context, address, program string, content []byte, fence Fence) error
	// Load starts loading a model version and adapter; LoadReport shows its progress.
	Load(ctx context.Context, address, model, adapter, version string, fence Fence) error
	SetRole(ctx context.Context, address, role string, fence Fence) error
	Events(ctx context.Context, address string, after uint64, limit int) ([]CacheEvent, error)
	Report(ctx context.Context, address string) (LoadReport, error)
}

// ToolRequest is the request of a tool call.
type ToolRequest struct {
	RequestID  string
	Program    string
	Service    string
	Input      string
	Repeatable bool
}

// Tool is the interface of application and tool services.
type Tool interface {
	Call(ctx context.Context, address string, request ToolRequest) (string, error)
}

// Weights is the rate-limited weight store from which engines load models.
type Weights interface {
	// Reserve requests a slot for transferring a model version. If granted is false,
	// wait is the delay before the next attempt.
	Reserve(ctx context.Context, model, version string) (granted bool, wait time.Duration, err error)
}
