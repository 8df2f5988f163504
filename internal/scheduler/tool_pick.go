package scheduler

import (
	"math"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
)

// toolAvoidance is how long a tool back end that failed a call is passed over
// for others of its service. One that is gone has no calls under way, and would
// otherwise get each attempt of each call until the machine list drops it.
const toolAvoidance = 3 * time.Second

// pickTool returns the live back end of a tool service on which this process
// has the fewest calls under way, one that has failed none lately if there is.
func (core *Core) pickTool(service string) (outside.Machine, bool) {
	busy := core.toolLoad()
	fewest := math.MaxInt
	avoided := true
	var picked outside.Machine
	for _, machine := range core.directory.toolsOf(service) {
		if core.configuration != nil && core.configuration.Drained(machine.ID) {
			continue
		}
		failed := core.toolFailedLately(machine.ID)
		better := busy[machine.ID] < fewest
		if failed != avoided {
			better = avoided
		}
		if better {
			fewest = busy[machine.ID]
			avoided = failed
			picked = machine
		}
	}
	return picked, fewest < math.MaxInt
}

// toolLoad counts this process's tool calls under way by back end.
func (core *Core) toolLoad() map[string]int {
	busy := make(map[string]int)
	for _, host := range core.hosts {
		for _, live := range host.calls {
			if live.isTool() && live.call.Intent() != nil {
				busy[live.call.Intent().BackEnd]++
			}
		}
	}
	return busy
}

// noteToolEnd remembers which back end has failed a call. A hung call says
// nothing about its back end.
func (core *Core) noteToolEnd(live *liveCall, end RunEnd) {
	intent := live.call.Intent()
	if !live.isTool() || intent == nil {
		return
	}
	switch end {
	case RunNotRun, RunLost:
		core.toolFailedAt[intent.BackEnd] = core.now
	case RunCompleted:
		delete(core.toolFailedAt, intent.BackEnd)
	}
}

func (core *Core) toolFailedLately(backEnd string) bool {
	failedAt, failed := core.toolFailedAt[backEnd]
	return failed && core.now-failedAt < toolAvoidance
}

// forgetToolFailures drops what no longer counts.
func (core *Core) forgetToolFailures() {
	for backEnd, failedAt := range core.toolFailedAt {
		if core.now-failedAt >= toolAvoidance {
			delete(core.toolFailedAt, backEnd)
		}
	}
}
