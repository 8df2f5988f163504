// Package forward runs calls: it selects the route, reserves turns with the program's owner,
// chooses an engine, sends the request and relays the response. Calls are opaque bytes; what
// scheduling needs to know of them is in typed fields that the HTTP interface fills in.
package forward

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/quarantine"
	"github.com/magpielug/magpielug/internal/spending"
	"github.com/magpielug/magpielug/internal/tenant"
)

// Call is one request of a caller.
type Call struct {
	// ID identifies the request; a caller's retry has a new one.
	ID     string
	Method string
	Host   string
	// Target is the path and query as the caller sent them.
	Target string
	Path   string
	// Header holds the headers that are sent to the engine.
	Header http.Header
	Body   []byte

	// Key is the credential of the tenant that sends the call, empty if there is none or it
	// cannot be parsed.
	Key string
	// Tenant is the name of the tenant that Key identifies, set when Key is looked up; empty if
	// there is none.
	Tenant string

	Received time.Time
	// Deadline is when the caller stops waiting; zero if unknown.
	Deadline time.Time

	// Program, Session and Turn are set for calls of agent programs.
	Program string
	Session string
	// SoftDeadline is when the program should be complete; zero if unset.
	SoftDeadline time.Time
	// Turn is nil if the call is not a turn of a program.
	Turn *TurnRequest
	// Resumes is true if the caller resumes a stream of which it has received a part. FirstAttempt is
	// then the ID of the request that brought the stream's first event, empty if the caller does not
	// name it.
	Resumes      bool
	FirstAttempt string
	// SharedPrompt identifies the parts of the prompt that other calls share.
	SharedPrompt string
}

// TurnRequest holds the parameters of a turn.
type TurnRequest struct {
	// Budget is the number of tokens that the program may use over all turns; Unlimited if the
	// caller sets no limit.
	Budget int64
	// MaxTokens is the number of tokens that the turn may generate.
	MaxTokens int64
	// PromptTokens is the length of the prompt in tokens; 0 if unknown.
	PromptTokens int64
	// Previous is the ID of the turn that this one continues, empty for the first one.
	Previous string
}

// Unlimited is the budget of a program without a limit.
const Unlimited = spending.Unlimited

// ProgramName returns the call's program qualified by its tenant.
func (call *Call) ProgramName() tenant.Program {
	return tenant.Program{Tenant: call.Tenant, ID: call.Program}
}

// ResponseWriter sends the response to the caller. Its methods are called from one goroutine:
// either Fail alone, or Begin first.
type ResponseWriter interface {
	// Begin sends the status and headers.
	Begin(status int, header http.Header) error
	// Write sends a part of the body without delay.
	Write(data []byte) error
	// End completes the response.
	End()
	// Abort ends a started response so that the caller cannot mistake it for complete. It
	// panics with http.ErrAbortHandler.
	Abort()
	// Fail responds with a result code instead of an engine's response.
	Fail(err error)
}

// Attempt is one attempt to send a call to an engine.
type Attempt struct {
	Call   *Call
	Engine backend.Instance
	// Identity is what is the same in all tries of the request, the zero value if nothing is held against
	// requests.
	Identity quarantine.Identity
	// Body is the call's body, preceded by the chain of previous turns on routes that store them.
	Body []byte
	// Remaining is the engine's time limit.
	Remaining time.Duration
	// Streaming is true on a streaming route.
	Streaming bool
	// Priority is 0 for the highest priority.
	Priority int
	// MaxConnections limits this node's connections to the engine, MaxSharedConnections those of
	// an egress node; 0 is unlimited.
	MaxConnections       int
	MaxSharedConnections int
	// Delegated is true while another node sends the request. That node counts the engine's
	// failures.
	Delegated atomic.Bool
	// Frozen reports whether the process was frozen since the engine was chosen. If so, the
	// request must not be sent. It is nil if unknown.
	Frozen func() bool
}

// EngineResponse is an engine's response.
type EngineResponse struct {
	Status int
	Header http.Header
	// NotRun is true if the engine reports that it did not run the request.
	NotRun bool
	// Misdirected is true if the address now belongs to another engine.
	Misdirected bool
	// Via is the node to which the attempt was delegated, empty if it was not.
	Via string
	// Body returns io.EOF only if the response is complete. Closing it earlier closes the
	// connection, and the engine stops working.
	Body io.ReadCloser
}

// Sender sends attempts to engines. An error other than backend.ErrNotSent means that the engine
// may have run the request. The exchange is canceled when ctx is done.
type Sender interface {
	Send(ctx context.Context, attempt *Attempt) (*EngineResponse, error)
}
