package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

// Names of the events of a program call's stream.
const (
	eventChunk    = "chunk"
	eventFinished = "finished"
	eventError    = "error"
)

func newCallAnswer(exchange *exchange, stream bool) answer {
	if stream {
		return &callEvents{events: newEventStream(exchange)}
	}
	return &callWhole{wholeText{exchange: exchange}}
}

// finishedBody is the end of a program call; Output stands in whole answers
// only, LastSequence in streams only.
type finishedBody struct {
	ProgramID    string    `json:"program_id"`
	RequestID    string    `json:"request_id"`
	Turn         uint32    `json:"turn"`
	Output       *string   `json:"output,omitempty"`
	FinishReason string    `json:"finish_reason"`
	Usage        usageBody `json:"usage"`
	LastSequence uint64    `json:"last_sequence"`
}

func finishedOf(exchange *exchange, turn uint32, finished *schedulerv1.Finished) finishedBody {
	return finishedBody{
		ProgramID:    exchange.programID,
		RequestID:    exchange.requestID,
		Turn:         turn,
		FinishReason: finished.GetFinishReason(),
		Usage:        callUsageOf(finished.GetUsage()),
		LastSequence: finished.GetLastSequence(),
	}
}

// callWhole answers a program call with one JSON object.
type callWhole struct{ wholeText }

func (whole *callWhole) finish(turn uint32, finished *schedulerv1.Finished) error {
	body := finishedOf(whole.exchange, turn, finished)
	output := whole.text.String()
	body.Output = &output
	return whole.exchange.answerJSON(http.StatusOK, body)
}

// callEvents answers a program call with a stream of named events.
type callEvents struct {
	events *eventStream
	buffer []byte
}

func (stream *callEvents) chunk(chunk *schedulerv1.Chunk) error {
	buffer := append(stream.buffer[:0], `{"sequence":`...)
	buffer = strconv.AppendUint(buffer, chunk.GetSequence(), 10)
	buffer = append(buffer, `,"text":`...)
	buffer = appendJSONString(buffer, chunk.GetText())
	buffer = append(buffer, `,"tokens":`...)
	buffer = strconv.AppendUint(buffer, uint64(chunk.GetTokens()), 10)
	buffer = append(buffer, '}')
	stream.buffer = buffer
	stream.events.exchange.noteChunk()
	return stream.events.send(chunk.GetSequence(), eventChunk, buffer)
}

func (stream *callEvents) canRestart() bool { return !stream.events.exchange.committed }

func (stream *callEvents) finish(turn uint32, finished *schedulerv1.Finished) error {
	content, err := json.Marshal(finishedOf(stream.events.exchange, turn, finished))
	if err != nil {
		return err
	}
	return stream.events.send(0, eventFinished, content)
}

func (stream *callEvents) fail(failure error) { stream.events.fail(eventError, failure) }
