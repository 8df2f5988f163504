package keeper

import "time"

// Decision is a recorded scheduling decision about a call, shown to operators.
type Decision struct {
	Call CallKey
	At   time.Duration
	What string
	Why  string
}

// decisionRing is a ring buffer of the latest decisions.
type decisionRing struct {
	decisions []Decision
	next      int
}

func newDecisionRing(size int) decisionRing {
	return decisionRing{decisions: make([]Decision, 0, size)}
}

// add appends a decision, overwriting the oldest one when the ring is full.
func (ring *decisionRing) add(decision Decision) {
	if len(ring.decisions) < cap(ring.decisions) {
		ring.decisions = append(ring.decisions, decision)
		return
	}
	ring.decisions[ring.next] = decision
	ring.next = (ring.next + 1) % len(ring.decisions)
}

// recordDecision records a decision for Explain.
func (keeper *Keeper) recordDecision(call CallKey, what, why string) {
	keeper.decisions.add(Decision{Call: call, At: keeper.now, What: what, Why: why})
}

// Explain returns the recorded decisions about all attempts of a call, oldest
// first. For a waiting call it adds a decision with the predicted wait.
func (keeper *Keeper) Explain(program, requestID string) []Decision {
	var found []Decision
	ring := &keeper.decisions
	for step := range ring.decisions {
		decision := ring.decisions[(ring.next+step)%len(ring.decisions)]
		if decision.Call.Program == program && decision.Call.RequestID == requestID {
			found = append(found, decision)
		}
	}
	return append(found, keeper.explainWaiting(program, requestID)...)
}

// explainWaiting describes the latest waiting attempt of a call.
func (keeper *Keeper) explainWaiting(program, requestID string) []Decision {
	var latest *waitingCall
	for key, call := range keeper.waiting {
		if key.Program != program || key.RequestID != requestID {
			continue
		}
		if latest == nil || key.Attempt > latest.request.Call.Attempt {
			latest = call
		}
	}
	if latest == nil {
		return nil
	}
	why := "queued; a new call of its tier is predicted to wait " + keeper.predictWait(latest.rank.Band).String()
	return []Decision{{Call: latest.request.Call, At: latest.queuedAt, What: "wait", Why: why}}
}
