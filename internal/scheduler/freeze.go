package scheduler

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
)

const (
	// freezeThreshold is the time between two steps above which the process is considered to
	// have been frozen, and the age above which a decision to send a call is discarded. Together
	// with the read interval and the lag of the machine list it must stay below the three
	// seconds for which a leaving back end may get new work.
	freezeThreshold = 500 * time.Millisecond
	// machineListTimeout bounds how long sends wait for the machine list after a freeze, so that
	// an outage of the list does not stop all work.
	machineListTimeout = time.Second
)

// detectFreeze checks the time since the last step. After a freeze, the machine list is out of
// date and is read again immediately.
func (core *Core) detectFreeze(now time.Duration) {
	gap := now - core.lastStep
	if core.stepped && gap > freezeThreshold {
		core.resumedAt = now
		core.log("process_was_frozen", 0, "", "", fmt.Sprintf("for=%s", gap))
		core.emit(ReadMachines{})
	}
	core.stepped = true
	core.lastStep = now
}

// machineListCurrent reports whether the machine list was requested after the last freeze, or
// has not been received within machineListTimeout. Until then no call is sent, since its back
// end may have left during the freeze.
func (core *Core) machineListCurrent() bool {
	return core.listRequestedAt >= core.resumedAt || core.now-core.resumedAt > machineListTimeout
}

// backEndUnavailable reports whether the back end selected for a call no longer accepts work.
func (core *Core) backEndUnavailable(live *liveCall) bool {
	machines := core.directory.engines
	if live.isTool() {
		machines = core.directory.tools
	}
	backEnd := live.call.Intent().BackEnd
	machine, listed := machines[backEnd]
	drained := core.configuration != nil && core.configuration.Drained(backEnd)
	return !listed || machine.State != outside.MachineLive || drained
}
