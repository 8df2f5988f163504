package forward

import (
	"maps"
	"sync"

	"github.com/magpielug/magpielug/internal/routing"
)

// ToolCalls counts the calls under way that programs make beside their turns, by service.
// It is safe for concurrent use.
type ToolCalls struct {
	mutex  sync.Mutex
	counts map[string]int
}

// NewToolCalls returns a count of none.
func NewToolCalls() *ToolCalls { return &ToolCalls{counts: map[string]int{}} }

// Counts returns the number of calls under way at each service that has any.
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

// countToolCall counts the call where it is one of a tool. What it returns ends that.
func (current *course) countToolCall() func() {
	calls := current.service.ToolCalls
	if calls == nil || current.call.Program == "" || current.route.Kind == routing.Streaming {
		return func() {}
	}
	calls.add(current.serviceName, 1)
	return func() { calls.add(current.serviceName, -1) }
}
