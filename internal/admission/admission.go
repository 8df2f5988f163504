// Package admission decides whether an agent program may begin.
//
// A program is a chain of turns with calls of tools and sub-agents between them, and
// is worth little unless it is over by its aim. Where more programs are under way than
// the engines have room for, each turn of each of them waits, and none is over in time.
// So a program's first turn is refused where there is no room for what the program is
// likely to need; what has begun always goes on.
//
// The owner of a program's shard decides. Its Table holds the programs of its shards,
// and the load report tells all owners what is under way in all shards; a Controller
// predicts from that what the programs under way need and compares it with the slots
// of the engines. Nothing here reads a clock, a socket or a random source.
package admission

import (
	"strconv"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/tenant"
)

// Request asks whether a program may begin.
type Request struct {
	Program tenant.Program
	// Route is the name under which the report tells the program's route, see RouteName.
	Route   string
	Service string
	// Priority is 0 for the most urgent programs.
	Priority int
	// PromptTokens is the length of the first prompt, tokens; 0 where that is not known.
	PromptTokens int64
	// UntilSoftDeadline is how long it is until the program should be over; HasAim is false where
	// it names no such time.
	UntilSoftDeadline time.Duration
	HasSoftDeadline   bool
	// RetryJitter lies in [0, 1) and differs between programs: those that are refused
	// together come back one after another.
	RetryJitter float64
}

// Service is what the engines of one service have, and what runs there.
type Service struct {
	Name string
	// Slots is the number of requests that its sound engines run at once.
	Slots   int
	Engines int
	// Running is the number of requests there, of all nodes.
	Running int
	// MemoryTokens is how many tokens of prompts one engine holds, 0 where that is not
	// known.
	MemoryTokens int
}

// State is what a decision goes by.
type State struct {
	// Total is what all nodes have under way, as it was Age ago. Known is false where
	// that is not known.
	Total    load.Report
	Known    bool
	Age      time.Duration
	Services []Service
	// OwnerShare is the part of all programs that this owner decides on.
	OwnerShare float64
	// TenantWeights are the sizes of tenants by the configuration; one that is missing has
	// the mean of the others.
	TenantWeights map[string]float64
}

// Reason is why a program was refused.
type Reason string

// Reasons.
const (
	// ReasonSlots: the engines have no slots for it.
	ReasonSlots Reason = "slots"
	// ReasonMemory: the engines' memory has no room for its prompts.
	ReasonMemory Reason = "memory"
	// ReasonTenantShare: there is too little room for all, and its tenant has more than its
	// share of it.
	ReasonTenantShare Reason = "tenant-share"
)

// Decision is the answer to an Order, with what it was decided by.
type Decision struct {
	Admitted bool
	// RetryAfter is when to come back after a refusal.
	RetryAfter time.Duration
	Reason     Reason
	// Service names the engines that bind; Demand is what programs are expected to use
	// of them, Need what this one does, Limit what they may use together and Capacity
	// what there is: in slots, or in tokens of prompts.
	Service       string
	Demand        float64
	ProgramDemand float64
	Limit         float64
	Capacity      float64
	// Rate is what may begin in a second at this rank, over all owners.
	Rate float64
	// TenantPrograms is what the tenant has under way and Fair its share, in programs; 0 where
	// shares did not matter.
	TenantPrograms float64
	FairShare      float64
}

// RouteName names a route's programs of one rank in reports: tenants may have ranks of
// their own, and a route several services.
func RouteName(route, service string, rank int) string { return route + nameSuffix(service, rank) }

// TrimRouteName returns the route's own name of one that RouteName has made.
func TrimRouteName(name, service string, rank int) string {
	return strings.TrimSuffix(name, nameSuffix(service, rank))
}

func nameSuffix(service string, rank int) string { return "/" + service + "/" + strconv.Itoa(rank) }

// toolsRank is where calls of tools stand in reports. They have no rank of their own: what
// programs call has to go on.
const toolsRank = 0

// ToolCallRoute returns what a report tells of the calls that programs have under way at a
// service without being turns: calls of tools. Every node tells those that it serves.
func ToolCallRoute(service string, calls int) (string, load.Route) {
	return RouteName("", service, toolsRank), load.Route{Service: service, Priority: toolsRank, Turns: calls}
}
