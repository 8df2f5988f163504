package node

import (
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// logUnavailableAfter is how long the log may have answered no node that this one hears of
	// before it counts as unavailable. Normally the last answer is at most 0.7 s old (a reader's
	// poll and one request), and twice that while a reader is being replaced.
	logUnavailableAfter = 1400 * time.Millisecond
	// recordStallAfter replaces logUnavailableAfter while a turn has been waiting for longer than
	// this to be recorded.
	recordStallAfter = 700 * time.Millisecond
)

// logHealth tracks when the log last answered any node, this one or one that reported it. A log
// that rejects only this node is therefore not unavailable. It is safe for concurrent use.
type logHealth struct {
	lastResponse atomicTime
}

// observe records the outcome of a call to the log.
func (health *logHealth) observe(err error) {
	if durable.LogResponded(err) {
		health.lastResponse.advance(time.Now())
	}
}

// ageMilliseconds returns the age of the last known answer for other nodes, at least 1, or 0 if
// there is none.
func (health *logHealth) ageMilliseconds(now time.Time) int64 {
	if health.lastResponse.isZero() {
		return 0
	}
	return max(health.lastResponse.age(now).Milliseconds(), 1)
}

// observeRemote records the age of the last answer that another node knows of. 0 means that
// it knows of none, or that its version does not report the age.
func (health *logHealth) observeRemote(ageMilliseconds int64, now time.Time) {
	if ageMilliseconds > 0 {
		health.lastResponse.advance(now.Add(-milliseconds(ageMilliseconds)))
	}
}

// recordingUnavailable reports whether a turn is unlikely to be recorded, because the log answers
// no node that this one hears of.
func (node *Node) recordingUnavailable() bool {
	return feature.Enabled(feature.LogGate) && node.recordingUnavailableAt(time.Now())
}

func (node *Node) recordingUnavailableAt(now time.Time) bool {
	age := node.ageExcludingFreeze(&node.logHealth.lastResponse, now)
	return age > logUnavailableAfter || (age > recordStallAfter && node.recorder.StalledFor(now) > recordStallAfter)
}
