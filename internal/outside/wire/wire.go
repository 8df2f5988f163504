// Package wire declares the JSON bodies that magpielug's HTTP adapters and the
// stand-ins of the platform exchange. The paths and shapes stand on one page in
// docs/INTERFACES.md. Durations are whole milliseconds, byte strings base64.
package wire

// Paths of a model engine.
const (
	PathGenerate = "/v1/generate"
	PathCancel   = "/v1/cancel"
	PathRelease  = "/v1/release"
	PathExport   = "/v1/export"
	PathImport   = "/v1/import"
	PathLoad     = "/v1/load"
	PathRole     = "/v1/role"
	PathEvents   = "/v1/events"
	PathReport   = "/v1/report"
)

// Paths of the other services.
const (
	PathLogAppend      = "/v1/append"
	PathLogRead        = "/v1/read"
	PathLogStreams     = "/v1/streams"
	PathMachines       = "/v1/machines"
	PathWeightsReserve = "/v1/reserve"
	PathToolCall       = "/v1/call"
)

// Query parameters.
const (
	ParameterStream  = "stream"
	ParameterOffset  = "offset"
	ParameterLimit   = "limit"
	ParameterAfter   = "after"
	ParameterModel   = "model"
	ParameterVersion = "version"
)

// Names of server-sent events of a generation.
const (
	EventChunk = "chunk"
	EventError = "error"
)

// ErrorCode names why a request failed.
type ErrorCode string

// Error codes.
const (
	CodeBadRequest  ErrorCode = "bad_request"
	CodeNotFound    ErrorCode = "not_found"
	CodeMismatch    ErrorCode = "request_mismatch"
	CodeStaleFence  ErrorCode = "stale_fence"
	CodeUnavailable ErrorCode = "unavailable"
	CodeLeaving     ErrorCode = "leaving"
	CodeWrongModel  ErrorCode = "wrong_model"
	CodeOverloaded  ErrorCode = "overloaded"
	CodeCancelled   ErrorCode = "cancelled"
	// CodeExpired says that the request ran and its output is no longer kept.
	CodeExpired  ErrorCode = "expired"
	CodeInternal ErrorCode = "internal"
)

// Error is the body of every answer with a status of 400 or more.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// NotRun is true when the request had no effect.
	NotRun bool `json:"not_run"`
}

// Fence is the lease under which an order is given.
type Fence struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// GenerateRequest is the body of PathGenerate; the answer is a stream of
// server-sent events, each EventChunk with a Chunk or EventError with an Error.
type GenerateRequest struct {
	RequestID   string   `json:"request_id"`
	Program     string   `json:"program"`
	Model       string   `json:"model"`
	Adapter     string   `json:"adapter,omitempty"`
	Prompt      []string `json:"prompt"`
	MaxTokens   int      `json:"max_tokens"`
	Priority    int      `json:"priority"`
	Fence       Fence    `json:"fence"`
	ResumeAfter uint64   `json:"resume_after,omitempty"`
	AttachOnly  bool     `json:"attach_only,omitempty"`
}

