package forward

import (
	"maps"
	"sync"

	"github.com/magpielug/magpielug/internal/routing"
)

// ToolCalls counts the tool calls in flight by service: calls of programs other than turns. It is
// safe for concurrent use.
type ToolCalls struct {
	mutex  sync.Mutex
	counts map[string]int
}

// NewToolCalls returns counts that are all zero.
func NewToolCalls() *ToolCalls { return &ToolCalls{counts: map[string]int{}} }

// Counts returns the number of tool calls in flight for each service that has any.
func (calls *ToolCalls) Counts() map[string]int {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	return maps.Clone(calls.counts)
}

func (calls *ToolCalls) add(service string, change int) {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	calls.counts[service] += change
	if calls.counts[service] == 0 {
		delete(calls.counts, service)
	}
}

// trackToolCall counts the call if it is a tool call. The returned function must be called when the
// call ends.
func (inflight *inflightCall) trackToolCall() func() {
	calls := inflight.service.ToolCalls
	if calls == nil || inflight.call.Program == "" || inflight.route.Kind == routing.Streaming {
		return func() {}
	}
	calls.add(inflight.serviceName, 1)
	return func() { calls.add(inflight.serviceName, -1) }
}
