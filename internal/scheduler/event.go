package scheduler

import (
	"time"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/outside"
)

// Event is one input to the core's step.
type Event interface{ event() }

// AskID pairs a request with its answer within one process.
type AskID uint64

// ConfigurationView is what the core reads of the configuration in force.
type ConfigurationView interface {
	Version() uint64
	Tier(tenant, name string) (*operatorv1.Tier, bool)
	Service(name string) (*operatorv1.Service, bool)
	Kind(name string) (*operatorv1.ProgramKind, bool)
	Policy() *operatorv1.SchedulingPolicy
	Drained(backEnd string) bool
}

// ConfigurationChanged brings a newer configuration.
type ConfigurationChanged struct{ View ConfigurationView }

// FreshnessChanged tells whether the process knows its configuration to be
// current.
type FreshnessChanged struct{ Fresh bool }

// MachinesListed brings the platform's lagging list, also where it has not changed.
type MachinesListed struct {
	Machines []outside.Machine
	// AskedAt is when the list was asked for, on the core's clock.
	AskedAt time.Duration
}

// StreamRead brings the next records of a shard's stream in the platform's log.
type StreamRead struct {
	Shard uint32
	// From is the effect's own.
	From    uint64
	Records []outside.Record
	// AtEnd is true where the stream has no further record.
	AtEnd bool
	// Failed is true where the log did not answer.
	Failed bool
}

// StreamAppended tells what became of an AppendStream.
type StreamAppended struct {
	Shard uint32
	// UpTo is the effect's own.
	UpTo uint64
	// Stands is true where the record is known to stand in the stream.
	Stands bool
}

// PeerBatchReceived brings a batch from another scheduler.
type PeerBatchReceived struct {
	// Ask is to be answered with a batch; 0 where the batch is itself an answer.
	Ask   AskID
	Batch *schedulerv1.PeerBatch
}

// CreateAsked asks for a program.
type CreateAsked struct {
	Ask     AskID
	Request *schedulerv1.CreateProgramRequest
}

// EndAsked asks for the end or the stop of a program.
type EndAsked struct {
	Ask     AskID
	Request *schedulerv1.EndProgramRequest
}

// GetAsked asks for a program's record.
type GetAsked struct {
	Ask     AskID
	Request *schedulerv1.GetProgramRequest
}

// HistoryAsked asks for a program's turns.
type HistoryAsked struct {
	Ask     AskID
	Request *schedulerv1.ReadHistoryRequest
}

// ListAsked asks for the programs that this process leads.
type ListAsked struct {
	Ask     AskID
	Request *schedulerv1.ListProgramsRequest
}

// ExplainAsked asks for the decisions about a call.
type ExplainAsked struct {
	Ask     AskID
	Request *schedulerv1.ExplainCallRequest
}

// StatusAsked asks for the process's own status.
type StatusAsked struct{ Ask AskID }

// CallAsked asks for a call's stream.
type CallAsked struct {
	Ask     AskID
	Request *schedulerv1.CallRequest
}

// FirstChunkArrived tells that a running call has sent its first chunk.
type FirstChunkArrived struct{ Run RunKey }

// RunEnd says how a run at a back end ended.
type RunEnd int

// Ends of a run.
const (
	// RunCompleted: the whole answer has arrived.
	RunCompleted RunEnd = iota
	// RunNotRun: the back end refused the call before any effect.
	RunNotRun
	// RunLost: nobody can tell whether or how far the call ran.
	RunLost
	// RunTimedOut: the deadline passed with no answer.
	RunTimedOut
	// RunAbandoned: this process stopped following the run.
	RunAbandoned
)

// RunEnded brings the end of a run at a back end.
type RunEnded struct {
	Run          RunKey
	End          RunEnd
	FinishReason string
	PromptTokens uint32
	CachedTokens uint32
	OutputTokens uint32
	Detail       string
}

// EngineReported brings an engine's load report.
type EngineReported struct {
	Engine string
	Report outside.LoadReport
}

// EngineSilent tells that an engine has not answered for its report.
type EngineSilent struct{ Engine string }

// LoadRefused tells that an engine did not take an order to load an adapter.
type LoadRefused struct {
	Engine  string
	Adapter string
}

// StopOrdered begins a planned stop.
type StopOrdered struct{}

// Tick lets time pass.
type Tick struct{}

// RunKey names one attempt of one call within the process.
type RunKey struct {
	Program   string
	RequestID string
	Attempt   uint32
}

// millisecondsOf converts a duration to the wire's milliseconds.
func millisecondsOf(duration time.Duration) uint32 {
	return uint32(duration / time.Millisecond)
}

func (ConfigurationChanged) event() {}
func (FreshnessChanged) event()     {}
func (MachinesListed) event()       {}
func (StreamRead) event()           {}
func (StreamAppended) event()       {}
func (PeerBatchReceived) event()    {}
func (CreateAsked) event()          {}
func (EndAsked) event()             {}
func (GetAsked) event()             {}
func (HistoryAsked) event()         {}
func (ListAsked) event()            {}
func (ExplainAsked) event()         {}
func (StatusAsked) event()          {}
func (CallAsked) event()            {}
func (FirstChunkArrived) event()    {}
func (RunEnded) event()             {}
func (EngineReported) event()       {}
func (EngineSilent) event()         {}
func (LoadRefused) event()          {}
func (StopOrdered) event()          {}
func (Tick) event()                 {}
