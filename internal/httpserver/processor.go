package httpserver

import (
	"strings"

	"github.com/lesismal/nbio/nbhttp"
)

// bodyEncodingSlack is what a chunked body may cost on the wire beside its
// content, bytes.
const bodyEncodingSlack = 64 << 10

// limitingProcessor stands between nbhttp's parser and its request builder and
// refuses requests over the limits with a numbered answer.
type limitingProcessor struct {
	nbhttp.Processor
	connection  *connection
	headerBytes int
	bodyBytes   int
}

// OnURL counts the request's target as header bytes.
func (processor *limitingProcessor) OnURL(parser *nbhttp.Parser, target string) error {
	processor.headerBytes = len(target)
	processor.bodyBytes = 0
	return processor.Processor.OnURL(parser, target)
}

// OnHeader keeps a header while the headers are within their limit.
func (processor *limitingProcessor) OnHeader(parser *nbhttp.Parser, key, value string) {
	processor.headerBytes += len(key) + len(value)
	limits := processor.connection.server.bounds()
	if processor.headerBytes > limits.MaxHeaderBytes {
		processor.connection.refuse(headerTooLarge(limits))
		return
	}
	// nbhttp keeps the white space of an empty value, which is not part of it.
	processor.Processor.OnHeader(parser, key, strings.TrimSpace(value))
}

// OnContentLength refuses a body by its announced length, before it is sent.
func (processor *limitingProcessor) OnContentLength(parser *nbhttp.Parser, length int) {
	processor.connection.headerDone = true
	limits := processor.connection.server.bounds()
	if length > limits.MaxBodyBytes {
		processor.connection.refuse(bodyTooLarge(limits))
		return
	}
	processor.Processor.OnContentLength(parser, length)
}

// OnBody keeps body bytes while the body is within its limit.
func (processor *limitingProcessor) OnBody(parser *nbhttp.Parser, data []byte) error {
	processor.bodyBytes += len(data)
	limits := processor.connection.server.bounds()
	if processor.bodyBytes > limits.MaxBodyBytes {
		processor.connection.refuse(bodyTooLarge(limits))
	}
	if processor.connection.discarding.Load() {
		return nil
	}
	return processor.Processor.OnBody(parser, data)
}

// OnComplete hands a whole request on, unless its connection was refused.
func (processor *limitingProcessor) OnComplete(parser *nbhttp.Parser) {
	if processor.connection.discarding.Load() {
		return
	}
	processor.connection.completeRequest()
	processor.Processor.OnComplete(parser)
}
