package enginemodel

import "time"

// usage integrates block-seconds in constant time an event: for the blocks now
// in a state it keeps their count and the sum of the times they entered it, so
// that the time spent so far is count × now − sum.
type usage struct {
	held     integral
	unreused integral
	idle     integral
}

// integral sums the time that a changing set of blocks spends in one state.
type integral struct {
	count   int64
	entered time.Duration
	closed  time.Duration
}

func (sum *integral) enter(now time.Duration) {
	sum.count++
	sum.entered += now
}

// leave removes a block that entered at since and adds its time to the total.
func (sum *integral) leave(since, now time.Duration) {
	sum.forget(since)
	sum.closed += now - since
}

// forget removes a block that entered at since without counting its time.
func (sum *integral) forget(since time.Duration) {
	sum.count--
	sum.entered -= since
}

// seconds is the total as though every block left now.
func (sum *integral) seconds(now time.Duration) float64 {
	open := float64(sum.count)*now.Seconds() - sum.entered.Seconds()
	return sum.closed.Seconds() + open
}

func (total *usage) hold(now time.Duration) {
	total.held.enter(now)
	total.unreused.enter(now)
}

// markReused takes a block that was held since then out of the unreused ones.
func (total *usage) markReused(heldSince time.Duration) {
	total.unreused.forget(heldSince)
}

func (total *usage) enterIdle(now time.Duration) { total.idle.enter(now) }

// leaveIdle forgets an idle time that ended in a reuse.
func (total *usage) leaveIdle(idleSince time.Duration) { total.idle.forget(idleSince) }

// free closes the account of an idle block that is freed now.
func (total *usage) free(now time.Duration, entry *block) {
	total.held.leave(entry.heldSince, now)
	total.idle.leave(entry.idleSince, now)
	if !entry.reused {
		total.unreused.leave(entry.heldSince, now)
	}
}
