// Package queue orders the calls that wait for an engine slot. An Order ranks
// one call; a Queue keeps ranked calls in priority bands, one heap per band, and
// divides grants among the bands. The package reads no clock: times are passed
// in with each call.
package queue

import (
	"fmt"
	"time"
)

// Order names accepted by ByName and in the configuration.
const (
	LeastAttained = "least-attained"
	FCFS          = "fcfs"
	CallPriority  = "call-priority"
	Oracle        = "oracle"
)

// Call holds the properties of a waiting call that an Order may use.
type Call struct {
	// Weight is the tier weight.
	Weight uint32
	// QueuedAt is when the call was queued, on the keeper's clock.
	QueuedAt time.Duration
	// ProgramAge is the program's age at QueuedAt.
	ProgramAge time.Duration
	// AttainedService is the service the program has used, in service tokens.
	AttainedService float64
	// RemainingService is the service the program still needs, in service
	// tokens. Only OracleOrder uses it.
	RemainingService float64
}

// Rank is a call's position in the service order. It is fixed while the call
// waits, as heap order requires.
type Rank struct {
	// Band is the priority band. Higher bands are served first, except for the
	// reserved share of each waiting band.
	Band uint32
	// Value orders calls inside a band, lowest first.
	Value float64
}

// Before reports whether rank is served before other, ignoring reserved shares.
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

// ByName returns the named order; an empty name selects LeastAttained. An
// unknown name is an error.
func ByName(name string) (Order, error) {
	switch name {
	case LeastAttained, "":
		return DefaultLeastAttainedOrder(), nil
	case FCFS:
		return FCFSOrder{}, nil
	case CallPriority:
		return CallPriorityOrder{}, nil
	case Oracle:
		return OracleOrder{}, nil
	default:
		return nil, fmt.Errorf("unknown queue order %q", name)
	}
}
