package fault

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magpielug/magpielug/rehearsal/workload"
)

// incompleteProgramDelay is the wait after a program that could not make all of its
// calls.
const incompleteProgramDelay = 500 * time.Millisecond

// client runs programs sequentially.
type client struct {
	runner *runner
	number int
	kind   workload.Kind
	random *rand.Rand
}

// runClients runs all clients concurrently. Clients start no new program after the
// scenario's duration; runClients returns when their last programs have made their
// calls.
func (runner *runner) runClients(ctx context.Context) {
	kinds := topLevelKinds(runner.deployment)
	var group sync.WaitGroup
	for number := range runner.scenario.Load.Clients {
		client := &client{
			runner: runner,
			number: number,
			kind:   kinds[number%len(kinds)],
			random: rand.New(rand.NewPCG(runner.scenario.Seed, uint64(number))),
		}
		runner.background(&group, func() { client.run(ctx) })
	}
	group.Wait()
}

// topLevelKinds lists the program kinds that callers start, without those that are
// only sub-agents.
func topLevelKinds(deployment workload.Deployment) []workload.Kind {
	var kinds []workload.Kind
	for _, kind := range deployment.Kinds {
		if kind.Share > 0 {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

func (client *client) run(ctx context.Context) {
	for count := 0; ctx.Err() == nil && client.runner.elapsed() < client.runner.scenario.Duration; count++ {
		program := client.newProgram(fmt.Sprintf("client-%d-program-%d", client.number, count), "")
		completed := program.run(ctx, client.runner.scenario.Load.Turns)
		// Every other program stays open until all faults have ended, to check that
		// it can still be read and ended then.
		if count%2 == 0 {
			program.close(ctx)
		} else {
			client.runner.deferClose(program)
		}
		if !completed && !sleep(ctx, incompleteProgramDelay) {
			return
		}
	}
}

func (runner *runner) deferClose(program *programRun) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.openPrograms = append(runner.openPrograms, program)
}

// closeOpenPrograms reads and ends the programs that were kept open.
func (runner *runner) closeOpenPrograms(ctx context.Context) {
	var group sync.WaitGroup
	for _, program := range runner.openPrograms {
		runner.background(&group, func() { program.close(ctx) })
	}
	group.Wait()
}
