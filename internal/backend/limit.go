package backend

import (
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

const (
	// limitCut is what a refusal leaves of a bound, limitRaise what as many answers
	// as the bound add to it.
	limitCut   = 0.7
	limitRaise = 0.5
	// limitPause separates two cuts: refusals that come together count once.
	limitPause = 100 * time.Millisecond
	// limitForgotten is how long after the last refusal a bound is dropped.
	limitForgotten = 3 * time.Second
	// longestFullPause is the most that an engine is passed over for a refusal. It doubles
	// with each that follows on another one without an answer between: an engine that
	// refuses all it gets has no requests under way and would attract each call, whose
	// further ask is taken from the retry budget. Of eight engines one such would take a
	// quarter of the asks of a node, and at 0.4 s takes 2.5 a second.
	longestFullPause = 400 * time.Millisecond
)

// limit bounds this node's requests under way at one engine. It is learned as
// senders of a network learn theirs: a refusal cuts it by a part, answers raise it
// slowly, and where nothing is refused there is none. All nodes together thereby
// offer an engine little more than it takes, without a word between them.
type limit struct {
	// most is the bound, 0 for none.
	most    float64
	refused time.Time
	// inRow counts the refusals since the last answer, those that came together once.
	inRow int
}

// inForce is the bound now, 0 for none.
func (limit *limit) inForce(now time.Time) float64 {
	if now.Sub(limit.refused) > limitForgotten {
		return 0
	}
	return limit.most
}

// admits tells whether one more request may be sent beside those under way.
func (limit *limit) admits(running int, now time.Time) bool {
	most := limit.inForce(now)
	return most == 0 || float64(running+1) <= most || !feature.Enabled(feature.EngineLimits)
}

// cut notes a refusal beside the requests under way.
func (limit *limit) cut(running int, now time.Time) {
	most := limit.inForce(now)
	if most != 0 && now.Sub(limit.refused) < limitPause {
		return
	}
	limit.refused = now
	tried := float64(running + 1)
	if most != 0 {
		tried = min(tried, most)
	}
	limit.most = max(limitCut*tried, 1)
}

// passOverFull passes the engine over that has just refused a request for want of room.
func (engine *Engine) passOverFull(now time.Time) {
	if !now.Before(engine.fullUntil) {
		engine.limit.inRow++
	}
	pause := fullPause
	if feature.Enabled(feature.LoadBasedCapacity) {
		pause = min(backoff(fullPause, engine.limit.inRow-1), longestFullPause)
	}
	engine.fullUntil = now.Add(pause)
}

// raise notes an answer.
func (limit *limit) raise() {
	limit.inRow = 0
	if limit.most != 0 {
		limit.most += limitRaise / limit.most
	}
}
