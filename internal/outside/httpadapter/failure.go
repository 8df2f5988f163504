package httpadapter

import (
	"fmt"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/wire"
)

// Failure is every error of the adapters, but for those of a caller's own
// receive function.
type Failure struct {
	// Operation is the path asked for, Address the back end's.
	Operation string
	Address   string
	// Status and Code are the back end's answer, 0 and empty without one.
	Status int
	Code   wire.ErrorCode
	// Kinds are the platform package's errors that the failure is.
	Kinds []error
	// Cause is what was seen.
	Cause error
}

// Error tells the operation, kind and cause on one line.
func (failure *Failure) Error() string {
	return fmt.Sprintf("%s at %s: %v: %v", failure.Operation, failure.Address, failure.Kinds[0], failure.Cause)
}

// Unwrap lets errors.Is find the kinds and the cause.
func (failure *Failure) Unwrap() []error {
	return append(append([]error{}, failure.Kinds...), failure.Cause)
}

// target names one exchange for its failures.
type target struct {
	operation string
	address   string
}

func (place target) failure(cause error, kinds ...error) *Failure {
	return &Failure{Operation: place.operation, Address: place.address, Kinds: kinds, Cause: cause}
}

// notRun is the failure of a request that was never sent.
func (place target) notRun(cause error) *Failure {
	return place.failure(cause, outside.ErrNotRun)
}

// unknown is the failure of a request whose answer was lost.
func (place target) unknown(cause error) *Failure {
	return place.failure(cause, outside.ErrOutcomeUnknown)
}

// malformed is the failure of an answer that can't be understood.
func (place target) malformed(cause error) *Failure {
	return place.failure(cause, outside.ErrOutcomeUnknown, outside.ErrMalformedAnswer)
}

// refused is the failure that a back end told.
func (place target) refused(status int, told wire.Error) *Failure {
	cause := fmt.Errorf("status %d %s: %s", status, told.Code, told.Message)
	var failure *Failure
	switch {
	case told.Code == wire.CodeStaleFence:
		failure = place.failure(cause, outside.ErrStaleFence, outside.ErrNotRun)
	case told.NotRun:
		failure = place.notRun(cause)
	default:
		failure = place.unknown(cause)
	}
	failure.Status = status
	failure.Code = told.Code
	return failure
}
