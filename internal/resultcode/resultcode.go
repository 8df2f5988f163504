// Package resultcode defines the numbered result codes that magpielug returns to
// callers, operators and other magpielug processes. A test checks the table in
// docs/RESULT_CODES.md against this package.
package resultcode

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is a result's number. The thousands digit is its category.
type Code uint32

// Result codes. The meaning of a published number never changes.
const (
	OK Code = 0

	BadRequest       Code = 1001
	BodyTooLarge     Code = 1002
	BadKey           Code = 1003
	UnknownProgram   Code = 1004
	UnknownTarget    Code = 1005
	KindNotAllowed   Code = 1006
	RequestIDReused  Code = 1007
	ProgramOver      Code = 1008
	UnknownRequest   Code = 1009
	UnknownRoute     Code = 1010
	TurnLimitReached Code = 1011
	UnknownTurn      Code = 1012

	Overloaded         Code = 2001
	BudgetExhausted    Code = 2002
	ProgramCapReached  Code = 2003
	TooManyConnections Code = 2004
	ConfigurationStale Code = 2005
	NoLeader           Code = 2006
	NotLeader          Code = 2007
	ArchiveBacklogFull Code = 2008
	NoBackEnd          Code = 2009
	Stopping           Code = 2010
	DeadlineNotRun     Code = 2011
	ResumeNotHeld      Code = 2012
	LogAway            Code = 2013
	QuotaExceeded      Code = 2014
	QuotaUnknown       Code = 2015
	NoRoom             Code = 2016
	RequestQuarantined Code = 2017
	// StreamOriginUnknown and StreamVersionLeft refuse to resume a stream.
	StreamOriginUnknown Code = 2018
	StreamVersionLeft   Code = 2019
	// RequestHeld refuses a request until other attempts of it are known to have ended well.
	RequestHeld Code = 2020

	OutcomeUnknown Code = 3001
	CallStopped    Code = 3002
	SlowReader     Code = 3003

	EngineFailed   Code = 4001
	ToolTimeout    Code = 4002
	EngineStale    Code = 4003
	EngineRejected Code = 4004

	VersionConflict      Code = 5001
	InvalidConfiguration Code = 5002
	PublishUnknown       Code = 5003
	LogUnavailable       Code = 5004
	ChangeIDReused       Code = 5005

	InvalidSettings Code = 6001
	AddressInUse    Code = 6002

	Internal        Code = 9001
	UnexpectedEvent Code = 9002
)

// Entry describes one code. Status is its HTTP status, or 0 if it is not
// returned over HTTP. Retryable means that the same request may succeed later.
type Entry struct {
	Code      Code
	Name      string
	Status    int
	Retryable bool
	Meaning   string
}

