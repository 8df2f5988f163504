package node

import (
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/heldbytes"
)

// Fractions of the process memory limit available for buffering, each over all calls. Together
// with historyShare they leave more than half of the memory to the process itself.
const (
	requestShare        = 0.10
	unreadResponseShare = 0.08
	heldResponseShare   = 0.07
)

// bufferLimits bounds the bytes that a node buffers of requests and responses.
type bufferLimits struct {
	// requests covers unanswered requests, unreadResponses response bytes that callers have not
	// read yet, heldResponses responses that are buffered until complete.
	requests, unreadResponses, heldResponses *heldbytes.Limiter
}

// newBufferLimits returns the limits for a process memory limit in bytes. Without a known memory
// limit they are unlimited.
func newBufferLimits(memoryBytes int64) bufferLimits {
	if !feature.Enabled(feature.ResponseBufferLimit) {
		memoryBytes = 0
	}
	limiter := func(fraction float64) *heldbytes.Limiter {
		return heldbytes.New(int64(fraction * float64(max(memoryBytes, 0))))
	}
	return bufferLimits{requests: limiter(requestShare), unreadResponses: limiter(unreadResponseShare), heldResponses: limiter(heldResponseShare)}
}
