package gateway

import (
	"errors"
	"strings"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

// answer writes one call's outcome in one of the callers' shapes.
type answer interface {
	receiver
	// finish writes the end of a whole call.
	finish(turn uint32, finished *schedulerv1.Finished) error
	// fail tells a failure if the answer has begun; one that has not is
	// answered by the exchange.
	fail(failure error)
}

// runCall relays a call to its caller in the shape that answer gives it.
func (exchange *exchange) runCall(request *schedulerv1.CallRequest, answer answer) error {
	relay := &relay{
		client:   exchange.gateway.schedulers,
		request:  request,
		receiver: answer,
		resumed:  request.AttachOnly,
	}
	finished, err := relay.run(exchange.context)
	exchange.attaches = relay.attaches
	if relay.attaches > 1 {
		exchange.gateway.metrics.attempts.Add(float64(relay.attaches - 1))
	}
	if err != nil {
		if !errors.Is(err, errCallerGone) {
			answer.fail(err)
		}
		return err
	}
	return answer.finish(relay.turn, finished)
}

// nameCall puts the call's ids in the answer's headers, so that the caller can
// resume a call whose ids the gateway chose.
func (exchange *exchange) nameCall() {
	header := exchange.writer.Header()
	header.Set(headerProgram, exchange.programID)
	header.Set(headerRequestID, exchange.requestID)
}

// wholeText collects a call's output for an answer that is no stream.
type wholeText struct {
	exchange *exchange
	text     strings.Builder
}

func (whole *wholeText) chunk(chunk *schedulerv1.Chunk) error {
	whole.exchange.noteChunk()
	whole.text.WriteString(chunk.GetText())
	return nil
}

func (whole *wholeText) canRestart() bool {
	whole.text.Reset()
	return true
}

func (whole *wholeText) fail(error) {}