// Table lists every code in ascending order.
var Table = []Entry{
	{OK, "OK", http.StatusOK, false, "The request succeeded."},
	{BadRequest, "BAD_REQUEST", http.StatusBadRequest, false, "The body or a header can't be read; nothing ran."},
	{BodyTooLarge, "BODY_TOO_LARGE", http.StatusRequestEntityTooLarge, false, "The body is over the settings' bound; nothing ran."},
	{BadKey, "BAD_KEY", http.StatusUnauthorized, false, "The call carries no key that a tier or a tenant holds; nothing ran."},
	{UnknownProgram, "UNKNOWN_PROGRAM", http.StatusNotFound, false, "No such program under this key; nothing ran."},
	{UnknownTarget, "UNKNOWN_TARGET", http.StatusNotFound, false, "No such model, adapter or tool service; nothing ran."},
	{KindNotAllowed, "KIND_NOT_ALLOWED", http.StatusForbidden, false, "The tier may not run this kind of program, or the kind may not call this service; nothing ran."},
	{RequestIDReused, "REQUEST_ID_REUSED", http.StatusConflict, false, "The request id was used with another body; nothing ran."},
	{ProgramOver, "PROGRAM_OVER", http.StatusConflict, false, "The program has ended or was stopped; nothing ran."},
	{UnknownRequest, "UNKNOWN_REQUEST", http.StatusNotFound, false, "The program has no call with this request id; nothing ran."},
	{UnknownRoute, "UNKNOWN_ROUTE", http.StatusNotFound, false, "No such path or method."},
	{TurnLimitReached, "TURN_LIMIT_REACHED", http.StatusForbidden, false, "The program has taken all turns its kind allows; nothing ran."},
	{UnknownTurn, "UNKNOWN_TURN", http.StatusNotFound, false, "There is no such turn to go on from; nothing ran."},
	{Overloaded, "OVERLOADED", http.StatusTooManyRequests, true, "The predicted wait is over the tier's bound; not run."},
	{BudgetExhausted, "BUDGET_EXHAUSTED", http.StatusPaymentRequired, true, "The tier's budget can't cover the call; not run."},
	{ProgramCapReached, "PROGRAM_CAP_REACHED", http.StatusPaymentRequired, false, "The program's cap can't cover the call; not run."},
	{TooManyConnections, "TOO_MANY_CONNECTIONS", http.StatusServiceUnavailable, true, "The process holds as many calls as its settings allow; this sending did not run."},
	{ConfigurationStale, "CONFIGURATION_STALE", http.StatusServiceUnavailable, true, "The process can't tell whether its configuration is current; this sending did not run."},
	{NoLeader, "NO_LEADER", http.StatusServiceUnavailable, true, "The program's shard has no leader now; this sending did not run."},
	{NotLeader, "NOT_LEADER", http.StatusMisdirectedRequest, true, "Between processes: this one does not lead the shard; not run."},
	{ArchiveBacklogFull, "ARCHIVE_BACKLOG_FULL", http.StatusServiceUnavailable, true, "The log has been away so long that nothing more can be kept; this sending did not run."},
	{NoBackEnd, "NO_BACK_END", http.StatusServiceUnavailable, true, "No back end for this target takes work now; not run."},
	{Stopping, "STOPPING", http.StatusServiceUnavailable, true, "The process is stopping; this sending did not run."},
	{DeadlineNotRun, "DEADLINE_NOT_RUN", http.StatusGatewayTimeout, true, "The call's deadline passed while it waited; not run."},
	{ResumeNotHeld, "RESUME_NOT_HELD", http.StatusServiceUnavailable, true, "The beginning of this kept turn's stream is not held here, so it can't go on; send the turn anew. Not run."},
	{LogAway, "LOG_AWAY", http.StatusServiceUnavailable, true, "The platform's log answers no node, so that the turn could not be recorded; not run."},
	{QuotaExceeded, "QUOTA_EXCEEDED", http.StatusTooManyRequests, true, "The tenant's requests have reached its limit, counted over all nodes; not run."},
	{QuotaUnknown, "QUOTA_UNKNOWN", http.StatusServiceUnavailable, true, "No node that keeps the tenant's limit could be asked in time; not run."},
	{NoRoom, "NO_ROOM", http.StatusServiceUnavailable, true, "A program that begins now would not end in its aim, or would make others late; not run."},
	{RequestQuarantined, "REQUEST_QUARANTINED", http.StatusServiceUnavailable, true, "Several engines ended under requests of this content, so that it is sent to no further one for a while; this sending did not run."},
	{StreamOriginUnknown, "STREAM_ORIGIN_UNKNOWN", http.StatusServiceUnavailable, true, "No node that could be asked knows which software version began the stream, so it is not resumed; this sending did not run."},
	{StreamVersionLeft, "STREAM_VERSION_LEFT", http.StatusServiceUnavailable, true, "No engine of the software version that began the stream serves it now, so it is not resumed; this sending did not run."},
	{RequestHeld, "REQUEST_HELD", http.StatusServiceUnavailable, true, "Engines ended under requests of this content, and others may yet end under attempts that are not known to be finished; this sending did not run."},
	{OutcomeUnknown, "OUTCOME_UNKNOWN", http.StatusBadGateway, false, "The call was sent and its outcome is lost; it may have run and will not run again."},
	{CallStopped, "CALL_STOPPED", http.StatusConflict, false, "The call was cancelled because its program was stopped."},
	{SlowReader, "SLOW_READER", http.StatusRequestTimeout, true, "The caller read too slowly; the stream can be resumed."},
	{EngineFailed, "ENGINE_FAILED", http.StatusBadGateway, true, "The back end failed a repeatable call as often as the retry budget allows."},
	{ToolTimeout, "TOOL_TIMEOUT", http.StatusGatewayTimeout, false, "The tool did not answer by its deadline."},
	{EngineStale, "ENGINE_STALE", http.StatusConflict, true, "The back end refused an order that carried an older fence."},
	{EngineRejected, "ENGINE_REJECTED", http.StatusBadGateway, false, "The back end refused the call; it did not run."},
	{VersionConflict, "VERSION_CONFLICT", http.StatusConflict, false, "Another change came first; read the configuration and publish anew."},
	{InvalidConfiguration, "INVALID_CONFIGURATION", http.StatusBadRequest, false, "The configuration breaks a rule; nothing changed."},
	{PublishUnknown, "PUBLISH_UNKNOWN", http.StatusBadGateway, true, "Whether the change was accepted can't be told yet; ask again with the same change id."},
	{LogUnavailable, "LOG_UNAVAILABLE", http.StatusServiceUnavailable, true, "The platform's log does not answer; nothing changed."},
	{ChangeIDReused, "CHANGE_ID_REUSED", http.StatusConflict, false, "The change id was used with another content; nothing changed."},
	{InvalidSettings, "INVALID_SETTINGS", 0, false, "A settings key is unknown, missing or out of bounds; the process exits with 2."},
	{AddressInUse, "ADDRESS_IN_USE", 0, false, "The listen address is taken; the process exits with 2."},
	{Internal, "INTERNAL", http.StatusInternalServerError, true, "A fault of magpielug itself; see its log."},
	{UnexpectedEvent, "UNEXPECTED_EVENT", http.StatusInternalServerError, false, "Between processes: an event arrived in a state that does not take it; nothing changed."},
}

// Lookup returns the entry for code, or that of Internal if code is unknown.
func Lookup(code Code) Entry {
	for _, entry := range Table {
		if entry.Code == code {
			return entry
		}
	}
	return Lookup(Internal)
}

// String returns the code's name.
func (code Code) String() string { return Lookup(code).Name }

// Error is a result other than OK. RetryAfter is the suggested delay before a
// retry, or zero.
type Error struct {
	Code       Code
	Message    string
	RetryAfter time.Duration
}

// New returns an Error with a formatted message.
func New(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// WithRetryAfter returns a copy with RetryAfter set to wait.
func (failure *Error) WithRetryAfter(wait time.Duration) *Error {
	copied := *failure
	copied.RetryAfter = wait
	return &copied
}

// Error returns the number, name and message.
func (failure *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", failure.Code, failure.Code, failure.Message)
}

// CodeOf returns the code of the first *Error in err's chain, Internal if there
// is none, and OK if err is nil.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Code
	}
	return Internal
}
