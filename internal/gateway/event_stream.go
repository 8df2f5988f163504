package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// eventStream writes server-sent events to one caller. The response status is
// sent with the first event, so that a call rejected after a wait still gets
// its own status.
type eventStream struct {
	exchange   *exchange
	controller *http.ResponseController
	buffer     []byte
}

func newEventStream(exchange *exchange) *eventStream {
	return &eventStream{exchange: exchange, controller: http.NewResponseController(exchange.writer)}
}

// send writes one event and flushes it. An id of 0 or an empty name is omitted.
func (stream *eventStream) send(id uint64, name string, data []byte) error {
	stream.writeHeader()
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

// write passes the event to the server, which buffers it and blocks while the
// connection's write buffer is full, up to the write timeout.
func (stream *eventStream) write(content []byte) error {
	_, err := stream.exchange.writer.Write(content)
	if err == nil {
		err = stream.controller.Flush()
	}
	return writeError(err)
}

// writeError converts an error of writing to the caller. The connection of a
// slow reader is already closed, so the error is only logged and counted.
func writeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, httpserver.ErrSlowReader):
		return resultcode.New(resultcode.SlowReader, "the caller read too slowly; the call continues and can be resumed")
	default:
		return errCallerDisconnected
	}
}

func (stream *eventStream) writeHeader() {
	if stream.exchange.committed {
		return
	}
	stream.exchange.committed = true
	header := stream.exchange.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	stream.exchange.writer.WriteHeader(http.StatusOK)
}

// sendError sends an error event if the stream has begun.
func (stream *eventStream) sendError(name string, failure error) {
	if !stream.exchange.committed {
		return
	}
	content, err := encodeError(failure)
	if err == nil {
		// A write error means that the caller has disconnected.
		_ = stream.send(0, name, content)
	}
}

// appendJSONString appends text as a JSON string. It avoids the encoder for
// printable ASCII that needs no escaping.
func appendJSONString(buffer []byte, text string) []byte {
	for index := range len(text) {
		if char := text[index]; char < ' ' || char == '"' || char == '\\' || char > '~' {
			encoded, err := json.Marshal(text)
			if err != nil {
				// Strings can always be encoded.
				panic(err)
			}
			return append(buffer, encoded...)
		}
	}
	buffer = append(buffer, '"')
	buffer = append(buffer, text...)
	return append(buffer, '"')
}
