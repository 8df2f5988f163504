package scheduler

import (
	"time"

	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/shard"
	"github.com/magpielug/magpielug/internal/stream"
)

// Effect is one output of the core's step, carried out by the loop.
type Effect interface{ effect() }

// Answer answers a request other than a call.
type Answer struct {
	Ask     AskID
	Message proto.Message
}

// Follow lets a caller read a call's stream.
type Follow struct {
	Ask    AskID
	Turn   uint32
	Buffer *stream.Buffer
}

// Decline gives a call's request its final answer from this process.
type Decline struct {
	Ask   AskID
	Error *schedulerv1.Error
}

// SendPeer sends a batch to another scheduler.
type SendPeer struct {
	Process string
	Address string
	Batch   *schedulerv1.PeerBatch
}

// TurnsTaken answers a HistoryAsked; the asker decodes the turns.
type TurnsTaken struct {
	Ask   AskID
	Turns []shard.StoredTurn
}

// RunModelCall sends a call to an engine, or attaches to a running one.
type RunModelCall struct {
	Run     RunKey
	Address string
	// Request is complete but for its prompt, which the run puts together from
	// Prompt: a long history must not hold up the control goroutine.
	Request outside.GenerateRequest
	Prompt  shard.Prompt
	Buffer  *stream.Buffer
	// Offset is how many chunks of the buffer earlier attempts have given.
	Offset uint64
	// DecidedAt is when the engine was last known to take the call, on the core's clock.
	DecidedAt time.Duration
}

// RunToolCall sends a call to a tool service.
type RunToolCall struct {
	Run      RunKey
	Address  string
	Request  outside.ToolRequest
	Deadline time.Duration
	Buffer   *stream.Buffer
	// DecidedAt is when the back end was last known to take the call, on the core's clock.
	DecidedAt time.Duration
}

// StopRun cancels a run. With AtBackEnd the engine is told too; without it the
// engine goes on, for another leader to attach to.
type StopRun struct {
	Run       RunKey
	AtBackEnd bool
	Address   string
	Fence     outside.Fence
}

// ReleaseCache orders an engine to free a program's blocks.
type ReleaseCache struct {
	Address string
	Program string
	Fence   outside.Fence
}

// LoadAdapter orders an engine to load an adapter beside the model version that
// it has. It is given once; a LoadRefused follows where the engine did not take it.
type LoadAdapter struct {
	Engine  string
	Address string
	Model   string
	Version string
	Adapter string
	Fence   outside.Fence
}

// SetRole orders an engine to change its role.
type SetRole struct {
	Engine  string
	Address string
	Role    string
	Fence   outside.Fence
}

// PollEngines replaces the engines whose load reports are asked for.
type PollEngines struct{ Engines []EngineAddress }

// PollEngineSoon asks for an engine's load report without waiting for the next
// poll, since a call on it has failed.
type PollEngineSoon struct{ Engine EngineAddress }

// EngineAddress is where an engine answers.
type EngineAddress struct {
	Engine  string
	Address string
}

// ReadStream reads a shard's stream in the platform's log from an offset on.
type ReadStream struct {
	Shard uint32
	From  uint64
}

// AppendStream appends a record to a shard's stream.
type AppendStream struct {
	Shard uint32
	Data  []byte
	// UpTo is the last entry's index of a record of entries, 0 for a claim.
	UpTo uint64
}

// ReadMachines has the machine list read at once; a MachinesListed follows.
type ReadMachines struct{}

// Logged is one event for the process's log.
type Logged struct {
	Event   string
	Shard   uint32
	Program string
	Request string
	Detail  string
}

func (Answer) effect()         {}
func (Follow) effect()         {}
func (Decline) effect()        {}
func (SendPeer) effect()       {}
func (TurnsTaken) effect()     {}
func (RunModelCall) effect()   {}
func (RunToolCall) effect()    {}
func (PollEngineSoon) effect() {}
func (StopRun) effect()        {}
func (ReleaseCache) effect()   {}
func (LoadAdapter) effect()    {}
func (SetRole) effect()        {}
func (PollEngines) effect()    {}
func (ReadStream) effect()     {}
func (AppendStream) effect()   {}
func (ReadMachines) effect()   {}
func (Logged) effect()         {}
