package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
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

// writeJSON answers with a whole JSON value.
func writeJSON(writer http.ResponseWriter, status int, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(content)))
	writer.WriteHeader(status)
	if _, err := writer.Write(content); err != nil {
		return errCallerGone
	}
	return nil
}
