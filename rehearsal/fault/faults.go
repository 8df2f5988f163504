package fault

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/rehearsal/cluster"
	"github.com/magpielug/magpielug/rehearsal/history"
	"github.com/magpielug/magpielug/rehearsal/standin/fault"
	"github.com/magpielug/magpielug/rehearsal/standin/machines"
)

const (
	// leaveGracePeriod is how long a leaving backend may still receive new calls, in
	// addition to the machine list's lag.
	leaveGracePeriod = 3 * time.Second
	machineListLag   = 300 * time.Millisecond
	// readyTimeout bounds the wait until a restarted process is ready.
	readyTimeout = 30 * time.Second
	// rejectDuration is how long a backend rejects calls before it is killed. It exceeds
	// the time until the kill, so that no call runs after its counts were read.
	rejectDuration     = 5 * time.Second
	leavePath          = "/debug/leave"
	faultPath          = fault.Path
	minRollingInterval = time.Second
)

// runFaults starts the scenario's faults at their scheduled times and returns when all
// have ended.
func (runner *runner) runFaults(ctx context.Context) {
	var group sync.WaitGroup
	for _, scheduled := range runner.scenario.Faults {
		group.Add(1)
		go func() {
			defer group.Done()
			if !sleep(ctx, scheduled.At-runner.elapsed()) {
				return
			}
			if err := runner.runFault(ctx, scheduled); err != nil {
				runner.addError(eris.Wrapf(err, "fault %s %s at %s", scheduled.Kind, scheduled.Target, scheduled.At))
			}
		}()
	}
	group.Wait()
}

func (runner *runner) runFault(ctx context.Context, scheduled Fault) error {
	target := scheduled.Target
	if target == LeaderTarget {
		leader, err := runner.busiestLeader(ctx)
		if err != nil {
			return err
		}
		target = leader
	}
	runner.logf("%s %s for %s", scheduled.Kind, target, scheduled.Duration)
	switch scheduled.Kind {
	case Kill:
		return runner.kill(ctx, target, scheduled.Duration)
	case Freeze:
		return runner.freeze(ctx, target, scheduled.Duration)
	case Stop:
		return runner.stopAndRestart(ctx, target, scheduled.Duration)
	case Rolling:
		return runner.rollingRestart(ctx, max(scheduled.Duration, minRollingInterval))
	case Leave:
		return runner.announceLeaving(ctx, target, runner.cluster.Plan().MachinesAddress(), machines.PathLeave, machines.MachineID{ID: target})
	case ReportLeaving:
		return runner.announceLeaving(ctx, target, runner.targetAddress(target), leavePath, struct{}{})
	case IsolateZone, IsolateZoneFully:
		runner.isolateZone(ctx, scheduled)
		return nil
	}
	return runner.inject(ctx, target, scheduled)
}

func (runner *runner) kill(ctx context.Context, target string, duration time.Duration) error {
	from := runner.elapsed()
	if err := runner.rejectCallsAndCollectRuns(ctx, target); err != nil {
		return err
	}
	if err := runner.cluster.Kill(target); err != nil {
		return err
	}
	return runner.restartAfter(ctx, target, from, duration)
}

// restartAfter restarts a machine's process after a duration; 0 leaves it down. It
// records the downtime, which began at from.
func (runner *runner) restartAfter(ctx context.Context, target string, from, duration time.Duration) error {
	if duration == 0 {
		runner.recordDisturbance(target, from, runner.scenario.Duration+completionTimeout)
		return nil
	}
	sleep(ctx, duration)
	err := runner.restart(ctx, target)
	runner.recordDisturbance(target, from, runner.elapsed())
	return err
}

