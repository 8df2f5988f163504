package enginemodel

import "time"

// blockUsage accumulates block-seconds by block state.
type blockUsage struct {
	held     timeIntegral
	unreused timeIntegral
	idle     timeIntegral
}

// timeIntegral accumulates the block-seconds that blocks spend in one state, in
// constant time per event. For the blocks in the state it keeps their count and
// the sum of their entry times, so their time so far is count × now − enteredSum.
type timeIntegral struct {
	count      int64
	enteredSum time.Duration
	closedSum  time.Duration
}

func (integral *timeIntegral) add(now time.Duration) {
	integral.count++
	integral.enteredSum += now
}

// remove removes a block that entered at since and adds its time to closedSum.
func (integral *timeIntegral) remove(since, now time.Duration) {
	integral.discard(since)
	integral.closedSum += now - since
}

// discard removes a block that entered at since without counting its time.
func (integral *timeIntegral) discard(since time.Duration) {
	integral.count--
	integral.enteredSum -= since
}

// seconds returns the block-seconds up to now, blocks still in the state
// included.
func (integral *timeIntegral) seconds(now time.Duration) float64 {
	open := float64(integral.count)*now.Seconds() - integral.enteredSum.Seconds()
	return integral.closedSum.Seconds() + open
}

func (usage *blockUsage) allocated(now time.Duration) {
	usage.held.add(now)
	usage.unreused.add(now)
}

// markReused removes a block allocated at heldSince from the unreused blocks.
func (usage *blockUsage) markReused(heldSince time.Duration) {
	usage.unreused.discard(heldSince)
}

func (usage *blockUsage) becameIdle(now time.Duration) { usage.idle.add(now) }

// reusedFromIdle discards the idle time of a block that is in use again.
func (usage *blockUsage) reusedFromIdle(idleSince time.Duration) { usage.idle.discard(idleSince) }

// freed adds the times of an idle block that is freed now.
func (usage *blockUsage) freed(now time.Duration, entry *block) {
	usage.held.remove(entry.heldSince, now)
	usage.idle.remove(entry.idleSince, now)
	if !entry.reused {
		usage.unreused.remove(entry.heldSince, now)
	}
}
