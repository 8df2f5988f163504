package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/standin/fault"
	"github.com/magpielug/magpielug/rehearsal/standin/reply"
)

// maxTokensLimit bounds a request's MaxTokens.
const maxTokensLimit = 1 << 20

// acceptedComment is sent at once, so that callers know that the request runs.
const acceptedComment = ": accepted\n\n"

// serveGenerate starts or joins a generation and streams its items after
// ResumeAfter. The generation goes on when the stream's connection is lost.
func (engine *Engine) serveGenerate(writer http.ResponseWriter, request *http.Request) {
	var body wire.GenerateRequest
	if err := reply.ReadJSON(writer, request, &body); err != nil {
		reply.WriteError(writer, err)
		return
	}
	if err := checkGenerate(body); err != nil {
		reply.WriteError(writer, err)
		return
	}
	output, err := engine.begin(body)
	if err != nil {
		reply.WriteError(writer, err)
		return
	}
	if engine.faults.Triggers(fault.DropResponses) {
		reply.Abort(writer)
	}
	stream := eventStream{engine: engine, writer: writer, request: request, output: output, next: body.ResumeAfter + 1}
	stream.serve()
}

func checkGenerate(body wire.GenerateRequest) error {
	switch {
	case body.RequestID == "":
		return reply.BadRequest("request_id is empty")
	case len(body.Prompt) == 0 || countTokens(body.Prompt) == 0:
		return reply.BadRequest("prompt is empty")
	case body.MaxTokens < 1 || body.MaxTokens > maxTokensLimit:
		return reply.BadRequest("max_tokens must be from 1 to " + strconv.Itoa(maxTokensLimit))
	}
	return nil
}

// eventStream sends one generation's items as server-sent events.
type eventStream struct {
	engine  *Engine
	writer  http.ResponseWriter
	request *http.Request
	output  *generation
	// next is the sequence number of the next item to send.
	next   uint64
	buffer []byte
}

func (stream *eventStream) serve() {
	wake := stream.output.subscribe()
	defer stream.output.unsubscribe(wake)
	stream.writer.Header().Set("Content-Type", "text/event-stream")
	stream.writer.Header().Set("Cache-Control", "no-store")
	stream.buffer = append(stream.buffer, acceptedComment...)
	for {
		// The finish is read first: tokens stored before it are then seen.
		finish := stream.output.finish.Load()
		stream.collect(uint64(stream.output.produced.Load()))
		if finish != nil {
			stream.event(*finish)
		}
		if !stream.send() || finish != nil {
			return
		}
		select {
		case <-wake:
		case <-stream.request.Context().Done():
			return
		case <-stream.engine.closed.Done():
			return
		}
	}
}

// collect buffers the items up to last.
func (stream *eventStream) collect(last uint64) {
	for ; stream.next <= last; stream.next++ {
		if stream.engine.faults.Triggers(fault.AbortStream) {
			stream.abort()
		}
		if stream.engine.faults.Triggers(fault.Garbage) {
			stream.buffer = append(stream.buffer, fault.GarbageBytes...)
			stream.abort()
		}
		stream.event(stream.output.chunk(stream.next))
	}
}

// event buffers one server-sent event.
func (stream *eventStream) event(chunk wire.Chunk) {
	encoded, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	stream.buffer = append(stream.buffer, "event: "+wire.EventChunk+"\nid: "...)
	stream.buffer = strconv.AppendUint(stream.buffer, chunk.Sequence, 10)
	stream.buffer = append(stream.buffer, "\ndata: "...)
	stream.buffer = append(stream.buffer, encoded...)
	stream.buffer = append(stream.buffer, "\n\n"...)
}

// send writes what is buffered; false when the connection is gone.
func (stream *eventStream) send() bool {
	if len(stream.buffer) == 0 {
		return true
	}
	_, err := stream.writer.Write(stream.buffer)
	stream.buffer = stream.buffer[:0]
	if err != nil {
		return false
	}
	return http.NewResponseController(stream.writer).Flush() == nil
}

// abort sends what is buffered and closes the connection.
func (stream *eventStream) abort() {
	stream.send()
	reply.Abort(stream.writer)
}
