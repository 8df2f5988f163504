// Package quota bounds how many requests of a tenant run in any span of time, counted
// over all nodes, also while nodes are cut off, lost, frozen or started anew.
//
// Each of n nodes holds an n-th of every tenant's limit. It lends that share to one
// keeper at a time, for LentFor from a moment of the keeper's own clock that the node
// has heard. A Keeper grants requests out of what it has been lent: where all nodes lend
// to one keeper that is the whole limit, in a part of the system that is cut off it is
// the share of the nodes there. A node lends to another keeper only after the former one
// can't count its share any more. Nothing of this needs the platform's log, so that a
// limit holds, and is granted in full, while the log is away.
//
// A limit is judged over a window: in any span of that length a tenant's requests are at
// most PerSecond x Window + Burst, and what the operators tolerate above that. A keeper
// does not know what another one has granted before. It therefore begins empty, at a part
// of the rate, and has the whole limit at its disposal once the nodes have lent to it for
// a window; before that each keeper leaves as much of the window's limit unused as its
// successor may grant in the rest of the window (Tolerance.envelope).
//
// Keeper and Lender are pure state machines without clock, input and output.
package quota

import (
	"time"

	"github.com/magpielug/magpielug/internal/tenant"
)

// LeaseDuration is how long a share counts from the keeper's moment that its lender names. It
// bounds what nodes that are all started anew may grant too much, in seconds of a
// limit, and how long a limit is held up when its keeper is lost.
const LeaseDuration = 500 * time.Millisecond

const (
	// defaultWindow is the span over which requests are counted where the operators name
	// none: that of the deployments seen.
	defaultWindow = 5 * time.Second
	// successorShare is the part of a limit's rate that a new keeper grants from the
	// start. Tenants use 0.6 of their limits in the mean, and more after the loss of all
	// nodes, when all programs come back at once. More of it leaves less for bursts while
	// a keeper lasts: 0.55 x PerSecond for each tenth.
	successorShare = 0.9
)

// Tolerance is how the operators judge a limit. The zero value tolerates nothing.
type Tolerance struct {
	// Window is the span over which requests are counted, 0 where it is not known.
	Window time.Duration
	// ExcessFraction of a window's limit, and Requests beside it, may run above it.
	ExcessFraction float64
	ExcessRequests float64
}

// window is the span over which requests are counted.
func (tolerance Tolerance) window() time.Duration {
	if tolerance.Window <= 0 {
		return defaultWindow
	}
	return tolerance.Window
}

// envelope is what a keeper may grant: over the last s seconds no more than depth + rate x
// s requests, for each s up to the window.
type envelope struct {
	depth  float64
	rate   float64
	window time.Duration
}

// envelope leaves room for a successor, which grants at the rate from empty on, and for the
// time in which shares may count twice after all nodes were started anew. A limit may run
// one request at once however small it is.
func (tolerance Tolerance) envelope(limit tenant.Limit) envelope {
	window := tolerance.window()
	most := (limit.PerSecond*window.Seconds()+limit.Burst)*(1+tolerance.ExcessFraction) + tolerance.ExcessRequests
	rate := successorShare * limit.PerSecond
	return envelope{depth: max(most-rate*(window+LeaseDuration).Seconds(), 1), rate: rate, window: window}
}

// CoordinatorTime is a moment by the clock of one keeper's process. The zero value is none.
type CoordinatorTime struct {
	Incarnation string
	Elapsed     time.Duration
}

// Request is a request of a node to a keeper. Without a tenant it only lends.
type Request struct {
	// Node asks, and knows of Nodes nodes, itself included.
	Node  string
	Nodes int
	// Group is the group of tenants that is asked for.
	Group int
	// LeaseStart is the keeper's moment from which on the node's share is lent; zero lends
	// nothing.
	LeaseStart CoordinatorTime
	// LeasedFor is for how long the node has lent its share to no other keeper.
	LeasedFor time.Duration
	// Tenant sends the request, under a limit that stands in a version of the
	// configuration.
	Tenant        string
	Limit         tenant.Limit
	Configuration int64
	// Program is empty for a request that belongs to none. Continues is true where the
	// request is known to go on with what the program has begun.
	Program   string
	Continues bool
	// MaxWait is how long the request may wait for room.
	MaxWait time.Duration
}

// Verdict is a keeper's answer.
type Verdict int

// Verdicts.
const (
	// Granted: the request may run, after Answer.Delay.
	Granted Verdict = iota + 1
	// Refused: the limit has no room. Answer.RetryAfter says when it will have.
	Refused
	// Undetermined: the keeper was lent too little to tell, as while nodes change keepers.
	Undetermined
)

// Response is a keeper's answer to an Ask.
type Response struct {
	Clock      CoordinatorTime
	Verdict    Verdict
	Delay      time.Duration
	RetryAfter time.Duration
	// What decided: the part of the limit that is lent and, of a refusal, the requests
	// that might run at once.
	Share     float64
	Available float64
}
