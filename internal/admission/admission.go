// Package admission decides whether an agent program may start.
//
// A program is a chain of model turns, with tool calls and sub-agents between them, and has
// little value unless it finishes by its soft deadline. When more programs run than the engines
// have capacity for, every turn queues and all programs miss their deadlines. A program's first
// turn is therefore refused when there is no capacity for the program's expected demand;
// programs that have started are never refused.
//
// The owner of a program's shard decides. Its Table holds the programs of its shards, and the
// load report tells every owner what runs in all shards. From that a Controller forecasts the
// demand of the running programs and compares it with the capacity of the engines. The package
// performs no I/O and reads neither a clock nor a random source.
package admission

import (
	"strconv"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/tenant"
)

// Request asks whether a program may start.
type Request struct {
	Program tenant.Program
	// Route is the route's name in load reports, see RouteName.
	Route   string
	Service string
	// Priority is 0 for the most urgent programs.
	Priority int
	// PromptTokens is the length of the first prompt in tokens, 0 if unknown.
	PromptTokens int64
	// UntilSoftDeadline is the time left until the program's soft deadline; it is meaningful
	// only if HasSoftDeadline is true.
	UntilSoftDeadline time.Duration
	HasSoftDeadline   bool
	// RetryJitter is in [0, 1) and differs between programs; it spreads their retries.
	RetryJitter float64
}

// Service describes the engines of one service and their load.
type Service struct {
	Name string
	// Slots is the number of requests that the healthy engines run concurrently.
	Slots   int
	Engines int
	// Running is the number of requests at the engines, from all nodes.
	Running int
	// MemoryTokens is how many prompt tokens fit into one engine's memory, 0 if unknown.
	MemoryTokens int
}

// State is the input of a decision.
type State struct {
	// Total is the load of all nodes as of Age ago. Known is false if it is not known.
	Total    load.Report
	Known    bool
	Age      time.Duration
	Services []Service
	// OwnerShare is the fraction of all programs for which this owner decides.
	OwnerShare float64
	// TenantWeights are the configured weights of tenants; a tenant without one gets the mean
	// of the others.
	TenantWeights map[string]float64
}

// Reason is why a program was refused.
type Reason string

// Reasons.
const (
	// ReasonSlots: the engines have no free slots for it.
	ReasonSlots Reason = "slots"
	// ReasonMemory: the engines' memory cannot hold its prompts.
	ReasonMemory Reason = "memory"
	// ReasonTenantShare: capacity is scarce and its tenant already uses its fair share.
	ReasonTenantShare Reason = "tenant-share"
)

// Decision is the answer to a Request, with the figures it is based on.
type Decision struct {
	Admitted bool
	// RetryAfter is how long to wait before a retry, if refused.
	RetryAfter time.Duration
	Reason     Reason
	// Service is the service with the binding resource. Demand is the forecast demand for that
	// resource including this program's ProgramDemand, Limit is what programs may use, and
	// Capacity is what exists: in slots, or in prompt tokens.
	Service       string
	Demand        float64
	ProgramDemand float64
	Limit         float64
	Capacity      float64
	// Rate is the rate at which programs of this priority may start, over all owners, in units
	// of the resource per second.
	Rate float64
	// TenantPrograms is the number of running programs of the tenant and FairShare the number
	// it may have; both are 0 if fair shares did not apply.
	TenantPrograms float64
	FairShare      float64
}

// RouteName returns the name under which load reports list a route's programs of one priority.
// Tenants may have priorities of their own, and a route may use several services.
func RouteName(route, service string, priority int) string {
	return route + nameSuffix(service, priority)
}

// TrimRouteName returns the route's own name from a name built by RouteName.
func TrimRouteName(name, service string, priority int) string {
	return strings.TrimSuffix(name, nameSuffix(service, priority))
}

func nameSuffix(service string, priority int) string {
	return "/" + service + "/" + strconv.Itoa(priority)
}

// toolCallPriority is the priority under which tool calls are reported. It is the most urgent,
// since running programs are never refused.
const toolCallPriority = 0

// ToolCallRoute returns the report entry for the tool calls that programs have in flight at a
// service. Each node reports the calls that it serves itself.
func ToolCallRoute(service string, calls int) (string, load.Route) {
	return RouteName("", service, toolCallPriority), load.Route{Service: service, Priority: toolCallPriority, Turns: calls}
}
