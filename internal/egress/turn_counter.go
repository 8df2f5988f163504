package egress

import (
	"math"
	"sync"
	"time"
)

const (
	// engineIdleTimeout is the approximate idle time after which engines close a connection.
	engineIdleTimeout = 10 * time.Second
	// minTurnsPerEngine is the minimum number of turns per engine within engineIdleTimeout for a
	// node to send directly. With fewer, most turns would need a new connection or wait for one.
	minTurnsPerEngine = 4.0
)

// turnCounter approximates the number of this node's recent turns for each group of engines with an
// exponentially decaying count. It is safe for concurrent use.
type turnCounter struct {
	mutex  sync.Mutex
	counts map[string]decayingCount
}

type decayingCount struct {
	count     float64
	updatedAt time.Time
}

func newTurnCounter() *turnCounter { return &turnCounter{counts: map[string]decayingCount{}} }

// record counts a turn for a group of engines and returns the approximate number of its turns
// within the last engineIdleTimeout.
func (counter *turnCounter) record(group string, now time.Time) float64 {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	current := counter.counts[group]
	decay := math.Exp(-max(now.Sub(current.updatedAt), 0).Seconds() / engineIdleTimeout.Seconds())
	current = decayingCount{count: current.count*decay + 1, updatedAt: now}
	counter.counts[group] = current
	return current.count
}
