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

// ErrorBody is the JSON body of an error response: {"error": {...}}.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a result code, with a human-readable message.
type ErrorDetail struct {
	Code    resultcode.Code `json:"code"`
	Name    string          `json:"name"`
	Type    string          `json:"type"`
	Message string          `json:"message"`
	// RetryAfterMillis is the delay before a retry; 0 if a retry does not help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// WriteError responds with the HTTP status and JSON body of err's result code, and
// with Retry-After (whole seconds, rounded up) if a retry can help. An error without
// a result code is reported as Internal, without its text.
func WriteError(writer http.ResponseWriter, err error) {
	WriteErrorWithRetryAfter(writer, err, retryAfterSeconds)
}

// WriteErrorWithRetryAfter is WriteError with a custom format of the Retry-After header.
func WriteErrorWithRetryAfter(writer http.ResponseWriter, err error, retryAfter func(time.Duration) string) {
	resultError := asResultError(err)
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	if resultError.RetryAfter > 0 {
		header.Set("Retry-After", retryAfter(resultError.RetryAfter))
	}
	content := errorContent(resultError)
	header.Set("Content-Length", strconv.Itoa(len(content)))
	writer.WriteHeader(resultcode.Lookup(resultError.Code).Status)
	_, _ = writer.Write(content)
}

// NewErrorDetail returns the JSON representation of err that WriteError sends.
func NewErrorDetail(err error) ErrorDetail {
	resultError := asResultError(err)
	name := resultError.Code.String()
	return ErrorDetail{
		Code:             resultError.Code,
		Name:             name,
		Type:             name,
		Message:          resultError.Message,
		RetryAfterMillis: resultError.RetryAfter.Milliseconds(),
	}
}

func errorContent(resultError *resultcode.Error) []byte {
	content, err := json.Marshal(ErrorBody{Error: NewErrorDetail(resultError)})
	if err != nil {
		return []byte(`{"error":{"code":9001,"name":"INTERNAL"}}`)
	}
	return content
}

func asResultError(err error) *resultcode.Error {
	var resultError *resultcode.Error
	if errors.As(err, &resultError) {
		return resultError
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

func tooManyRequests(limits *Limits) *resultcode.Error {
	resultError := resultcode.New(resultcode.TooManyConnections, "%d calls are under way already", limits.MaxInFlight)
	return resultError.WithRetryAfter(limits.RetryAfter)
}

func tooManyConnections(limits *Limits) *resultcode.Error {
	resultError := resultcode.New(resultcode.TooManyConnections, "%d connections are open already", limits.MaxConnections)
	return resultError.WithRetryAfter(limits.RetryAfter)
}

func requestBytesExhausted(limits *Limits) *resultcode.Error {
	resultError := resultcode.New(resultcode.TooManyConnections, "the requests under way hold all the memory that is kept for their bodies")
	return resultError.WithRetryAfter(limits.RetryAfter)
}

// reject sends an error response to a request that is not complete, discards further
// input and closes the connection after lingerTimeout. If an earlier request is pending,
// it closes the connection without a response, which could mix with the earlier one's.
func (connection *connection) reject(resultError *resultcode.Error) {
	if connection.discarding.Swap(true) {
		return
	}
	if connection.pendingRequests.Load() > 0 {
		connection.close()
		return
	}
	connection.writeErrorResponse(rawResponse(resultError))
	connection.setReadTimeout(lingerTimeout)
}

// writeErrorResponse sends a short response. Without TLS it bypasses boundedConn, which
// may block: it runs on the poller goroutine.
func (connection *connection) writeErrorResponse(response []byte) {
	if connection.tls != nil {
		_, _ = connection.tls.Write(response)
		return
	}
	_, _ = connection.socket.Write(response)
}

// rawResponse encodes a complete HTTP response for use outside a handler.
func rawResponse(resultError *resultcode.Error) []byte {
	content := errorContent(resultError)
	status := resultcode.Lookup(resultError.Code).Status
	var response bytes.Buffer
	fmt.Fprintf(&response, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	fmt.Fprintf(&response, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(content))
	if resultError.RetryAfter > 0 {
		fmt.Fprintf(&response, "Retry-After: %s\r\n", retryAfterSeconds(resultError.RetryAfter))
	}
	response.WriteString("Connection: close\r\n\r\n")
	response.Write(content)
	return response.Bytes()
}
