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

// queryTimeout bounds one request to a stand-in.
const queryTimeout = 5 * time.Second

// processName identifies one process of a machine. A restarted process counts its
// runs from zero.
func (runner *runner) processName(target string) string {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	return fmt.Sprintf("%s/%d", target, runner.restarts[target])
}

func (runner *runner) countRestart(target string) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.restarts[target]++
}

func isBackend(role outside.MachineRole) bool {
	return role == outside.RoleEngine || role == outside.RoleTool
}

// rejectCallsAndCollectRuns records the run counts of a backend that is about to be
// killed. The backend first starts to reject calls, so that none runs uncounted
// before the kill. Other machines are ignored.
func (runner *runner) rejectCallsAndCollectRuns(ctx context.Context, target string) error {
	machine, found := runner.cluster.Machine(target)
	if !found || !isBackend(machine.Role) {
		return nil
	}
	request := fault.Spec{Kind: fault.Outage, DurationMillis: rejectDuration.Milliseconds()}
	if err := cluster.PostJSON(ctx, machine.Address, faultPath, request); err != nil {
		return err
	}
	return runner.collectMachineRuns(ctx, machine)
}

// collectMachineRuns records the run counts of one backend's current process.
func (runner *runner) collectMachineRuns(ctx context.Context, machine cluster.Machine) error {
	response, err := runner.fetchRuns(ctx, machine.Address)
	if err != nil {
		return err
	}
	name := runner.processName(machine.ID)
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.BackEnds.RecordRuns(name, response.Runs)
	runner.record.BackEnds.LateRequests += response.LateRequests
	for index, leaving := range runner.record.Drains {
		if leaving.BackEnd == machine.ID {
			runner.record.Drains[index].RunsAfter = response.Runs
		}
	}
	return nil
}

// collectRuns records the run counts of every running backend.
func (runner *runner) collectRuns(ctx context.Context) error {
	for _, machine := range runner.cluster.Plan().Machines() {
		if !isBackend(machine.Role) || !runner.cluster.IsRunning(machine.ID) {
			continue
		}
		if err := runner.collectMachineRuns(ctx, machine); err != nil {
			return err
		}
	}
	return nil
}

// awaitMemoryRelease waits until the engines hold no cache blocks of programs, and
// records the blocks still held after memoryReleaseTimeout. All programs have ended
// when it is called.
func (runner *runner) awaitMemoryRelease(ctx context.Context) {
	until := time.Now().Add(memoryReleaseTimeout)
	for {
		held, err := runner.fetchHeldMemory(ctx)
		if err != nil {
			runner.addError(err)
			return
		}
		if len(held) == 0 || time.Now().After(until) || !sleep(ctx, memoryPollInterval) {
			runner.record.LeakedMemory = held
			runner.record.EngineMemoryChecked = true
			return
		}
	}
}

func (runner *runner) fetchHeldMemory(ctx context.Context) ([]history.HeldMemory, error) {
	var held []history.HeldMemory
	for _, machine := range runner.cluster.Plan().Machines() {
		if machine.Role != outside.RoleEngine || !runner.cluster.IsRunning(machine.ID) {
			continue
		}
		var state wire.LoadReport
		if err := runner.fetchJSON(ctx, machine.Address+engine.PathState, &state); err != nil {
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

func (runner *runner) fetchRuns(ctx context.Context, address string) (engine.RunsResponse, error) {
	var response engine.RunsResponse
	return response, runner.fetchJSON(ctx, address+engine.PathRuns, &response)
}

// fetchJSON decodes a stand-in's JSON response into result.
func (runner *runner) fetchJSON(ctx context.Context, url string, result any) error {
	bounded, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, "http://"+url, nil)
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	response, err := runner.client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "query %s", url)
	}
	defer response.Body.Close()
	return eris.Wrapf(json.NewDecoder(response.Body).Decode(result), "decode the response of %s", url)
}
