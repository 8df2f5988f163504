package scheduler

import (
	"time"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/outside"
)

// Event is an input of Core.Step.
type Event interface{ event() }

// ReplyID matches a reply with its request within one process.
type ReplyID uint64

// ConfigurationView is the core's read access to the current configuration.
type ConfigurationView interface {
	Version() uint64
	Tier(tenant, name string) (*operatorv1.Tier, bool)
	Service(name string) (*operatorv1.Service, bool)
	Kind(name string) (*operatorv1.ProgramKind, bool)
	Policy() *operatorv1.SchedulingPolicy
	Drained(backEnd string) bool
}

// ConfigurationChanged delivers a newer configuration.
type ConfigurationChanged struct{ View ConfigurationView }

// FreshnessChanged reports whether the configuration is known to be current.
type FreshnessChanged struct{ Fresh bool }

// MachinesListed delivers the platform's machine list, whether or not it has changed.
type MachinesListed struct {
	Machines []outside.Machine
	// RequestedAt is the core's time at which the list was requested.
	RequestedAt time.Duration
}

// StreamRead delivers the next records of a shard's stream in the platform's log.
type StreamRead struct {
	Shard uint32
	// From is the offset in the ReadStream.
	From    uint64
	Records []outside.Record
	// AtEnd is true if the stream has no further records.
	AtEnd bool
	// Failed is true if the log did not answer.
	Failed bool
}

// StreamAppended reports the result of an AppendStream.
type StreamAppended struct {
	Shard uint32
	// UpTo is the index in the AppendStream.
	UpTo uint64
	// Acknowledged is true if the log has confirmed the append.
	Acknowledged bool
}

// PeerBatchReceived delivers a batch from another scheduler.
type PeerBatchReceived struct {
	// ReplyTo identifies the reply, which is also a batch; 0 if this batch is itself a reply.
	ReplyTo ReplyID
	Batch   *schedulerv1.PeerBatch
}

// CreateRequested requests a new program.
type CreateRequested struct {
	ReplyTo ReplyID
	Request *schedulerv1.CreateProgramRequest
}

// EndRequested requests the end or the stop of a program.
type EndRequested struct {
	ReplyTo ReplyID
	Request *schedulerv1.EndProgramRequest
}

// GetRequested requests a program's record.
type GetRequested struct {
	ReplyTo ReplyID
	Request *schedulerv1.GetProgramRequest
}

// HistoryRequested requests a program's turns.
type HistoryRequested struct {
	ReplyTo ReplyID
	Request *schedulerv1.ReadHistoryRequest
}

// ListRequested requests the programs of the shards led by this process.
type ListRequested struct {
	ReplyTo ReplyID
	Request *schedulerv1.ListProgramsRequest
}

// ExplainRequested requests the decisions about a call.
type ExplainRequested struct {
	ReplyTo ReplyID
	Request *schedulerv1.ExplainCallRequest
}

// StatusRequested requests the status of the process.
type StatusRequested struct{ ReplyTo ReplyID }

// CallRequested requests a call's stream.
type CallRequested struct {
	ReplyTo ReplyID
	Request *schedulerv1.CallRequest
}

// FirstChunkArrived reports the first chunk of a running call.
type FirstChunkArrived struct{ Run RunKey }

// RunEnd is the way in which a run at a back end ended.
type RunEnd int

// Values of RunEnd.
const (
	// RunCompleted: the complete output has arrived.
	RunCompleted RunEnd = iota
	// RunNotRun: the back end refused the call before it had any effect.
	RunNotRun
	// RunLost: it is unknown whether or how far the call ran.
	RunLost
	// RunTimedOut: there was no answer before the deadline.
	RunTimedOut
	// RunAbandoned: this process stopped following the run.
	RunAbandoned
)

// RunEnded reports the end of a run at a back end.
type RunEnded struct {
	Run          RunKey
	End          RunEnd
	FinishReason string
	PromptTokens uint32
	CachedTokens uint32
	OutputTokens uint32
	Detail       string
}

// EngineReported delivers an engine's load report.
type EngineReported struct {
	Engine string
	Report outside.LoadReport
}

// EngineUnresponsive reports that an engine does not answer polls.
type EngineUnresponsive struct{ Engine string }

// LoadRefused reports that an engine rejected a command to load an adapter.
type LoadRefused struct {
	Engine  string
	Adapter string
}

// StopRequested starts a planned stop.
type StopRequested struct{}

// Tick runs the core's timers.
type Tick struct{}

// RunKey identifies one attempt of one call.
type RunKey struct {
	Program   string
	RequestID string
	Attempt   uint32
}

// millisecondsOf converts a duration to the wire format.
func millisecondsOf(duration time.Duration) uint32 {
	return uint32(duration / time.Millisecond)
}

func (ConfigurationChanged) event() {}
func (FreshnessChanged) event()     {}
func (MachinesListed) event()       {}
func (StreamRead) event()           {}
func (StreamAppended) event()       {}
func (PeerBatchReceived) event()    {}
func (CreateRequested) event()      {}
func (EndRequested) event()         {}
func (GetRequested) event()         {}
func (HistoryRequested) event()     {}
func (ListRequested) event()        {}
func (ExplainRequested) event()     {}
func (StatusRequested) event()      {}
func (CallRequested) event()        {}
func (FirstChunkArrived) event()    {}
func (RunEnded) event()             {}
func (EngineReported) event()       {}
func (EngineUnresponsive) event()   {}
func (LoadRefused) event()          {}
func (StopRequested) event()        {}
func (Tick) event()                 {}
