package backend

import (
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/responsehead"
	"github.com/rotisserie/eris"
)

const (
	// maxStaleResponses is the maximum number of responses to other requests that are skipped.
	maxStaleResponses = 3
	// maxHeadBytes bounds the heads that precede a response's body, those of interim responses included. An
	// engine may send a head without end, which would be held in memory.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the interim responses before the final one.
	maxInterimResponses = 16
	// headTimeout is how long the rest of a head may take to arrive after its first byte.
	headTimeout = time.Second
	// maxStaleBodyBytes and staleBodyTimeout bound the body of a response to another request, which nobody
	// waits for while the call's own time runs out.
	maxStaleBodyBytes = 256 << 10
	staleBodyTimeout  = 250 * time.Millisecond
	// maxStatus is the highest status of a response.
	maxStatus = 599
	// unbounded is the remaining size of a reader without a bound.
	unbounded = math.MaxInt
)

// errNoStatus means that an engine sends a status that is none (RFC 9110, section 15).
var errNoStatus = errors.New("response without a valid status")

// errResponseTooLong means that an engine sends more than a head or a skipped body may have.
var errResponseTooLong = errors.New("response exceeds the size limit")

// boundedReader reads from a connection, up to a number of bytes that its owner sets.
type boundedReader struct {
	source    io.Reader
	remaining int
	// head checks the bytes that are read, nil unless they may belong to a head.
	head *responsehead.Checker
}

// Read implements io.Reader.
func (reader *boundedReader) Read(buffer []byte) (int, error) {
	if reader.remaining <= 0 {
		return 0, errResponseTooLong
	}
	if len(buffer) > reader.remaining {
		buffer = buffer[:reader.remaining]
	}
	count, err := reader.source.Read(buffer)
	if reader.remaining != unbounded {
		reader.remaining -= count
	}
	if reader.head != nil {
		reader.head.Add(buffer[:count])
	}
	return count, err
}

// Receive reads the status and headers of the response. Interim responses are skipped. Responses for
// which accept returns false belong to other requests and are skipped including their bodies. What is
// skipped is bounded in bytes and time; an engine that sends more has lost the response.
func (connection *Connection) Receive(request *http.Request, accept func(*http.Response) bool) (*http.Response, error) {
	for range maxStaleResponses {
		response, err := connection.receiveHead(request)
		if err != nil {
			return nil, eris.Wrapf(ErrResponseLost, "read from %s: %v", connection.address, err)
		}
		if accept(response) {
			return response, nil
		}
		if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			return nil, eris.Wrapf(ErrResponseLost, "response from %s belongs to another request", connection.address)
		}
		err = connection.discard(response)
		if err != nil {
			return nil, eris.Wrapf(ErrResponseLost, "read from %s: %v", connection.address, err)
		}
	}
	return nil, eris.Wrapf(ErrResponseLost, "responses from %s belong to other requests", connection.address)
}

// receiveHead reads the head of a response that is not an interim one.
func (connection *Connection) receiveHead(request *http.Request) (*http.Response, error) {
	connection.input.remaining = maxHeadBytes
	defer func() { connection.input.remaining = unbounded }()
	for range maxInterimResponses {
		response, err := connection.readHead(request)
		if err != nil {
			return nil, err
		}
		switch {
		case !IsStatus(response.StatusCode):
			return nil, errNoStatus
		case !isInterim(response.StatusCode):
			return response, nil
		}
	}
	return nil, errResponseTooLong
}

// readHead reads one head. The engine may work on the request for as long as the call takes before its first byte.
// What a malformed head says is not used: whether the engine ran the request is then unknown.
func (connection *Connection) readHead(request *http.Request) (*http.Response, error) {
	_, err := connection.reader.Peek(1)
	if err != nil {
		return nil, err
	}
	var head responsehead.Checker
	connection.input.head = &head
	defer func() { connection.input.head = nil }()
	buffered, err := connection.reader.Peek(connection.reader.Buffered())
	if err != nil {
		return nil, err
	}
	head.Add(buffered)
	var response *http.Response
	err = connection.within(headTimeout, func() error {
		response, err = http.ReadResponse(connection.reader, request)
		return err
	})
	if err == nil {
		err = head.Err()
	}
	if err != nil {
		return nil, err
	}
	return response, nil
}

// IsStatus reports whether a number is the status of a response. http.ReadResponse accepts any three digits, and a sign.
func IsStatus(number int) bool { return number >= http.StatusContinue && number <= maxStatus }

// isInterim reports whether a status is that of a response that precedes the final one.
func isInterim(status int) bool { return status >= http.StatusContinue && status < http.StatusOK }

// discard reads the body of a response to another request to its end.
func (connection *Connection) discard(response *http.Response) error {
	connection.input.remaining = maxStaleBodyBytes
	defer func() { connection.input.remaining = unbounded }()
	return connection.within(staleBodyTimeout, func() error {
		_, err := io.Copy(io.Discard, response.Body)
		return err
	})
}

// within runs a function that reads from the connection, whose reads fail after a timeout.
func (connection *Connection) within(timeout time.Duration, read func() error) error {
	err := connection.socket.SetReadDeadline(time.Now().Add(timeout))
	if err != nil {
		return err
	}
	err = read()
	if err != nil {
		return err
	}
	return connection.socket.SetReadDeadline(time.Time{})
}
