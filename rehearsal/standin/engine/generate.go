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

// acceptedComment is sent before the first chunk to tell the client that the request runs.
const acceptedComment = ": accepted\n\n"

// serveGenerate starts or joins a generation and streams its chunks after ResumeAfter. The
// generation continues if the client disconnects.
func (engine *Engine) serveGenerate(writer http.ResponseWriter, request *http.Request) {
	var body wire.GenerateRequest
	if err := reply.ReadJSON(writer, request, &body); err != nil {
		reply.WriteError(writer, err)
		return
	}
	if err := validateGenerate(body); err != nil {
		reply.WriteError(writer, err)
		return
	}
	generation, err := engine.startOrJoin(body)
	if err != nil {
		reply.WriteError(writer, err)
		return
	}
	if engine.faults.Triggers(fault.DropResponses) {
		reply.Abort(writer)
	}
	stream := eventStream{engine: engine, writer: writer, request: request, generation: generation, next: body.ResumeAfter + 1}
	stream.serve()
}

func validateGenerate(body wire.GenerateRequest) error {
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

// eventStream sends the chunks of a generation as server-sent events.
type eventStream struct {
	engine     *Engine
	writer     http.ResponseWriter
	request    *http.Request
	generation *generation
	// next is the sequence number of the next chunk to send.
	next   uint64
	buffer []byte
}

func (stream *eventStream) serve() {
	wake := stream.generation.subscribe()
	defer stream.generation.unsubscribe(wake)
	stream.writer.Header().Set("Content-Type", "text/event-stream")
	stream.writer.Header().Set("Cache-Control", "no-store")
	stream.buffer = append(stream.buffer, acceptedComment...)
	for {
		// finish must be loaded before produced, so that no token before the finish is
		// missed.
		finish := stream.generation.finish.Load()
		stream.appendChunks(uint64(stream.generation.produced.Load()))
		if finish != nil {
			stream.appendEvent(*finish)
		}
		if !stream.flush() || finish != nil {
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

// appendChunks buffers the chunks up to last.
func (stream *eventStream) appendChunks(last uint64) {
	for ; stream.next <= last; stream.next++ {
		if stream.engine.faults.Triggers(fault.AbortStream) {
			stream.abort()
		}
		if stream.engine.faults.Triggers(fault.Garbage) {
			stream.buffer = append(stream.buffer, fault.GarbageBytes...)
			stream.abort()
		}
		stream.appendEvent(stream.generation.chunk(stream.next))
	}
}

// appendEvent buffers one server-sent event.
func (stream *eventStream) appendEvent(chunk wire.Chunk) {
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

// flush writes the buffer; false means that the connection is closed.
func (stream *eventStream) flush() bool {
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

// abort flushes the buffer and closes the connection.
func (stream *eventStream) abort() {
	stream.flush()
	reply.Abort(stream.writer)
}
