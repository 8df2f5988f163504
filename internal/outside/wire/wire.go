// Package wire declares the paths and JSON bodies of the HTTP interfaces to external
// systems, as specified in docs/INTERFACES.md. Byte strings are encoded as base64.
// Field names give the units of durations.
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

// Types of server-sent events in a generation stream.
const (
	EventChunk = "chunk"
	EventError = "error"
)

// ErrorCode is the reason why a request failed.
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
	// CodeExpired means that the request ran and its output is no longer stored.
	CodeExpired  ErrorCode = "expired"
	CodeInternal ErrorCode = "internal"
)

// Error is the body of a response with status 400 or above.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// NotRun is true if the request had no effect.
	NotRun bool `json:"not_run"`
}

// Fence identifies the lease under which a command is sent.
type Fence struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// GenerateRequest is the request body of PathGenerate. The response is a stream of
// server-sent events: EventChunk with a Chunk, or EventError with an Error.
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

// Chunk is one chunk of a generation.
type Chunk struct {
	Sequence     uint64 `json:"sequence"`
	Text         string `json:"text,omitempty"`
	Tokens       int    `json:"tokens,omitempty"`
	Finish       string `json:"finish,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
	OutputTokens int    `json:"output_tokens,omitempty"`
}

// CancelRequest is the request body of PathCancel.
type CancelRequest struct {
	RequestID string `json:"request_id"`
	Fence     Fence  `json:"fence"`
}

// ProgramRequest is the request body of PathRelease and PathExport.
type ProgramRequest struct {
	Program string `json:"program"`
	Fence   Fence  `json:"fence"`
}

// BlocksResponse is the response body of PathRelease and PathImport: the number of blocks
// freed or imported.
type BlocksResponse struct {
	Blocks int `json:"blocks"`
}

// ExportResponse is the response body of PathExport.
type ExportResponse struct {
	Content []byte `json:"content"`
}

// ImportRequest is the request body of PathImport.
type ImportRequest struct {
	Program string `json:"program"`
	Content []byte `json:"content"`
	Fence   Fence  `json:"fence"`
}

// LoadRequest is the request body of PathLoad. A successful response means that loading
// was accepted; the load report shows when it is complete.
type LoadRequest struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version"`
	Fence   Fence  `json:"fence"`
}

// RoleRequest is the request body of PathRole.
type RoleRequest struct {
	Role  string `json:"role"`
	Fence Fence  `json:"fence"`
}

// Empty is the response body of commands without a result.
type Empty struct{}

// CacheEvent is one change to a program's cached blocks.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Program  string `json:"program"`
	Blocks   int    `json:"blocks"`
}

// EventsResponse is the response body of GET PathEvents.
type EventsResponse struct {
	Events []CacheEvent `json:"events"`
}

// LoadReport is the response body of GET PathReport. An engine that numbers its cache
// changes returns the latest number as Sequence. For a request with ParameterAfter it may
// restrict ProgramBlocks to the programs that changed after that number. It then returns
// the number as Since, and lists programs that no longer have blocks with 0.
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

// AppendRequest is the request body of PathLogAppend.
type AppendRequest struct {
	Stream string `json:"stream"`
	Data   []byte `json:"data"`
}

// AppendResponse is the response body of PathLogAppend. Offset is a pointer to distinguish 0
// from a missing field.
type AppendResponse struct {
	Offset *uint64 `json:"offset"`
}

// Record is one record of a log stream.
type Record struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadResponse is the response body of GET PathLogRead.
type ReadResponse struct {
	Records []Record `json:"records"`
}

// StreamsResponse is the response body of GET PathLogStreams.
type StreamsResponse struct {
	Streams []StreamState `json:"streams"`
}

// StreamState is a stream and the offset of its next record.
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

// MachinesResponse is the response body of GET PathMachines.
type MachinesResponse struct {
	Machines []Machine `json:"machines"`
}

// ReserveRequest is the request body of PathWeightsReserve.
type ReserveRequest struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

// ReserveResponse is the response body of PathWeightsReserve. If Granted is false,
// WaitMillis is the delay before the next attempt.
type ReserveResponse struct {
	Granted    bool  `json:"granted"`
	WaitMillis int64 `json:"wait_ms"`
}

// ToolRequest is the request body of PathToolCall.
type ToolRequest struct {
	RequestID  string `json:"request_id"`
	Program    string `json:"program"`
	Service    string `json:"service"`
	Input      string `json:"input"`
	Repeatable bool   `json:"repeatable"`
}

// ToolResponse is the response body of PathToolCall. Output is a pointer to distinguish an
// empty output from a missing field.
type ToolResponse struct {
	Output *string `json:"output"`
}
