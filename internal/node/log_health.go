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
	// reportTolerance is how much newer than it is an observation may seem that other nodes have
	// reported, because of the time that messages take.
	reportTolerance = 100 * time.Millisecond
)

// logHealth tracks when the log last answered any node, this one or one that reported it, and when
// it was last slow to append. A log that rejects only this node is therefore not unavailable. It is
// safe for concurrent use.
type logHealth struct {
	lastResponse atomicTime
	// lastOwnResponse is when the log last responded to this node.
	lastOwnResponse atomicTime
	// lastSlowAppend and lastFastAppend are when the latest slow append and the latest other one
	// began.
	lastSlowAppend atomicTime
	lastFastAppend atomicTime
}

// observe records the outcome of a call to the log.
func (health *logHealth) observe(operation string, took time.Duration, err error) {
	if durable.LogResponded(err) {
		health.lastResponse.advance(time.Now())
		health.lastOwnResponse.advance(time.Now())
	}
	if operation == durable.OperationAppend && err == nil {
		health.observeAppend(took)
	}
}

// observeAppend records the duration of an append that has just succeeded.
func (health *logHealth) observeAppend(took time.Duration) {
	now := time.Now()
	if took >= durable.SlowAppend {
		health.ObserveSlowAppend(now.Add(-took))
		return
	}
	health.lastFastAppend.advance(now.Add(-took))
}

// observeRecording records how long it took to record a turn. A long time may have other causes than
// a slow append.
func (health *logHealth) observeRecording(took time.Duration) {
	if took < durable.SlowAppend {
		health.observeAppend(took)
	}
}

// ObserveSlowAppend records that an append begun at a time was slow.
func (health *logHealth) ObserveSlowAppend(begun time.Time) { health.lastSlowAppend.advance(begun) }

// AppendsSlow implements history.AppendHealth.
func (health *logHealth) AppendsSlow() bool {
	if health.lastSlowAppend.isZero() {
		return false
	}
	age := health.lastSlowAppend.age(time.Now())
	return age < durable.SlowAppendMemory && (health.lastFastAppend.isZero() || age < health.lastFastAppend.age(time.Now()))
}

// FastAppendSince implements history.AppendHealth.
func (health *logHealth) FastAppendSince(since time.Time) bool {
	return !health.lastFastAppend.isZero() && health.lastFastAppend.notBefore(since.Add(reportTolerance))
}

// logObservations are the ages, in milliseconds, of what a node knows of the log, as it reports
// them to other nodes. 0 means that it knows of none, or that its version does not report the age.
type logObservations struct {
	responseAge   int64
	slowAppendAge int64
	fastAppendAge int64
}

// report returns the observations for other nodes.
func (health *logHealth) report(now time.Time) logObservations {
	return logObservations{
		responseAge:   reportedAge(&health.lastResponse, now),
		slowAppendAge: reportedAge(&health.lastSlowAppend, now),
		fastAppendAge: reportedAge(&health.lastFastAppend, now),
	}
}

// reportedAge returns the age of a time in milliseconds, at least 1, or 0 if none was stored.
func reportedAge(at *atomicTime, now time.Time) int64 {
	if at.isZero() {
		return 0
	}
	return max(at.age(now).Milliseconds(), 1)
}

// observeRemote records the observations that another node has reported.
func (health *logHealth) observeRemote(reported logObservations, now time.Time) {
	if reported.responseAge > 0 {
		health.lastResponse.advance(now.Add(-milliseconds(reported.responseAge)))
	}
	advanceReported(&health.lastSlowAppend, reported.slowAppendAge, now)
	advanceReported(&health.lastFastAppend, reported.fastAppendAge, now)
}

// advanceReported stores the time of an observation reported by another node, unless it may be one
// that is known already. The time of the message makes a reported observation seem newer, and nodes
// that report it to each other would make it ever newer.
func advanceReported(known *atomicTime, age int64, now time.Time) {
	if age <= 0 {
		return
	}
	at := now.Add(-milliseconds(age))
	if known.isZero() || !known.notBefore(at.Add(-reportTolerance)) {
		known.advance(at)
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
