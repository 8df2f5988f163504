// Package reply holds what all stand-ins share in reading and answering JSON
// requests.
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

// maxBody bounds a request's body, bytes.
const maxBody = 8 << 20

// Failure is an answer with an error body.
type Failure struct {
	Status int
	Body   wire.Error
}

// Error returns the failure's code and message.
func (failure *Failure) Error() string {
	return string(failure.Body.Code) + ": " + failure.Body.Message
}

// NotRun makes a failure that had no effect.
func NotRun(status int, code wire.ErrorCode, message string) *Failure {
	return &Failure{Status: status, Body: wire.Error{Code: code, Message: message, NotRun: true}}
}

// BadRequest makes the failure for input that can't be used.
func BadRequest(message string) *Failure {
	return NotRun(http.StatusBadRequest, wire.CodeBadRequest, message)
}

// Route adds a POST route whose body is a Request and whose answer is an
// Answer.
func Route[Request, Answer any](mux *http.ServeMux, path string, serve func(Request) (Answer, error)) {
	mux.HandleFunc("POST "+path, func(writer http.ResponseWriter, request *http.Request) {
		var body Request
		if err := Read(writer, request, &body); err != nil {
			WriteError(writer, err)
			return
		}
		answer, err := serve(body)
		if err != nil {
			WriteError(writer, err)
			return
		}
		Write(writer, http.StatusOK, answer)
	})
}

// Query adds a GET route whose answer is an Answer.
func Query[Answer any](mux *http.ServeMux, path string, serve func(*http.Request) (Answer, error)) {
	mux.HandleFunc("GET "+path, func(writer http.ResponseWriter, request *http.Request) {
		answer, err := serve(request)
		if err != nil {
			WriteError(writer, err)
			return
		}
		Write(writer, http.StatusOK, answer)
	})
}

// QueryTagged is Query with an entity tag: a request whose If-None-Match names
// the tag of the present answer gets status 304 without a body (RFC 9110). The
// tag is of the validated answer, so validate may leave out of its copy what
// does not matter to an asker; the tag is then a weak one.
func QueryTagged[Answer any](mux *http.ServeMux, path string, serve func(*http.Request) (Answer, error), validate func(Answer) Answer) {
	mux.HandleFunc("GET "+path, func(writer http.ResponseWriter, request *http.Request) {
		answer, err := serve(request)
		if err != nil {
			WriteError(writer, err)
			return
		}
		tag, err := weakTag(validate(answer))
		if err != nil {
			WriteError(writer, err)
			return
		}
		writer.Header().Set("ETag", tag)
		if request.Header.Get("If-None-Match") == tag {
			writer.WriteHeader(http.StatusNotModified)
			return
		}
		Write(writer, http.StatusOK, answer)
	})
}

// weakTag is a weak entity tag of a value's JSON.
func weakTag(value any) (string, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return "", err
	}
	digest := fnv.New64a()
	_, _ = digest.Write(encoded)
	return fmt.Sprintf("W/\"%x\"", digest.Sum64()), nil
}

// Read decodes a JSON body; its error is a *Failure.
func Read(writer http.ResponseWriter, request *http.Request, body any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxBody))
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

// Write answers with a JSON body.
func Write(writer http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(encoded)
}

// WriteError answers with err; an error that is no *Failure is internal.
func WriteError(writer http.ResponseWriter, err error) {
	var failure *Failure
	if !errors.As(err, &failure) {
		failure = &Failure{
			Status: http.StatusInternalServerError,
			Body:   wire.Error{Code: wire.CodeInternal, Message: err.Error()},
		}
	}
	Write(writer, failure.Status, failure.Body)
}

// Number reads a query parameter that is a whole number, fallback where it is
// absent.
func Number(request *http.Request, name string, fallback uint64) (uint64, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, BadRequest(name + " is not a whole number")
	}
	return value, nil
}

// Abort closes the connection in the middle of an answer. It panics with
// http.ErrAbortHandler, which HTTP servers take as the order to do so; the
// answer is begun first because a server may otherwise answer with a status.
func Abort(writer http.ResponseWriter) {
	_ = http.NewResponseController(writer).Flush()
	panic(http.ErrAbortHandler)
}
