package main

import (
	"context"
	"fmt"
	"time"

	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

const (
	// earlierRestarts is how often all processes are killed and start again before the calm time.
	earlierRestarts = 8
	// coveringPrograms is a number of programs that belongs to all shards, with near certainty.
	coveringPrograms = 64
	// recoveryTime is the users' RecoveryS.
	recoveryTime = 12 * time.Second
	// judgedTime is how long requests are counted after recoveryTime.
	judgedTime = 6 * time.Second
	// programsPerSecond is the traffic that is judged.
	programsPerSecond = 8
)

// runRecover kills all processes some times, lets the deployment run calmly for longer than the store
// keeps records, kills all processes once more, and counts what is served afterwards.
func runRecover(ctx context.Context, run *run) (bool, error) {
	err := run.start(options{nodes: 3, engines: 4, tools: 1, eventsPerTurn: 5, eventDelay: 4 * time.Millisecond})
	if err != nil {
		return false, err
	}
	for round := range earlierRestarts {
		if err := run.serveAllShards(ctx, round); err != nil {
			return false, err
		}
		if !run.disturbed {
			continue
		}
		run.record.note("all nodes are killed, and start again")
		if err := run.deployment.restart(run.deployment.nodes); err != nil {
			return false, err
		}
	}
	if err := run.serveAllShards(ctx, earlierRestarts); err != nil {
		return false, err
	}
	run.record.note("calm time")
	if err := run.serveCalmly(ctx, run.retention+quietMargin); err != nil {
		return false, err
	}
	served, sent := run.serveTraffic(ctx, 3*time.Second, 0)
	run.record.note("before the final fault: %d of %d requests served", served, sent)
	if 4*served < sent {
		return false, fmt.Errorf("%d of %d requests served before the final fault", served, sent)
	}
	if run.disturbed {
		run.record.note("final fault: all nodes are killed, and start again")
		if err := run.deployment.restart(run.deployment.nodes); err != nil {
			return false, err
		}
		run.record.note("all nodes are back")
	}
	served, sent = run.serveTraffic(ctx, recoveryTime+judgedTime, recoveryTime)
	run.record.note("RECOVER: %d of %d requests served that were sent more than %s after the nodes were back", served, sent, recoveryTime)
	return 4*served < sent, nil
}

// serveAllShards runs one turn of many programs, and fails unless all are served.
func (run *run) serveAllShards(ctx context.Context, round int) error {
	programs := make([]*program, coveringPrograms)
	for number := range programs {
		programs[number] = &program{name: fmt.Sprintf("early-%d-%d", round, number), path: records.PathPlain, budget: programBudget, maxTokens: 5 * tokensPerEvent}
	}
	failed := make([]bool, len(programs))
	run.forEach(programs, func(program *program) {
		last, _ := run.client.turn(ctx, program, "input")
		failed[program.index(programs)] = !last.served()
	})
	for position, failure := range failed {
		if failure {
			return fmt.Errorf("turn of %s not served in round %d", programs[position].name, round)
		}
	}
	return nil
}

// serveTraffic begins programs at a steady rate: a turn, a tool call if it is served, and another
// turn. It counts the requests sent after a time from its start, and those served of them.
func (run *run) serveTraffic(ctx context.Context, duration, countedAfter time.Duration) (served, sent int) {
	began := time.Now()
	results := make(chan answer, 1<<16)
	var programs []*program
	for number := range int(duration.Seconds() * programsPerSecond) {
		programs = append(programs, &program{name: run.client.newID(fmt.Sprintf("traffic-%d", number)), path: records.PathPlain, budget: programBudget, maxTokens: 5 * tokensPerEvent})
	}
	run.forEach(programs, func(program *program) {
		pause(ctx, time.Duration(program.index(programs))*time.Second/programsPerSecond)
		run.runProgram(ctx, program, results, began.Add(duration))
	})
	close(results)
	for result := range results {
		if result.sentAt.Sub(began) < countedAfter || result.sentAt.Sub(began) > duration {
			continue
		}
		sent++
		if result.served() {
			served++
		}
	}
	return served, sent
}

func (run *run) runProgram(ctx context.Context, program *program, results chan<- answer, until time.Time) {
	for range 2 {
		last, all := run.client.turn(ctx, program, "input")
		for _, result := range all {
			results <- result
		}
		if !last.served() || time.Now().After(until) {
			return
		}
		results <- run.client.tool(ctx, program)
	}
}
