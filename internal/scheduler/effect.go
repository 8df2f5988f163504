package scheduler

import (
	"time"

	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/shard"
	"github.com/magpielug/magpielug/internal/stream"
)

// Effect is an output of Core.Step that the loop executes.
type Effect interface{ effect() }

// Reply answers a request other than a call.
type Reply struct {
	To      ReplyID
	Message proto.Message
}

// Follow attaches a caller to a call's stream.
type Follow struct {
	ReplyTo ReplyID
	Turn    uint32
	Buffer  *stream.Buffer
}

// Decline rejects a call request.
type Decline struct {
	ReplyTo ReplyID
	Error   *schedulerv1.Error
}

// SendPeer sends a batch to another scheduler.
type SendPeer struct {
	Process string
	Address string
	Batch   *schedulerv1.PeerBatch
}

// TurnsReply answers a HistoryRequested. The receiver decodes the turns.
type TurnsReply struct {
	ReplyTo ReplyID
	Turns   []shard.StoredTurn
}

// RunModelCall sends a call to an engine, or attaches to a running one.
type RunModelCall struct {
	Run     RunKey
	Address string
	// Request has no prompt yet. The executor builds it from Prompt, because a long history
	// would block the control goroutine.
	Request outside.GenerateRequest
	Prompt  shard.Prompt
	Buffer  *stream.Buffer
	// Offset is the number of chunks in the buffer that come from earlier attempts.
	Offset uint64
	// DecidedAt is the core's time at which the engine was last known to accept the call.
	DecidedAt time.Duration
}

// RunToolCall sends a call to a tool service.
type RunToolCall struct {
	Run      RunKey
	Address  string
	Request  outside.ToolRequest
	Deadline time.Duration
	Buffer   *stream.Buffer
	// DecidedAt is the core's time at which the back end was last known to accept the call.
	DecidedAt time.Duration
}

// StopRun stops following a run. With AtBackEnd, the engine cancels it too; otherwise it
// continues, so that another leader can attach to it.
type StopRun struct {
	Run       RunKey
	AtBackEnd bool
	Address   string
	Fence     outside.Fence
}

// ReleaseCache commands an engine to free a program's cache blocks.
type ReleaseCache struct {
	Address string
	Program string
	Fence   outside.Fence
}

// LoadAdapter commands an engine to load an adapter for its current model version. It is sent
// once; a LoadRefused follows if the engine rejects it.
type LoadAdapter struct {
	Engine  string
	Address string
	Model   string
	Version string
	Adapter string
	Fence   outside.Fence
}

// SetRole commands an engine to change its role.
type SetRole struct {
	Engine  string
	Address string
	Role    string
	Fence   outside.Fence
}

// PollEngines replaces the set of engines that are polled for load reports.
type PollEngines struct{ Engines []EngineAddress }

// PollEngineNow polls an engine ahead of schedule because a call on it has failed.
type PollEngineNow struct{ Engine EngineAddress }

// EngineAddress identifies an engine and its network address.
type EngineAddress struct {
	Engine  string
	Address string
}

// ReadStream reads a shard's stream in the platform's log, starting at an offset.
type ReadStream struct {
	Shard uint32
	From  uint64
}

// AppendStream appends a record to a shard's stream.
type AppendStream struct {
	Shard uint32
	Data  []byte
	// UpTo is the index of the record's last entry, or 0 for a claim.
	UpTo uint64
}

// ReadMachines reads the machine list immediately; a MachinesListed follows.
type ReadMachines struct{}

// Logged writes an event to the process's log.
type Logged struct {
	Event   string
	Shard   uint32
	Program string
	Request string
	Detail  string
}

func (Reply) effect()         {}
func (Follow) effect()        {}
func (Decline) effect()       {}
func (SendPeer) effect()      {}
func (TurnsReply) effect()    {}
func (RunModelCall) effect()  {}
func (RunToolCall) effect()   {}
func (PollEngineNow) effect() {}
func (StopRun) effect()       {}
func (ReleaseCache) effect()  {}
func (LoadAdapter) effect()   {}
func (SetRole) effect()       {}
func (PollEngines) effect()   {}
func (ReadStream) effect()    {}
func (AppendStream) effect()  {}
func (ReadMachines) effect()  {}
func (Logged) effect()        {}
