// Package quota limits the requests of each tenant in any time window, counted over all nodes,
// also while nodes are partitioned, lost, frozen or restarted.
//
// Each of n nodes holds 1/n of every tenant's limit. It leases that share to one coordinator at
// a time, for LeaseDuration from a time of the coordinator's own clock that the node has
// observed. A Coordinator grants requests out of what is leased to it: the whole limit if all
// nodes lease to it, and during a partition the shares of the nodes on its side. A node leases
// to another coordinator only after its lease to the former one has expired. The platform's log
// is not used, so that limits hold, and are granted in full, while the log is unavailable.
//
// A limit applies to a sliding window: in any window a tenant's requests are at most PerSecond
// x Window + Burst, plus the configured tolerance. A coordinator does not know what a former
// one has granted. It therefore starts empty and at a reduced rate, and grants the whole limit
// only once the nodes have leased to it for a full window. Until then each coordinator leaves
// unused as much of the limit as its successor may grant within the window (see
// Tolerance.envelope).
//
// Coordinator and Lessor are state machines that perform no I/O and read no clock.
package quota

import (
	"time"

	"github.com/magpielug/magpielug/internal/tenant"
)

// LeaseDuration is how long a share is leased, counted from the coordinator's time that the
// lessor names. It bounds the excess grants after a restart of all nodes, in seconds of a
// limit, and the interruption when a coordinator is lost.
const LeaseDuration = 500 * time.Millisecond

const (
	// defaultWindow is the window if the configuration names none.
	defaultWindow = 5 * time.Second
	// successorShare is the fraction of a limit's rate that a new coordinator grants from the
	// start. A larger one leaves less for bursts while a coordinator lasts: 0.55 x PerSecond
	// for each tenth, with the default window.
	successorShare = 0.9
)

// Tolerance is how far a limit may be exceeded. The zero value tolerates no excess.
type Tolerance struct {
	// Window is the time window over which requests are counted, 0 if unknown.
	Window time.Duration
	// A window's limit may be exceeded by ExcessFraction of it plus ExcessRequests.
	ExcessFraction float64
	ExcessRequests float64
}

// window returns the time window over which requests are counted.
func (tolerance Tolerance) window() time.Duration {
	if tolerance.Window <= 0 {
		return defaultWindow
	}
	return tolerance.Window
}

// envelope bounds the grants of a coordinator: over the last s seconds at most depth + rate x s
// requests, for each s up to the window.
type envelope struct {
	depth  float64
	rate   float64
	window time.Duration
}

// envelope returns the envelope of a limit. It leaves capacity for a successor, which starts
// empty and grants at the rate, and for LeaseDuration after a restart of all nodes, in which
// shares may count twice. At least one request may run at once.
func (tolerance Tolerance) envelope(limit tenant.Limit) envelope {
	window := tolerance.window()
	most := (limit.PerSecond*window.Seconds()+limit.Burst)*(1+tolerance.ExcessFraction) + tolerance.ExcessRequests
	rate := successorShare * limit.PerSecond
	return envelope{depth: max(most-rate*(window+LeaseDuration).Seconds(), 1), rate: rate, window: window}
}

// CoordinatorTime is a time on the clock of one coordinator process. The zero value is no time.
type CoordinatorTime struct {
	Incarnation string
	Elapsed     time.Duration
}

// Request is a node's request to a coordinator. Without a tenant it only renews the lease.
type Request struct {
	// Node is the requesting node; it knows of Nodes nodes, including itself.
	Node  string
	Nodes int
	// Group is the group of tenants that the request refers to.
	Group int
	// LeaseStart is the coordinator's time from which the node's share is leased; zero leases
	// nothing.
	LeaseStart CoordinatorTime
	// LeasedFor is how long the node has leased its share to no other coordinator.
	LeasedFor time.Duration
	// Tenant sends the request; Limit is its limit in the given version of the configuration.
	Tenant               string
	Limit                tenant.Limit
	ConfigurationVersion int64
	// Program is empty for a request that belongs to none. Continues is true if the program is
	// known to have started before.
	Program   string
	Continues bool
	// MaxWait is how long the request may be delayed.
	MaxWait time.Duration
}

// Verdict is a coordinator's decision.
type Verdict int

// Verdicts.
const (
	// Granted: the request may run, after Response.Delay.
	Granted Verdict = iota + 1
	// Refused: the limit is exhausted. Response.RetryAfter says when to retry.
	Refused
	// Undetermined: too small a share is leased for a decision, for example while nodes change
	// coordinators.
	Undetermined
)

// Response is a coordinator's answer to a Request.
type Response struct {
	Clock      CoordinatorTime
	Verdict    Verdict
	Delay      time.Duration
	RetryAfter time.Duration
	// Share is the fraction of the limit that is leased. Available, of a refusal, is the number
	// of requests that might run at once.
	Share     float64
	Available float64
}
