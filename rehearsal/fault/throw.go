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
	// leavingBound is how long a leaving back end may still get new work; the
	// machine list's own lag comes on top.
	leavingBound = 3 * time.Second
	listLag      = 300 * time.Millisecond
	// restartBound bounds the wait until a process that was started anew serves.
	restartBound = 30 * time.Second
	// barLength is longer than a kill takes: until then the back end that will
	// be killed refuses new work, so that its counts are whole.
	barLength  = 5 * time.Second
	leavePath  = "/debug/leave"
	faultPath  = fault.Path
	rollingGap = time.Second
)

// throwAll throws the scenario's faults at their times and returns once all are
// over.
func (runner *runner) throwAll(ctx context.Context) {
	var group sync.WaitGroup
	for _, planned := range runner.scenario.Faults {
		group.Add(1)
		go func() {
			defer group.Done()
			if !pause(ctx, planned.At-runner.now()) {
				return
			}
			if err := runner.throw(ctx, planned); err != nil {
				runner.fail(eris.Wrapf(err, "fault %s %s at %s", planned.Kind, planned.Target, planned.At))
			}
		}()
	}
	group.Wait()
}

func (runner *runner) throw(ctx context.Context, planned Fault) error {
	target := planned.Target
	if target == LeaderTarget {
		leader, err := runner.leader(ctx)
		if err != nil {
			return err
		}
		target = leader
	}
	runner.tell("%s %s for %s", planned.Kind, target, planned.For)
	switch planned.Kind {
	case Kill:
		return runner.kill(ctx, target, planned.For)
	case Freeze:
		return runner.freeze(ctx, target, planned.For)
	case Stop:
		return runner.stopAndStart(ctx, target, planned.For)
	case Rolling:
		return runner.roll(ctx, max(planned.For, rollingGap))
	case Leave:
		return runner.leave(ctx, target, runner.cluster.Plan().MachinesAddress(), machines.PathLeave, machines.MachineID{ID: target})
	case ReportLeaving:
		return runner.leave(ctx, target, runner.addressOf(target), leavePath, struct{}{})
	case Cut, CutOff:
		runner.cutZone(ctx, planned)
		return nil
	}
	return runner.inject(ctx, target, planned)
}

func (runner *runner) kill(ctx context.Context, target string, length time.Duration) error {
	from := runner.now()
	if err := runner.barAndCount(ctx, target); err != nil {
		return err
	}
	if err := runner.cluster.Kill(target); err != nil {
		return err
	}
	return runner.startLater(ctx, target, from, length)
}

// startLater starts a process anew after a time; 0 leaves it down.
func (runner *runner) startLater(ctx context.Context, target string, from, length time.Duration) error {
	if length == 0 {
		runner.disturbed(target, from, runner.scenario.Duration+quietBound)
		return nil
	}
	pause(ctx, length)
	err := runner.start(ctx, target)
	runner.disturbed(target, from, runner.now())
	return err
}

func (runner *runner) start(ctx context.Context, target string) error {
	machine, found := runner.cluster.Machine(target)
	if !found {
		return eris.Errorf("no machine %q", target)
	}
	runner.countStart(target)
	if err := runner.cluster.StartMachine(ctx, machine); err != nil {
		return err
	}
	runner.tell("%s started anew", target)
	if !isOurs(machine.Role) {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, restartBound)
	defer cancel()
	return runner.cluster.AwaitReady(bounded, machine)
}

func isOurs(role outside.MachineRole) bool {
	return role == outside.RoleGateway || role == outside.RoleScheduler
}

func (runner *runner) freeze(ctx context.Context, target string, length time.Duration) error {
	from := runner.now()
	if err := runner.cluster.Freeze(target); err != nil {
		return err
	}
	pause(ctx, length)
	err := runner.cluster.Resume(target)
	runner.disturbed(target, from, runner.now())
	runner.tell("%s woken", target)
	return err
}

func (runner *runner) stopAndStart(ctx context.Context, target string, length time.Duration) error {
	from := runner.now()
	if err := runner.cluster.StopMachine(target); err != nil {
		return err
	}
	runner.tell("%s stopped in %s", target, (runner.now() - from).Round(time.Millisecond))
	return runner.startLater(ctx, target, from, max(length, time.Millisecond))
}

// roll replaces every gateway and scheduler, one after the other.
func (runner *runner) roll(ctx context.Context, gap time.Duration) error {
	for _, machine := range runner.cluster.Plan().Machines() {
		if !isOurs(machine.Role) {
			continue
		}
		if err := runner.stopAndStart(ctx, machine.ID, 0); err != nil {
			return err
		}
		pause(ctx, gap)
	}
	return nil
}

// leave tells that a back end leaves, and keeps what it has run once the bound
// is over.
func (runner *runner) leave(ctx context.Context, target, address, path string, order any) error {
	at := runner.now()
	if err := cluster.PostJSON(ctx, address, path, order); err != nil {
		return err
	}
	pause(ctx, leavingBound+listLag)
	before, err := runner.readRuns(ctx, runner.addressOf(target))
	if err != nil {
		return err
	}
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.Leavings = append(runner.record.Leavings, history.Leaving{BackEnd: target, At: at, Before: before.Runs})
	return nil
}

// cutZone cuts a zone off and heals it. A zone that reaches neither the other
// zones nor the log can't know of new configurations meanwhile.
func (runner *runner) cutZone(ctx context.Context, planned Fault) {
	from, off := runner.now(), planned.Kind == CutOff
	zone := runner.scenario.zone(planned)
	runner.cluster.IsolateZone(zone, off)
	pause(ctx, planned.For)
	runner.cluster.HealZone(zone, off)
	runner.tell("%s healed", planned.Target)
	if !off {
		return
	}
	for _, machine := range runner.cluster.Plan().Machines() {
		if machine.Zone == planned.Target {
			runner.disturbed(machine.ID, from, runner.now())
		}
	}
}

func (runner *runner) inject(ctx context.Context, target string, planned Fault) error {
	err := cluster.PostJSON(ctx, runner.addressOf(target), faultPath, fault.Order{
		Kind:        planned.Effect,
		ForMillis:   planned.For.Milliseconds(),
		Probability: planned.Probability,
		Seed:        runner.scenario.Seed,
		DelayMillis: planned.Delay.Milliseconds(),
	})
	pause(ctx, planned.For)
	return err
}

func (runner *runner) addressOf(target string) string {
	switch target {
	case LogTarget:
		return runner.cluster.Plan().LogAddress()
	case MachinesTarget:
		return runner.cluster.Plan().MachinesAddress()
	}
	machine, _ := runner.cluster.Machine(target)
	return machine.Address
}

// disturbed notes a time in which a process was down or frozen.
func (runner *runner) disturbed(process string, from, until time.Duration) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.Disturbed = append(runner.record.Disturbed, history.Disturbance{Process: process, From: from, Until: until})
}

// tell prints what happens.
func (runner *runner) tell(format string, values ...any) {
	fmt.Fprintf(runner.output, "%8s %s\n", runner.now().Round(time.Millisecond), fmt.Sprintf(format, values...))
}