func (runner *runner) restart(ctx context.Context, target string) error {
	machine, found := runner.cluster.Machine(target)
	if !found {
		return eris.Errorf("unknown machine %q", target)
	}
	runner.countRestart(target)
	if err := runner.cluster.StartMachine(ctx, machine); err != nil {
		return err
	}
	runner.logf("%s restarted", target)
	if !isMagpielugRole(machine.Role) {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return runner.cluster.AwaitReady(bounded, machine)
}

func isMagpielugRole(role outside.MachineRole) bool {
	return role == outside.RoleGateway || role == outside.RoleScheduler
}

func (runner *runner) freeze(ctx context.Context, target string, duration time.Duration) error {
	from := runner.elapsed()
	if err := runner.cluster.Freeze(target); err != nil {
		return err
	}
	sleep(ctx, duration)
	err := runner.cluster.Resume(target)
	runner.recordDisturbance(target, from, runner.elapsed())
	runner.logf("%s resumed", target)
	return err
}

func (runner *runner) stopAndRestart(ctx context.Context, target string, duration time.Duration) error {
	from := runner.elapsed()
	if err := runner.cluster.StopMachine(target); err != nil {
		return err
	}
	runner.logf("%s stopped in %s", target, (runner.elapsed() - from).Round(time.Millisecond))
	return runner.restartAfter(ctx, target, from, max(duration, time.Millisecond))
}

// rollingRestart restarts every gateway and scheduler, one after the other.
func (runner *runner) rollingRestart(ctx context.Context, gap time.Duration) error {
	for _, machine := range runner.cluster.Plan().Machines() {
		if !isMagpielugRole(machine.Role) {
			continue
		}
		if err := runner.stopAndRestart(ctx, machine.ID, 0); err != nil {
			return err
		}
		sleep(ctx, gap)
	}
	return nil
}

// announceLeaving announces that a backend is leaving, and records its run counts after
// the grace period.
func (runner *runner) announceLeaving(ctx context.Context, target, address, path string, body any) error {
	at := runner.elapsed()
	if err := cluster.PostJSON(ctx, address, path, body); err != nil {
		return err
	}
	sleep(ctx, leaveGracePeriod+machineListLag)
	before, err := runner.fetchRuns(ctx, runner.targetAddress(target))
	if err != nil {
		return err
	}
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.Drains = append(runner.record.Drains, history.Drain{BackEnd: target, At: at, RunsBefore: before.Runs})
	return nil
}

// isolateZone isolates a zone for the fault's duration. If the platform is unreachable
// too, it records the zone's machines as disturbed: they can't receive configurations.
func (runner *runner) isolateZone(ctx context.Context, scheduled Fault) {
	from, withPlatform := runner.elapsed(), scheduled.Kind == IsolateZoneFully
	zone := runner.scenario.targetZone(scheduled)
	runner.cluster.IsolateZone(zone, withPlatform)
	sleep(ctx, scheduled.Duration)
	runner.cluster.HealZone(zone, withPlatform)
	runner.logf("%s healed", scheduled.Target)
	if !withPlatform {
		return
	}
	for _, machine := range runner.cluster.Plan().Machines() {
		if machine.Zone == scheduled.Target {
			runner.recordDisturbance(machine.ID, from, runner.elapsed())
		}
	}
}

func (runner *runner) inject(ctx context.Context, target string, scheduled Fault) error {
	err := cluster.PostJSON(ctx, runner.targetAddress(target), faultPath, fault.Spec{
		Kind:           scheduled.Effect,
		DurationMillis: scheduled.Duration.Milliseconds(),
		Probability:    scheduled.Probability,
		Seed:           runner.scenario.Seed,
		DelayMillis:    scheduled.Delay.Milliseconds(),
	})
	sleep(ctx, scheduled.Duration)
	return err
}

func (runner *runner) targetAddress(target string) string {
	switch target {
	case LogTarget:
		return runner.cluster.Plan().LogAddress()
	case MachinesTarget:
		return runner.cluster.Plan().MachinesAddress()
	}
	machine, _ := runner.cluster.Machine(target)
	return machine.Address
}

// recordDisturbance records a period in which a process was down, frozen or cut off.
func (runner *runner) recordDisturbance(process string, from, until time.Duration) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.Outages = append(runner.record.Outages, history.Outage{Process: process, From: from, Until: until})
}

// logf writes a line with the time since the load started to the run's output.
func (runner *runner) logf(format string, values ...any) {
	fmt.Fprintf(runner.output, "%8s %s\n", runner.elapsed().Round(time.Millisecond), fmt.Sprintf(format, values...))
}
