package egress

import (
	"math"
	"sync"
	"time"
)

const (
	// connectionIdleTimeout approximates the idle time after which engines close a connection.
	connectionIdleTimeout = 10 * time.Second
	// minTurnsPerEngine is the number of turns per engine within connectionIdleTimeout from
	// which a node sends directly. With fewer, most turns would need a new connection or wait
	// for one.
	minTurnsPerEngine = 4.0
)

// demand tracks the rate of this node's turns by group of engines with an exponentially decaying
// count. It is safe for concurrent use.
type demand struct {
	mutex  sync.Mutex
	counts map[string]decayingCount
}

type decayingCount struct {
	count     float64
	updatedAt time.Time
}

func newDemand() *demand { return &demand{counts: map[string]decayingCount{}} }

// record counts a turn for a group of engines and returns the approximate number of its turns
// within the last connectionIdleTimeout.
func (demand *demand) record(group string, now time.Time) float64 {
	demand.mutex.Lock()
	defer demand.mutex.Unlock()
	current := demand.counts[group]
	decay := math.Exp(-max(now.Sub(current.updatedAt), 0).Seconds() / connectionIdleTimeout.Seconds())
	current = decayingCount{count: current.count*decay + 1, updatedAt: now}
	demand.counts[group] = current
	return current.count
}