// Chunk is one item of a generation's stream.
type Chunk struct {
	Sequence     uint64 `json:"sequence"`
	Text         string `json:"text,omitempty"`
	Tokens       int    `json:"tokens,omitempty"`
	Finish       string `json:"finish,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
	OutputTokens int    `json:"output_tokens,omitempty"`
}

// CancelRequest is the body of PathCancel.
type CancelRequest struct {
	RequestID string `json:"request_id"`
	Fence     Fence  `json:"fence"`
}

// ProgramRequest is the body of PathRelease and PathExport.
type ProgramRequest struct {
	Program string `json:"program"`
	Fence   Fence  `json:"fence"`
}

// BlocksAnswer tells how many blocks a release freed or an import took.
type BlocksAnswer struct {
	Blocks int `json:"blocks"`
}

// ExportAnswer is the answer of PathExport.
type ExportAnswer struct {
	Content []byte `json:"content"`
}

// ImportRequest is the body of PathImport.
type ImportRequest struct {
	Program string `json:"program"`
	Content []byte `json:"content"`
	Fence   Fence  `json:"fence"`
}

// LoadRequest is the body of PathLoad; the answer says that the order stands,
// the load report says when it is done.
type LoadRequest struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
	Fence   Fence  `json:"fence"`
}

// RoleRequest is the body of PathRole.
type RoleRequest struct {
	Role  string `json:"role"`
	Fence Fence  `json:"fence"`
}

// Empty is the answer of orders that tell nothing back.
type Empty struct{}

// CacheEvent is one change of a program's cached blocks.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Program  string `json:"program"`
	Blocks   int    `json:"blocks"`
}

// EventsAnswer is the answer of GET PathEvents.
type EventsAnswer struct {
	Events []CacheEvent `json:"events"`
}

// LoadReport is the answer of GET PathReport. An engine that numbers the changes
// of its cache gives the newest number as Sequence; asked with ParameterAfter it
// may leave out of ProgramBlocks the programs that have not changed after that
// number, and says so by repeating the number as Since. A program without blocks
// is then named with 0.
type LoadReport struct {
	Sequence       uint64         `json:"sequence,omitempty"`
	Since          uint64         `json:"since,omitempty"`
	Engine         string         `json:"engine"`
	Model          string         `json:"model"`
	Version        string         `json:"version"`
	Loading        bool           `json:"loading"`
	Adapters       []string       `json:"adapters"`
	Role           string         `json:"role"`
	Leaving        bool           `json:"leaving"`
	Running        int            `json:"running"`
	Waiting        int            `json:"waiting"`
	RunningLimit   int            `json:"running_limit"`
	BlocksTotal    int            `json:"blocks_total"`
	BlocksUsed     int            `json:"blocks_used"`
	BlockTokens    int            `json:"block_tokens"`
	StepMicros     int64          `json:"step_us"`
	FenceEpoch     uint64         `json:"fence_epoch"`
	ProgramBlocks  map[string]int `json:"program_blocks"`
	CachedTokens   uint64         `json:"cached_tokens"`
	PromptTokens   uint64         `json:"prompt_tokens"`
	HeldSeconds    float64        `json:"held_block_seconds"`
	WastedSeconds  float64        `json:"wasted_block_seconds"`
	IdleSeconds    float64        `json:"idle_block_seconds"`
	BlockEvictions uint64         `json:"block_evictions"`
}

// AppendRequest is the body of PathLogAppend.
type AppendRequest struct {
	Stream string `json:"stream"`
	Data   []byte `json:"data"`
}

// AppendAnswer tells the record's offset. A pointer tells 0 from a missing
// field.
type AppendAnswer struct {
	Offset *uint64 `json:"offset"`
}

// Record is one record of a log stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadAnswer is the answer of GET PathLogRead.
type ReadAnswer struct {
	Records []Record `json:"records"`
}

// StreamsAnswer is the answer of GET PathLogStreams.
type StreamsAnswer struct {
	Streams []StreamState `json:"streams"`
}

// StreamState is a stream and the offset that its next record gets.
type StreamState struct {
	Stream string `json:"stream"`
	Next   uint64 `json:"next"`
}

// Machine is one entry of the machine list.
type Machine struct {
	ID      string `json:"id"`
	Role    string `json:"role"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	State   string `json:"state"`
	Service string `json:"service,omitempty"`
}

// MachinesAnswer is the answer of GET PathMachines.
type MachinesAnswer struct {
	Machines []Machine `json:"machines"`
}

// ReserveRequest is the body of PathWeightsReserve.
type ReserveRequest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// ReserveAnswer tells whether the caller may move the weights now, or when to
// ask again.
type ReserveAnswer struct {
	Granted    bool  `json:"granted"`
	WaitMillis int64 `json:"wait_ms"`
}

// ToolRequest is the body of PathToolCall.
type ToolRequest struct {
	RequestID  string `json:"request_id"`
	Program    string `json:"program"`
	Service    string `json:"service"`
	Input      string `json:"input"`
	Repeatable bool   `json:"repeatable"`
}

// ToolAnswer is a tool's output. A pointer tells an empty output from a missing
// field.
type ToolAnswer struct {
	Output *string `json:"output"`
}
