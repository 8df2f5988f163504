package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

// Event names of a program call's stream.
const (
	eventChunk    = "chunk"
	eventFinished = "finished"
	eventError    = "error"
)

func newProgramCallResponse(exchange *exchange, stream bool) callResponse {
	if stream {
		return &programCallStream{events: newEventStream(exchange)}
	}
	return &programCallResponse{textCollector{exchange: exchange}}
}

// finishedBody is the end of a program call. Output is set only in
// non-streaming responses.
type finishedBody struct {
	ProgramID    string    `json:"program_id"`
	RequestID    string    `json:"request_id"`
	Turn         uint32    `json:"turn"`
	Output       *string   `json:"output,omitempty"`
	FinishReason string    `json:"finish_reason"`
	Usage        usageBody `json:"usage"`
	LastSequence uint64    `json:"last_sequence"`
}

func newFinishedBody(exchange *exchange, turn uint32, finished *schedulerv1.Finished) finishedBody {
	return finishedBody{
		ProgramID:    exchange.programID,
		RequestID:    exchange.requestID,
		Turn:         turn,
		FinishReason: finished.GetFinishReason(),
		Usage:        newUsageBody(finished.GetUsage()),
		LastSequence: finished.GetLastSequence(),
	}
}

// programCallResponse responds to a program call with one JSON object.
type programCallResponse struct{ textCollector }

func (response *programCallResponse) finish(turn uint32, finished *schedulerv1.Finished) error {
	body := newFinishedBody(response.exchange, turn, finished)
	output := response.text.String()
	body.Output = &output
	return response.exchange.writeJSON(http.StatusOK, body)
}

// programCallStream responds to a program call with a stream of named events.
type programCallStream struct {
	events *eventStream
	buffer []byte
}

func (stream *programCallStream) chunk(chunk *schedulerv1.Chunk) error {
	buffer := append(stream.buffer[:0], `{"sequence":`...)
	buffer = strconv.AppendUint(buffer, chunk.GetSequence(), 10)
	buffer = append(buffer, `,"text":`...)
	buffer = appendJSONString(buffer, chunk.GetText())
	buffer = append(buffer, `,"tokens":`...)
	buffer = strconv.AppendUint(buffer, uint64(chunk.GetTokens()), 10)
	buffer = append(buffer, '}')
	stream.buffer = buffer
	stream.events.exchange.recordChunk()
	return stream.events.send(chunk.GetSequence(), eventChunk, buffer)
}

func (stream *programCallStream) tryReset() bool { return !stream.events.exchange.committed }

func (stream *programCallStream) finish(turn uint32, finished *schedulerv1.Finished) error {
	content, err := json.Marshal(newFinishedBody(stream.events.exchange, turn, finished))
	if err != nil {
		return err
	}
	return stream.events.send(0, eventFinished, content)
}

func (stream *programCallStream) sendError(failure error) {
	stream.events.sendError(eventError, failure)
}
