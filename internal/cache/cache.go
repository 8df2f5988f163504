// Package cache decides whether an engine keeps, exports or releases a
// program's cached prefix while the program waits for a tool result. The
// policies have no state.
package cache

import (
	"fmt"
	"time"
)

// Policy names accepted by ByName and in the configuration.
const (
	Keep       = "keep"
	Predictive = "predictive"
	Release    = "release"
	None       = "none"
)

// Action is what to do with a cached prefix.
type Action int

// ActionNone leaves the prefix to the engine's own eviction; no cache commands
// are sent, not even when the program ends.
const (
	ActionNone Action = iota
	ActionKeep
	ActionExport
	ActionRelease
)

// Pause describes one cached prefix of a program that starts to wait.
type Pause struct {
	// Tokens is the size of the cached prefix.
	Tokens int
	// ExpectedPause is how long the pause is predicted to last.
	ExpectedPause time.Duration
	// ReuseProbability is the probability, 0 to 1, that the program makes another call.
	ReuseProbability float64
	// Pressure is the fraction of the engine's KV memory in use, 0 to 1.
	Pressure float64
	// RecomputeCost is the time to recompute the prefix.
	RecomputeCost time.Duration
	// ExportCost is the time to export and import the prefix; 0 if the engine
	// cannot export.
	ExportCost time.Duration
}

// Decision is the action for a prefix. KeepFor is how long ActionKeep holds the
// prefix; 0 means no limit.
type Decision struct {
	Action  Action
	KeepFor time.Duration
}

// Policy chooses the action for a prefix when its program pauses.
type Policy interface {
	AtPause(pause Pause) Decision
}

// ByName returns the named policy; an empty name selects Predictive. An unknown
// name is an error.
func ByName(name string) (Policy, error) {
	switch name {
	case Predictive, "":
		return PredictivePolicy{}, nil
	case Keep:
		return FixedPolicy{ActionKeep}, nil
	case Release:
		return FixedPolicy{ActionRelease}, nil
	case None:
		return FixedPolicy{ActionNone}, nil
	default:
		return nil, fmt.Errorf("unknown cache policy %q", name)
	}
}
