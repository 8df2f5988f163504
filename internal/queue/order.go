// Package queue holds the calls that wait for an engine slot and decides whose
// turn is next. An Order ranks one call; Queue keeps ranked calls in bands, one
// heap a band, and shares grants between bands. It is pure: time comes in with
// each call.
package queue

import (
	"fmt"
	"time"
)

// Names of the orders, as operators write them in the configuration.
const (
	LeastAttained = "least-attained"
	FirstCome     = "fcfs"
	CallPriority  = "call-priority"
	Oracle        = "oracle"
)

// Call is what an order may know of a waiting call.
type Call struct {
	// Weight is the tier's share under contention.
	Weight uint32
	// QueuedAt is when the call was offered, on the keeper's clock.
	QueuedAt time.Duration
	// ProgramAge is how old the program was at QueuedAt.
	ProgramAge time.Duration
	// AttainedService is what the program has used so far, service tokens.
	AttainedService float64
	// RemainingService is what the program still needs, service tokens. Only
	// the oracle may look at it.
	RemainingService float64
}

// Rank places a call in the queue. It never changes while the call waits, so a
// heap can hold it.
type Rank struct {
	// Band groups calls; a higher band goes first, but each band with waiting
	// calls has a reserved share of the grants.
	Band uint32
	// Value orders calls inside a band, the lowest first.
	Value float64
}

// Before tells whether a call of this rank goes before one of the other, shares
// apart.
func (rank Rank) Before(other Rank) bool {
	if rank.Band != other.Band {
		return rank.Band > other.Band
	}
	return rank.Value < other.Value
}

// Order ranks waiting calls.
type Order interface {
	Rank(call Call) Rank
}

// ByName returns the order that name stands for. An empty name stands for
// LeastAttained.
func ByName(name string) (Order, error) {
	switch name {
	case LeastAttained, "":
		return DefaultAttainedOrder(), nil
	case FirstCome:
		return FirstComeOrder{}, nil
	case CallPriority:
		return CallPriorityOrder{}, nil
	case Oracle:
		return OracleOrder{}, nil
	default:
		return nil, fmt.Errorf("unknown queue order %q", name)
	}
}
