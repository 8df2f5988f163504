package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

const (
	budgetPrograms = 24
	programBudget  = 3000
	// earlyTurns are the turns of a program before the kill: a sixth of its budget.
	earlyTurns = 11
	// quietMargin is how much longer than the retention the deployment runs before the programs begin.
	quietMargin = 3 * time.Second
)

// runBudget lets the store drop the records of the first minute of a calm deployment, kills one node
// while programs are under way, and counts what each program gets in all.
func runBudget(ctx context.Context, run *run) (bool, error) {
	err := run.start(options{nodes: 3, engines: 4, tools: 1, eventsPerTurn: 5, eventDelay: 4 * time.Millisecond})
	if err != nil {
		return false, err
	}
	if err := run.serveCalmly(ctx, run.retention+quietMargin); err != nil {
		return false, err
	}
	programs := make([]*program, budgetPrograms)
	for number := range programs {
		programs[number] = &program{name: fmt.Sprintf("limited-%d", number), path: records.PathPlain, budget: programBudget, maxTokens: 5 * tokensPerEvent}
	}
	run.forEach(programs, func(program *program) {
		for range earlyTurns {
			run.client.turn(ctx, program, "input")
		}
	})
	if run.disturbed {
		run.record.note("node-1 is killed, and starts again")
		if err := run.deployment.restart(run.deployment.nodes[:1]); err != nil {
			return false, err
		}
	}
	run.forEach(programs, func(program *program) { run.spendAll(ctx, program) })
	return run.judgeBudgets(programs), nil
}

// serveCalmly runs a new program in each second, which continues no other.
func (run *run) serveCalmly(ctx context.Context, duration time.Duration) error {
	until := time.Now().Add(duration)
	for second := 0; time.Now().Before(until); second++ {
		programs := make([]*program, 4)
		for number := range programs {
			programs[number] = &program{name: fmt.Sprintf("calm-%d-%d", second, number), path: records.PathPlain, budget: programBudget, maxTokens: 5 * tokensPerEvent}
		}
		failed := make([]bool, len(programs))
		run.forEach(programs, func(program *program) {
			last, _ := run.client.turn(ctx, program, "input")
			failed[program.index(programs)] = !last.served()
		})
		for _, failure := range failed {
			if failure {
				return fmt.Errorf("a turn failed before the disruption")
			}
		}
		pause(ctx, time.Second)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// index returns the program's position among others.
func (program *program) index(programs []*program) int {
	for position, other := range programs {
		if other == program {
			return position
		}
	}
	return -1
}

// forEach runs a function for all programs at the same time.
func (run *run) forEach(programs []*program, action func(program *program)) {
	var group sync.WaitGroup
	for _, program := range programs {
		group.Go(func() { action(program) })
	}
	group.Wait()
}

// spendAll sends turns until the budget is spent.
func (run *run) spendAll(ctx context.Context, program *program) {
	for ctx.Err() == nil {
		last, _ := run.client.turn(ctx, program, "input")
		if last.status == 402 || program.received > 2*programBudget {
			return
		}
	}
}

func (run *run) judgeBudgets(programs []*program) bool {
	broken := 0
	for _, program := range programs {
		limit := program.budget + program.maxTokens
		run.record.note("program %s: %d tokens reached the client, budget and one turn are %d", program.name, program.received, limit)
		if program.received > limit {
			broken++
		}
	}
	run.record.note("BUDGET: %d of %d programs got more than their budget and one turn", broken, len(programs))
	return broken > 0
}
