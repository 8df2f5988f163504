package scheduler

import (
	"math"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
)

// toolFailureCooldown is how long other back ends of the service are preferred to one that
// failed a call. Without it, a lost back end would be selected for every attempt, since it has
// no calls in progress.
const toolFailureCooldown = 3 * time.Second

// selectTool returns the live back end of a tool service with the fewest calls in progress from
// this process, preferring those without a recent failure.
func (core *Core) selectTool(service string) (outside.Machine, bool) {
	load := core.toolLoad()
	fewest := math.MaxInt
	selectedFailed := true
	var selected outside.Machine
	for _, machine := range core.directory.toolsOf(service) {
		if core.configuration != nil && core.configuration.Drained(machine.ID) {
			continue
		}
		failed := core.toolFailedRecently(machine.ID)
		preferred := load[machine.ID] < fewest
		if failed != selectedFailed {
			preferred = selectedFailed
		}
		if preferred {
			fewest = load[machine.ID]
			selectedFailed = failed
			selected = machine
		}
	}
	return selected, fewest < math.MaxInt
}

// toolLoad counts this process's tool calls in progress by back end.
func (core *Core) toolLoad() map[string]int {
	load := make(map[string]int)
	for _, host := range core.hosts {
		for _, live := range host.calls {
			if live.isTool() && live.call.Intent() != nil {
				load[live.call.Intent().BackEnd]++
			}
		}
	}
	return load
}

// noteToolEnd records whether the back end failed the call. A timeout is not attributed to the
// back end.
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

func (core *Core) toolFailedRecently(backEnd string) bool {
	failedAt, failed := core.toolFailedAt[backEnd]
	return failed && core.now-failedAt < toolFailureCooldown
}

// expireToolFailures removes failures older than toolFailureCooldown.
func (core *Core) expireToolFailures() {
	for backEnd, failedAt := range core.toolFailedAt {
		if core.now-failedAt >= toolFailureCooldown {
			delete(core.toolFailedAt, backEnd)
		}
	}
}
