package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// eventStream writes server-sent events to one caller. The answer's status is
// sent with the first event, so that a call refused after a wait still gets
// its own status.
type eventStream struct {
	exchange *exchange
	control  *http.ResponseController
	buffer   []byte
}

func newEventStream(exchange *exchange) *eventStream {
	return &eventStream{exchange: exchange, control: http.NewResponseController(exchange.writer)}
}

// send writes one event and flushes it. id is left out where 0, name where
// empty.
func (stream *eventStream) send(id uint64, name string, data []byte) error {
	stream.begin()
	buffer := stream.buffer[:0]
	if name != "" {
		buffer = append(buffer, "event: "...)
		buffer = append(buffer, name...)
		buffer = append(buffer, '\n')
	}
	if id != 0 {
		buffer = append(buffer, "id: "...)
		buffer = strconv.AppendUint(buffer, id, 10)
		buffer = append(buffer, '\n')
	}
	buffer = append(buffer, "data: "...)
	buffer = append(buffer, data...)
	buffer = append(buffer, "\n\n"...)
	stream.buffer = buffer
	return stream.write(buffer)
}

// write hands the event to the server, which holds it within the connection's
// write buffer and waits, within its write timeout, while that is full.
func (stream *eventStream) write(content []byte) error {
	_, err := stream.exchange.writer.Write(content)
	if err == nil {
		err = stream.control.Flush()
	}
	return writeError(err)
}

// writeError turns a failed write to the caller into the exchange's outcome.
// A slow reader's connection is closed: it can't be told, but it can resume.
func writeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, httpserver.ErrSlowReader):
		return resultcode.New(resultcode.SlowReader, "the caller read too slowly; its call goes on and can be resumed")
	default:
		return errCallerGone
	}
}

func (stream *eventStream) begin() {
	if stream.exchange.committed {
		return
	}
	stream.exchange.committed = true
	header := stream.exchange.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	stream.exchange.writer.WriteHeader(http.StatusOK)
}

// fail tells a failure inside a stream that has begun.
func (stream *eventStream) fail(name string, failure error) {
	if !stream.exchange.committed {
		return
	}
	content, err := encodeFailure(failure)
	if err == nil {
		// A failed write means that the caller has left.
		_ = stream.send(0, name, content)
	}
}

// appendJSONString appends text as a JSON string. Generated text is mostly
// plain, which needs no escape.
func appendJSONString(buffer []byte, text string) []byte {
	for index := range len(text) {
		if letter := text[index]; letter < ' ' || letter == '"' || letter == '\\' || letter > '~' {
			encoded, err := json.Marshal(text)
			if err != nil {
				// Any string has a JSON form.
				panic(err)
			}
			return append(buffer, encoded...)
		}
	}
	buffer = append(buffer, '"')
	buffer = append(buffer, text...)
	return append(buffer, '"')
}
