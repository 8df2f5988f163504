package httpserver

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// ErrorBody is the JSON body of every answer that is not a success:
// {"error": {...}}.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail names a result by number and name, with a message for people.
type ErrorDetail struct {
	Code    resultcode.Code `json:"code"`
	Name    string          `json:"name"`
	Type    string          `json:"type"`
	Message string          `json:"message"`
	// RetryAfterMillis is when to come back, where a retry can help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// WriteError answers with err's result code: its HTTP status, the JSON body,
// and Retry-After (whole seconds, rounded up) where a retry can help. An error
// without a code is answered as Internal, its text withheld.
func WriteError(writer http.ResponseWriter, err error) {
	WriteErrorIn(writer, err, retryAfterSeconds)
}

// WriteErrorIn is WriteError with another form of Retry-After.
func WriteErrorIn(writer http.ResponseWriter, err error, retryAfter func(time.Duration) string) {
	failure := asFailure(err)
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	if failure.RetryAfter > 0 {
		header.Set("Retry-After", retryAfter(failure.RetryAfter))
	}
	content := errorContent(failure)
	header.Set("Content-Length", strconv.Itoa(len(content)))
	writer.WriteHeader(resultcode.Lookup(failure.Code).Status)
	_, _ = writer.Write(content)
}

// NewErrorDetail returns the JSON form of err, as WriteError sends it.
func NewErrorDetail(err error) ErrorDetail {
	failure := asFailure(err)
	name := failure.Code.String()
	return ErrorDetail{
		Code:             failure.Code,
		Name:             name,
		Type:             name,
		Message:          failure.Message,
		RetryAfterMillis: failure.RetryAfter.Milliseconds(),
	}
}

func errorContent(failure *resultcode.Error) []byte {
	content, err := json.Marshal(ErrorBody{Error: NewErrorDetail(failure)})
	if err != nil {
		return []byte(`{"error":{"code":9001,"name":"INTERNAL"}}`)
	}
	return content
}

func asFailure(err error) *resultcode.Error {
	var failure *resultcode.Error
	if errors.As(err, &failure) {
		return failure
	}
	return resultcode.New(resultcode.Internal, "internal fault")
}

func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}

func headerTooLarge(limits *Limits) *resultcode.Error {
	return resultcode.New(resultcode.BadRequest, "request headers are over %d bytes", limits.MaxHeaderBytes)
}

func bodyTooLarge(limits *Limits) *resultcode.Error {
	return resultcode.New(resultcode.BodyTooLarge, "request body is over %d bytes", limits.MaxBodyBytes)
}

func tooManyCalls(limits *Limits) *resultcode.Error {
	failure := resultcode.New(resultcode.TooManyConnections, "%d calls are under way already", limits.MaxInFlight)
	return failure.After(limits.RetryAfter)
}

func tooManyConnections(limits *Limits) *resultcode.Error {
	failure := resultcode.New(resultcode.TooManyConnections, "%d connections are open already", limits.MaxConnections)
	return failure.After(limits.RetryAfter)
}

func bodiesTooLarge(limits *Limits) *resultcode.Error {
	failure := resultcode.New(resultcode.TooManyConnections, "the requests under way hold all the memory that is kept for their bodies")
	return failure.After(limits.RetryAfter)
}

// refuse answers a request that is not whole, drops all further input and
// closes the connection soon after. With an earlier request still under way
// the connection is closed without an answer, which would mix with the other.
func (connection *connection) refuse(failure *resultcode.Error) {
	if connection.discarding.Swap(true) {
		return
	}
	if connection.calls.Load() > 0 {
		connection.close()
		return
	}
	connection.writeRefusal(rawResponse(failure))
	connection.setReadTimeout(lingerTimeout)
}

// writeRefusal sends a short answer. Without TLS it runs on the poller and so
// must not wait for the client, as boundedConn does.
func (connection *connection) writeRefusal(answer []byte) {
	if connection.secure != nil {
		_, _ = connection.secure.Write(answer)
		return
	}
	_, _ = connection.socket.Write(answer)
}

// rawResponse is a whole HTTP response for use outside a handler.
func rawResponse(failure *resultcode.Error) []byte {
	content := errorContent(failure)
	status := resultcode.Lookup(failure.Code).Status
	var response bytes.Buffer
	fmt.Fprintf(&response, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	fmt.Fprintf(&response, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(content))
	if failure.RetryAfter > 0 {
		fmt.Fprintf(&response, "Retry-After: %s\r\n", retryAfterSeconds(failure.RetryAfter))
	}
	response.WriteString("Connection: close\r\n\r\n")
	response.Write(content)
	return response.Bytes()
}
