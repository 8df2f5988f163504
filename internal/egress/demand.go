package egress

import (
	"math"
	"sync"
	"time"
)

const (
	// keptFor is how long a connection is kept without a request, about: engines close
	// idle ones after ten seconds on the deployments seen.
	keptFor = 10 * time.Second
	// worthKeeping is how many turns a node must have for an engine in keptFor to open
	// connections of its own. With fewer most find the connection closed, or wait for
	// another one to be opened: bursts double the number and pass.
	worthKeeping = 4.0
)

// demand counts this node's turns for the engines of each zone, older ones for less.
// It is safe for concurrent use.
type demand struct {
	mutex  sync.Mutex
	counts map[string]fadingCount
}

type fadingCount struct {
	count float64
	at    time.Time
}

func newDemand() *demand { return &demand{counts: map[string]fadingCount{}} }

// note counts a turn for a group of engines, and returns how many turns of about the
// last keptFor there are.
func (demand *demand) note(group string, now time.Time) float64 {
	demand.mutex.Lock()
	defer demand.mutex.Unlock()
	held := demand.counts[group]
	faded := math.Exp(-max(now.Sub(held.at), 0).Seconds() / keptFor.Seconds())
	held = fadingCount{count: held.count*faded + 1, at: now}
	demand.counts[group] = held
	return held.count
}
