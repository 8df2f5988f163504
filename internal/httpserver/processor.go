package httpserver

import (
	"strings"

	"github.com/lesismal/nbio/nbhttp"
)

// bodyEncodingSlack is the allowance for chunked encoding on top of a body's content, in bytes.
const bodyEncodingSlack = 64 << 10

// limitingProcessor wraps nbhttp's request builder and rejects requests that exceed
// the limits.
type limitingProcessor struct {
	nbhttp.Processor
	connection  *connection
	headerBytes int
	bodyBytes   int
}

// OnURL counts the request target as header bytes.
func (processor *limitingProcessor) OnURL(parser *nbhttp.Parser, target string) error {
	processor.headerBytes = len(target)
	processor.bodyBytes = 0
	return processor.Processor.OnURL(parser, target)
}

// OnHeader adds a header, or rejects the request if its headers exceed the limit.
func (processor *limitingProcessor) OnHeader(parser *nbhttp.Parser, key, value string) {
	processor.headerBytes += len(key) + len(value)
	limits := processor.connection.server.currentLimits()
	if processor.headerBytes > limits.MaxHeaderBytes {
		processor.connection.reject(headerTooLarge(limits))
		return
	}
	// nbhttp does not trim the whitespace of an empty value.
	processor.Processor.OnHeader(parser, key, strings.TrimSpace(value))
}

// OnContentLength rejects a request by its Content-Length, before the body arrives.
func (processor *limitingProcessor) OnContentLength(parser *nbhttp.Parser, length int) {
	processor.connection.headerDone = true
	limits := processor.connection.server.currentLimits()
	if length > limits.MaxBodyBytes {
		processor.connection.reject(bodyTooLarge(limits))
		return
	}
	processor.Processor.OnContentLength(parser, length)
}

// OnBody adds body bytes, or rejects the request if its body exceeds the limit.
func (processor *limitingProcessor) OnBody(parser *nbhttp.Parser, data []byte) error {
	processor.bodyBytes += len(data)
	limits := processor.connection.server.currentLimits()
	if processor.bodyBytes > limits.MaxBodyBytes {
		processor.connection.reject(bodyTooLarge(limits))
	}
	if processor.connection.discarding.Load() {
		return nil
	}
	return processor.Processor.OnBody(parser, data)
}

// OnComplete passes on a complete request unless the connection discards its input.
func (processor *limitingProcessor) OnComplete(parser *nbhttp.Parser) {
	if processor.connection.discarding.Load() {
		return
	}
	processor.connection.completeRequest()
	processor.Processor.OnComplete(parser)
}
