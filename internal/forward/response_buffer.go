package forward

import (
	"errors"
	"io"
)

// bufferResponse reads a response until it is complete, has maxBufferedBytes, or the limit on all
// buffered responses is reached. The capacity of the returned content is counted in
// Service.HeldResponses until the caller releases it. A response that does not fit must be
// streamed and cannot be retried on another engine.
func (inflight *inflightCall) bufferResponse(body io.Reader) (content []byte, complete bool, err error) {
	content = make([]byte, 0, initialBufferBytes)
	inflight.service.HeldResponses.ForceAcquire(initialBufferBytes)
	for {
		if len(content) == cap(content) {
			if !inflight.growBuffer(&content) {
				return content, false, nil
			}
		}
		count, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+count]
		if errors.Is(err, io.EOF) {
			return content, true, nil
		}
		if err != nil {
			return content, false, err
		}
	}
}

// growBuffer doubles the buffer of a response, or returns false if it must not grow.
func (inflight *inflightCall) growBuffer(content *[]byte) bool {
	additional := cap(*content)
	if additional >= maxBufferedBytes || !inflight.service.HeldResponses.TryAcquire(int64(additional)) {
		return false
	}
	grown := make([]byte, len(*content), 2*additional)
	copy(grown, *content)
	*content = grown
	return true
}
