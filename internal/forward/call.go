// Package forward takes one opaque call its way: route, reservation, engine,
// answer. A call is relayed as bytes; what the product needs of it stands in
// typed fields that the interface's translation fills in.
package forward

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/tenant"
)

// Call is a request of a caller.
type Call struct {
	// ID names this attempt of the caller; each attempt has its own.
	ID     string
	Method string
	Host   string
	// Target is the path with its query, as the caller sent it.
	Target string
	Path   string
	// Header holds what is passed on to an engine.
	Header http.Header
	Body   []byte

	// Key proves the tenant that sends the call; empty where it carries none that can
	// be read.
	Key string
	// Tenant is the name of that tenant, once the key has been looked up; empty where
	// there is none.
	Tenant string

	Received time.Time
	// Deadline is when the caller gives up; zero where it did not say.
	Deadline time.Time

	// Program, Session and Turn are set for calls of agent programs.
	Program string
	Session string
	// SoftDeadline is when the program should be over; zero where it does not say.
	SoftDeadline time.Time
	// Turn is nil for a call that is no turn of a program.
	Turn *TurnRequest
	// Resumes is true where the caller continues a stream it has a part of.
	Resumes bool
	// SharedPrompt names the parts of the prompt that others share.
	SharedPrompt string
}

// TurnRequest is what a call says as a turn of a program.
type TurnRequest struct {
	// Budget is what the program may spend over all turns, tokens; Unlimited
	// where the caller names no bound.
	Budget int64
	// MaxTokens is what the turn may emit, tokens.
	MaxTokens int64
	// PromptTokens is the length of its prompt, tokens; 0 where the caller does not say.
	PromptTokens int64
	// Previous is the turn to go on from, empty at the start.
	Previous string
}

// Unlimited is the budget of a program that names none.
const Unlimited = math.MaxInt64 / 4

// ProgramName names the call's program with its tenant.
func (call *Call) ProgramName() tenant.Program {
	return tenant.Program{Tenant: call.Tenant, ID: call.Program}
}

// ResponseWriter takes what the caller gets. Its methods are called from one goroutine,
// Fail alone or Begin first.
type ResponseWriter interface {
	// Begin sends status and headers.
	Begin(status int, header http.Header) error
	// Write sends bytes of the body at once.
	Write(data []byte) error
	// End completes the answer.
	End()
	// Abort ends an answer that has begun so that it can't be taken for whole.
	Abort()
	// Fail answers with a result code in place of an engine's answer.
	Fail(err error)
}

// Attempt is one sending of a call to an engine.
type Attempt struct {
	Call   *Call
	Engine backend.Instance
	// Body is the call's body, with the chain of turns before it where the
	// route keeps them.
	Body []byte
	// Remaining is how long the engine may work.
	Remaining time.Duration
	// Streaming is true on a streaming route.
	Streaming bool
	// Priority is 0 for the most urgent calls.
	Priority int
	// MaxConnections bounds this node's connections to the engine, MaxSharedConnections
	// those of a node that sends for many; 0 is no bound.
	MaxConnections       int
	MaxSharedConnections int
	// Delegated is true while another node sends the request: what becomes of it at the
	// engine is that node's to count.
	Delegated atomic.Bool
	// Frozen tells whether the process was frozen since the engine was chosen; nil where that
	// is not known. Nothing is sent then.
	Frozen func() bool
}

// EngineResponse is an engine's answer.
type EngineResponse struct {
	Status int
	Header http.Header
	// NotRun is true where the engine says that it did not run the request.
	NotRun bool
	// Misdirected is true where another engine has the address.
	Misdirected bool
	// Via is the node that sent the attempt for this one, empty where none did.
	Via string
	// Body ends with io.EOF only where the answer is whole. Closing it before
	// that closes the connection, and the engine stops.
	Body io.ReadCloser
}

// Sender sends attempts to engines. Errors are backend.ErrNotSent where the
// engine got nothing, otherwise the request may have run. The exchange ends
// when ctx does.
type Sender interface {
	Send(ctx context.Context, attempt *Attempt) (*EngineResponse, error)
}
