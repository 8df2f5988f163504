// Package cache decides what becomes of a program's cached prefix while the
// program waits for a tool. It is pure.
package cache

import (
	"fmt"
	"time"
)

// Names of the policies, as operators write them in the configuration.
const (
	Keep       = "keep"
	Predictive = "predictive"
	Release    = "release"
	None       = "none"
)

// Action is what to do with a cached prefix.
type Action int

// Actions at a pause. ActionNone leaves the prefix to the engine's own eviction
// and gives no orders at all, not even at the program's end.
const (
	ActionNone Action = iota
	ActionKeep
	ActionExport
	ActionRelease
)

// Pause describes a program that begins to wait.
type Pause struct {
	// Tokens is the size of the cached prefix.
	Tokens int
	// ExpectedPause is how long the pause is predicted to last.
	ExpectedPause time.Duration
	// ReuseProbability is the chance, 0 to 1, that the program goes on.
	ReuseProbability float64
	// Pressure is how much of the engine's KV memory is in use, 0 to 1.
	Pressure float64
	// RecomputeCost is the time to compute the prefix again.
	RecomputeCost time.Duration
	// ExportCost is the time to export and import it; 0 when not possible.
	ExportCost time.Duration
}

// Decision is an action, and for ActionKeep how long it holds; 0 is without
// end.
type Decision struct {
	Action  Action
	KeepFor time.Duration
}

// Policy decides at a pause.
type Policy interface {
	AtPause(pause Pause) Decision
}

// ByName returns the policy that name stands for. An empty name stands for
// Predictive.
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
