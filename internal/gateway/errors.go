package gateway

import (
	"encoding/json"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// convertSchedulerError converts a scheduler's error for the caller. The
// message for an unknown program is fixed, so that it does not reveal whether
// another tenant has that program.
func convertSchedulerError(failure *schedulerv1.Error) *resultcode.Error {
	code := resultcode.Code(failure.GetCode())
	if code == resultcode.UnknownProgram {
		return unknownProgramError()
	}
	wait := time.Duration(failure.GetRetryAfterMs()) * time.Millisecond
	return resultcode.New(code, "%s", failure.GetMessage()).WithRetryAfter(wait)
}

func unknownProgramError() *resultcode.Error {
	return resultcode.New(resultcode.UnknownProgram, "no such program under this key")
}

// encodeError returns the JSON encoding of an error event.
func encodeError(failure error) ([]byte, error) {
	return json.Marshal(httpserver.ErrorBody{Error: httpserver.NewErrorDetail(failure)})
}
