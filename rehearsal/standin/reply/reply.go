// Package reply holds the helpers with which the stand-ins decode requests and encode
// responses.
package reply

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"

	"github.com/magpielug/magpielug/internal/outside/wire"
)

// maxBodyBytes bounds the size of a request body.
const maxBodyBytes = 8 << 20

// ErrorResponse is a response with an error body.
type ErrorResponse struct {
	Status int
	Body   wire.Error
}

// Error returns the code and message.
func (response *ErrorResponse) Error() string {
	return string(response.Body.Code) + ": " + response.Body.Message
}

// NotRun returns an error response to a request that had no effect.
func NotRun(status int, code wire.ErrorCode, message string) *ErrorResponse {
	return &ErrorResponse{Status: status, Body: wire.Error{Code: code, Message: message, NotRun: true}}
}

// BadRequest returns the error response to invalid input.
func BadRequest(message string) *ErrorResponse {
	return NotRun(http.StatusBadRequest, wire.CodeBadRequest, message)
}

// HandlePost registers a POST handler that decodes a Request and encodes a Response.
func HandlePost[Request, Response any](mux *http.ServeMux, path string, serve func(Request) (Response, error)) {
	mux.HandleFunc("POST "+path, func(writer http.ResponseWriter, request *http.Request) {
		var body Request
		if err := ReadJSON(writer, request, &body); err != nil {
			WriteError(writer, err)
			return
		}
		response, err := serve(body)
		if err != nil {
			WriteError(writer, err)
			return
		}
		WriteJSON(writer, http.StatusOK, response)
	})
}

// HandleGet registers a GET handler that encodes a Response.
func HandleGet[Response any](mux *http.ServeMux, path string, serve func(*http.Request) (Response, error)) {
	mux.HandleFunc("GET "+path, func(writer http.ResponseWriter, request *http.Request) {
		response, err := serve(request)
		if err != nil {
			WriteError(writer, err)
			return
		}
		WriteJSON(writer, http.StatusOK, response)
	})
}

// HandleGetWithETag is HandleGet with a weak entity tag: a request whose If-None-Match
// holds the current tag gets status 304 without a body (RFC 9110). The tag is computed
// from tagContent(response), which may clear fields that must not affect it.
func HandleGetWithETag[Response any](mux *http.ServeMux, path string, serve func(*http.Request) (Response, error), tagContent func(Response) Response) {
	mux.HandleFunc("GET "+path, func(writer http.ResponseWriter, request *http.Request) {
		response, err := serve(request)
		if err != nil {
			WriteError(writer, err)
			return
		}
		tag, err := weakTag(tagContent(response))
		if err != nil {
			WriteError(writer, err)
			return
		}
		writer.Header().Set("ETag", tag)
		if request.Header.Get("If-None-Match") == tag {
			writer.WriteHeader(http.StatusNotModified)
			return
		}
		WriteJSON(writer, http.StatusOK, response)
	})
}

// weakTag returns a weak entity tag of a value's JSON.
func weakTag(value any) (string, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return "", err
	}
	digest := fnv.New64a()
	_, _ = digest.Write(encoded)
	return fmt.Sprintf("W/\"%x\"", digest.Sum64()), nil
}

// ReadJSON decodes a JSON body; its error is an *ErrorResponse.
func ReadJSON(writer http.ResponseWriter, request *http.Request, body any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	err := decoder.Decode(body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return NotRun(http.StatusRequestEntityTooLarge, wire.CodeBadRequest, "body too large")
	}
	if err != nil {
		return BadRequest(err.Error())
	}
	return nil
}

// WriteJSON responds with a JSON body.
func WriteJSON(writer http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded)
}

// WriteError responds with err; an error other than an *ErrorResponse is internal.
func WriteError(writer http.ResponseWriter, err error) {
	var response *ErrorResponse
	if !errors.As(err, &response) {
		response = &ErrorResponse{
			Status: http.StatusInternalServerError,
			Body:   wire.Error{Code: wire.CodeInternal, Message: err.Error()},
		}
	}
	WriteJSON(writer, response.Status, response.Body)
}

// UintParameter parses an unsigned query parameter, or returns defaultValue if it is
// absent.
func UintParameter(request *http.Request, name string, defaultValue uint64) (uint64, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, BadRequest(name + " is not a whole number")
	}
	return value, nil
}

// Abort closes the connection in the middle of a response by panicking with
// http.ErrAbortHandler. It flushes first, since a server may otherwise respond with an
// error status.
func Abort(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).Flush()
	panic(http.ErrAbortHandler)
}
