package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// eventStream writes server-sent events to one caller. The answer's status is
// sent with the first event, so that a call refused after a wait still gets
// its own status.
type eventStream struct {
	exchange *exchange
	flusher  http.Flusher
	buffer   []byte
}

func newEventStream(exchange *exchange) *eventStream {
	flusher, _ := exchange.writer.(http.Flusher)
	return &eventStream{exchange: exchange, flusher: flusher}
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

// write hands the event to the server. nbhttp returns zero bytes and no error
// for a connection that has closed.
func (stream *eventStream) write(content []byte) error {
	written, err := stream.exchange.writer.Write(content)
	if err != nil || written < len(content) {
		return errCallerGone
	}
	if stream.flusher != nil {
		stream.flusher.Flush()
	}
	return nil
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
