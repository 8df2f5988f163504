package gateway

import (
	"errors"
	"strings"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

// callResponse writes one call's outcome in one of the API's response formats.
type callResponse interface {
	receiver
	// finish writes the end of a successful call.
	finish(turn uint32, finished *schedulerv1.Finished) error
	// sendError reports an error inside a response that has begun; otherwise
	// the exchange writes the error response.
	sendError(failure error)
}

// runCall relays a call from its scheduler to response.
func (exchange *exchange) runCall(request *schedulerv1.CallRequest, response callResponse) error {
	relay := &relay{
		client:   exchange.gateway.schedulers,
		request:  request,
		receiver: response,
		resumed:  request.AttachOnly,
	}
	finished, err := relay.run(exchange.context)
	exchange.attachCount = relay.attachCount
	if relay.attachCount > 1 {
		exchange.gateway.metrics.furtherAttempts.Add(float64(relay.attachCount - 1))
	}
	if err != nil {
		if !errors.Is(err, errCallerDisconnected) {
			response.sendError(err)
		}
		return err
	}
	return response.finish(relay.turn, finished)
}

// setCallHeaders sets the program and request id headers, so that the caller
// can resume a call whose ids the gateway generated.
func (exchange *exchange) setCallHeaders() {
	header := exchange.writer.Header()
	header.Set(headerProgram, exchange.programID)
	header.Set(headerRequestID, exchange.requestID)
}

// textCollector collects a call's output for a non-streaming response.
type textCollector struct {
	exchange *exchange
	text     strings.Builder
}

func (collector *textCollector) chunk(chunk *schedulerv1.Chunk) error {
	collector.exchange.recordChunk()
	collector.text.WriteString(chunk.GetText())
	return nil
}

func (collector *textCollector) tryReset() bool {
	collector.text.Reset()
	return true
}

func (collector *textCollector) sendError(error) {}
