package node

import (
	"sync"
	"time"
)

// suspects are nodes that did not answer, each passed over until a time. It is safe for
// concurrent use.
type suspects struct {
	mutex sync.Mutex
	until map[string]time.Time
}

func newSuspects() *suspects { return &suspects{until: map[string]time.Time{}} }

// note passes a node over up to a time.
func (suspects *suspects) note(name string, until time.Time) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.until[name] = until
}

// holds tells whether a node is passed over at now.
func (suspects *suspects) holds(name string, now time.Time) bool {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	return now.Before(suspects.until[name])
}
