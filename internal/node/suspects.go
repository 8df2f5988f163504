package node

import (
	"sync"
	"time"
)

// suspects holds nodes that failed to answer, each skipped until a deadline. It is safe for
// concurrent use.
type suspects struct {
	mutex sync.Mutex
	until map[string]time.Time
}

func newSuspects() *suspects { return &suspects{until: map[string]time.Time{}} }

// add suspects a node until a deadline.
func (suspects *suspects) add(name string, until time.Time) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	suspects.until[name] = until
}

// contains reports whether a node is suspected at a time.
func (suspects *suspects) contains(name string, now time.Time) bool {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	return now.Before(suspects.until[name])
}

// remove ends the suspicion of a node.
func (suspects *suspects) remove(name string) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	delete(suspects.until, name)
}

// passesOver implements peerFilter.
func (suspects *suspects) passesOver(name string, now time.Time) bool {
	return suspects.contains(name, now)
}
