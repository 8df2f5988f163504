package gateway

import (
	"encoding/json"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// fromScheduler turns a scheduler's error into the caller's. An unknown
// program always gets the same words, so that another tenant's program can't
// be told from one that does not exist.
func fromScheduler(failure *schedulerv1.Error) *resultcode.Error {
	code := resultcode.Code(failure.GetCode())
	if code == resultcode.UnknownProgram {
		return unknownProgram()
	}
	wait := time.Duration(failure.GetRetryAfterMs()) * time.Millisecond
	return resultcode.New(code, "%s", failure.GetMessage()).After(wait)
}

func unknownProgram() *resultcode.Error {
	return resultcode.New(resultcode.UnknownProgram, "no such program under this key")
}

// encodeFailure returns the JSON that a failure has inside a stream.
func encodeFailure(failure error) ([]byte, error) {
	return json.Marshal(httpserver.ErrorBody{Error: httpserver.NewErrorDetail(failure)})
}
