package fault

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/cluster"
	"github.com/magpielug/magpielug/rehearsal/history"
	"github.com/magpielug/magpielug/rehearsal/standin/engine"
	"github.com/magpielug/magpielug/rehearsal/standin/fault"
)

// queryBound bounds one question to a stand-in.
const queryBound = 5 * time.Second

// processName names one process of a back end: a process started anew counts
// from nothing.
func (runner *runner) processName(target string) string {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	return fmt.Sprintf("%s/%d", target, runner.starts[target])
}

func (runner *runner) countStart(target string) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.starts[target]++
}

func isBackEnd(role outside.MachineRole) bool {
	return role == outside.RoleEngine || role == outside.RoleTool
}

// barAndCount takes the counts of a back end that is about to be killed. From
// the reading to the kill it refuses new work, so that nothing runs uncounted.
func (runner *runner) barAndCount(ctx context.Context, target string) error {
	machine, found := runner.cluster.Machine(target)
	if !found || !isBackEnd(machine.Role) {
		return nil
	}
	order := fault.Order{Kind: fault.Outage, ForMillis: barLength.Milliseconds()}
	if err := cluster.PostJSON(ctx, machine.Address, faultPath, order); err != nil {
		return err
	}
	return runner.count(ctx, machine)
}

// count takes the counts of one back end's process.
func (runner *runner) count(ctx context.Context, machine cluster.Machine) error {
	answer, err := runner.readRuns(ctx, machine.Address)
	if err != nil {
		return err
	}
	name := runner.processName(machine.ID)
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.BackEnds.Record(name, answer.Runs)
	runner.record.BackEnds.Late += answer.Late
	for index, leaving := range runner.record.Leavings {
		if leaving.BackEnd == machine.ID {
			runner.record.Leavings[index].After = answer.Runs
		}
	}
	return nil
}

// collectRuns takes the counts of every back end that runs.
func (runner *runner) collectRuns(ctx context.Context) error {
	for _, machine := range runner.cluster.Plan().Machines() {
		if !isBackEnd(machine.Role) || !runner.cluster.IsRunning(machine.ID) {
			continue
		}
		if err := runner.count(ctx, machine); err != nil {
			return err
		}
	}
	return nil
}

// collectMemory waits until the engines hold nothing, and notes what they still
// hold at the bound: all programs are over by then.
func (runner *runner) collectMemory(ctx context.Context) {
	until := time.Now().Add(releaseBound)
	for {
		held, err := runner.heldMemory(ctx)
		if err != nil {
			runner.fail(err)
			return
		}
		if len(held) == 0 || time.Now().After(until) || !pause(ctx, releasePoll) {
			runner.record.Unreleased = held
			runner.record.EnginesRead = true
			return
		}
	}
}

func (runner *runner) heldMemory(ctx context.Context) ([]history.HeldMemory, error) {
	var held []history.HeldMemory
	for _, machine := range runner.cluster.Plan().Machines() {
		if machine.Role != outside.RoleEngine || !runner.cluster.IsRunning(machine.ID) {
			continue
		}
		var state wire.LoadReport
		if err := runner.query(ctx, machine.Address+engine.PathState, &state); err != nil {
			return nil, err
		}
		for program, count := range state.ProgramBlocks {
			if count > 0 {
				held = append(held, history.HeldMemory{Engine: machine.ID, Program: program, Blocks: count})
			}
		}
	}
	return held, nil
}

func (runner *runner) readRuns(ctx context.Context, address string) (engine.RunsAnswer, error) {
	var answer engine.RunsAnswer
	return answer, runner.query(ctx, address+engine.PathRuns, &answer)
}

// query reads a JSON answer of a stand-in.
func (runner *runner) query(ctx context.Context, url string, answer any) error {
	bounded, cancel := context.WithTimeout(ctx, queryBound)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+url, nil)
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	response, err := runner.client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "ask %s", url)
	}
	defer response.Body.Close()
	return eris.Wrapf(json.NewDecoder(response.Body).Decode(answer), "read the answer of %s", url)
}
