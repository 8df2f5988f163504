package httpadapter

import (
	"fmt"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/wire"
)

// Failure is the type of all errors of the adapters, except those returned by a caller's
// receive function.
type Failure struct {
	// Operation is the request path, Address the address of the back end.
	Operation string
	Address   string
	// Status and Code are those of the back end's error response; 0 and empty if there
	// is none.
	Status int
	Code   wire.ErrorCode
	// Kinds are the errors of package outside that classify the failure.
	Kinds []error
	// Cause is the underlying error.
	Cause error
}

// Error returns the operation, address, first kind and cause.
func (failure *Failure) Error() string {
	return fmt.Sprintf("%s at %s: %v: %v", failure.Operation, failure.Address, failure.Kinds[0], failure.Cause)
}

// Unwrap returns the kinds and the cause.
func (failure *Failure) Unwrap() []error {
	return append(append([]error{}, failure.Kinds...), failure.Cause)
}

// endpoint identifies the target of a request in its failures.
type endpoint struct {
	operation string
	address   string
}

func (target endpoint) failure(cause error, kinds ...error) *Failure {
	return &Failure{Operation: target.operation, Address: target.address, Kinds: kinds, Cause: cause}
}

// notRun returns the failure of a request that had no effect.
func (target endpoint) notRun(cause error) *Failure {
	return target.failure(cause, outside.ErrNotRun)
}

// outcomeUnknown returns the failure of a request that may have taken effect.
func (target endpoint) outcomeUnknown(cause error) *Failure {
	return target.failure(cause, outside.ErrOutcomeUnknown)
}

// malformed returns the failure of a request whose response is invalid.
func (target endpoint) malformed(cause error) *Failure {
	return target.failure(cause, outside.ErrOutcomeUnknown, outside.ErrMalformedResponse)
}

// errorResponse converts a back end's error response to a failure.
func (target endpoint) errorResponse(status int, wireError wire.Error) *Failure {
	cause := fmt.Errorf("status %d %s: %s", status, wireError.Code, wireError.Message)
	var failure *Failure
	switch {
	case wireError.Code == wire.CodeStaleFence:
		failure = target.failure(cause, outside.ErrStaleFence, outside.ErrNotRun)
	case wireError.NotRun:
		failure = target.notRun(cause)
	default:
		failure = target.outcomeUnknown(cause)
	}
	failure.Status = status
	failure.Code = wireError.Code
	return failure
}
