package node

import (
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// logAwayAfter is how long the log may have answered no node that this one hears
	// of before it counts as away. In good times an answer is at most 0.7 s old: a
	// reader's poll of 0.4 s and an ask of 0.3 s, twice as much while a reader is lost.
	logAwayAfter = 1400 * time.Millisecond
	// unrecordedAfter is how long a turn may wait for its record, and the log have
	// answered nobody, before the log counts as away: the wait shows it sooner.
	unrecordedAfter = 700 * time.Millisecond
)

// logHealth knows when the log last answered a node: this one, or another one that
// told of it. A log that refuses this node alone is therefore not away. It is safe for
// concurrent use.
type logHealth struct {
	answered moment
}

// observe notes the outcome of a call of the log. It implements durable.Observe but for
// what does not count here.
func (health *logHealth) observe(err error) {
	if durable.LogResponded(err) {
		health.answered.advance(time.Now())
	}
}

// ageMilliseconds is how old the newest answer known is, for other nodes; 0 where none
// is known.
func (health *logHealth) ageMilliseconds(now time.Time) int64 {
	if health.answered.unset() {
		return 0
	}
	return max(health.answered.age(now).Milliseconds(), 1)
}

// hear takes in how old the newest answer is that another node knows of. One that knows
// of none, or is of a version that does not tell, sends 0.
func (health *logHealth) hear(ageMilliseconds int64, now time.Time) {
	if ageMilliseconds > 0 {
		health.answered.advance(now.Add(-milliseconds(ageMilliseconds)))
	}
}

// recordingAway tells whether a turn that runs now is not likely to be recorded: the log
// answers no node that this one hears of.
func (node *Node) recordingAway() bool {
	return feature.Enabled(feature.LogGate) && node.recordingAwayAt(time.Now())
}

func (node *Node) recordingAwayAt(now time.Time) bool {
	age := node.awakeAge(&node.logHealth.answered, now)
	return age > logAwayAfter || (age > unrecordedAfter && node.recorder.StalledFor(now) > unrecordedAfter)
}
