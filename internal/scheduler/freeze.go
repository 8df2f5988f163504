package scheduler

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
)

const (
	// frozenAfter is the time between two steps from which on the process is taken to have
	// been frozen, and between a decision and its sending from which on that is made anew.
	// With the interval of the machine list and its lag it stays within the three seconds
	// for which a leaving back end may get new work.
	frozenAfter = 500 * time.Millisecond
	// listPatience is how long sends wait for the machine list after a freeze. A list that
	// does not answer must not stop all work.
	listPatience = time.Second
)

// noteStep compares the clock with the last step's. Whatever a frozen process knew of the
// machines is as old as the freeze was long, so it has the list read again at once.
func (core *Core) noteStep(now time.Duration) {
	gap := now - core.lastStep
	if core.stepped && gap > frozenAfter {
		core.wokenAt = now
		core.log("process_was_frozen", 0, "", "", fmt.Sprintf("for=%s", gap))
		core.emit(ReadMachines{})
	}
	core.stepped = true
	core.lastStep = now
}

// listCurrent tells whether the machine list was asked for since the process was last
// frozen, or did not answer for too long. Until then nothing is sent: an engine that left
// during the freeze would get new work.
func (core *Core) listCurrent() bool {
	return core.listAskedAt >= core.wokenAt || core.now-core.wokenAt > listPatience
}

// leftSince tells whether a back end that was chosen for a call takes no work any more.
func (core *Core) leftSince(live *liveCall) bool {
	machines := core.directory.engines
	if live.isTool() {
		machines = core.directory.tools
	}
	backEnd := live.call.Intent().BackEnd
	machine, listed := machines[backEnd]
	drained := core.configuration != nil && core.configuration.Drained(backEnd)
	return !listed || machine.State != outside.MachineLive || drained
}
