package main

import (
	"context"
	"fmt"
	"time"

	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

const (
	chainPrograms = 12
	// turnInterval is the time between two turns of a conversation.
	turnInterval = 8 * time.Second
)

// runChain keeps conversations going for longer than the store keeps records, with short pauses, kills
// all processes, and lets the conversations go on.
func runChain(ctx context.Context, run *run) (bool, error) {
	err := run.start(options{nodes: 3, engines: 4, tools: 1, eventsPerTurn: 5, eventDelay: 4 * time.Millisecond})
	if err != nil {
		return false, err
	}
	programs := newConversations("long", chainPrograms)
	began := time.Now()
	for round := 0; time.Since(began) < run.retention+quietMargin; round++ {
		if err := run.converse(ctx, programs, round); err != nil {
			return false, err
		}
		pause(ctx, turnInterval)
	}
	if err := run.converse(ctx, programs, -1); err != nil {
		return false, err
	}
	if run.disturbed {
		run.record.note("final fault: all nodes are killed, and start again")
		if err := run.deployment.restart(run.deployment.nodes); err != nil {
			return false, err
		}
		run.record.note("all nodes are back")
	}
	return run.judgeConversations(ctx, programs)
}

func newConversations(prefix string, count int) []*program {
	programs := make([]*program, count)
	for number := range programs {
		programs[number] = &program{name: fmt.Sprintf("%s-%d", prefix, number), path: records.PathRetained, budget: 100 * programBudget, maxTokens: 5 * tokensPerEvent}
	}
	return programs
}

// converse runs one turn of each conversation, and fails unless all are served.
func (run *run) converse(ctx context.Context, programs []*program, round int) error {
	failed := make([]bool, len(programs))
	run.forEach(programs, func(program *program) {
		last, _ := run.client.turn(ctx, program, fmt.Sprintf("input %d of %s;", round, program.name))
		failed[program.index(programs)] = !last.served()
	})
	for position, failure := range failed {
		if failure {
			return fmt.Errorf("a turn of %s was not served before the disruption", programs[position].name)
		}
	}
	return nil
}

// judgeConversations sends the next turn of each conversation until recoveryTime is over, with
// conversations beside them that begin after the fault.
func (run *run) judgeConversations(ctx context.Context, programs []*program) (bool, error) {
	began := time.Now()
	fresh := newConversations("fresh", chainPrograms)
	freshServed, freshSent := 0, 0
	lost := map[string]bool{}
	tries := map[string]int{}
	for _, program := range programs {
		lost[program.name] = true
	}
	notFound := 0
	for time.Since(began) < recoveryTime+judgedTime && ctx.Err() == nil {
		type outcome struct {
			program *program
			answers []answer
		}
		outcomes := make(chan outcome, 2*chainPrograms)
		both := append(append([]*program{}, programs...), fresh...)
		run.forEach(both, func(program *program) {
			_, all := run.client.turn(ctx, program, "next input of "+program.name+";")
			outcomes <- outcome{program: program, answers: all}
		})
		close(outcomes)
		late := time.Since(began) > recoveryTime+judgedTime-4*time.Second
		for outcome := range outcomes {
			_, judged := lost[outcome.program.name]
			for _, answer := range outcome.answers {
				if judged {
					tries[outcome.program.name]++
					if answer.status == 404 || answer.status == 410 {
						notFound++
					}
					if answer.served() {
						lost[outcome.program.name] = false
					}
				} else if late {
					freshSent++
					if answer.served() {
						freshServed++
					}
				}
			}
		}
		pause(ctx, time.Second)
	}
	lostCount := 0
	for _, program := range programs {
		run.record.note("conversation %s: %d tries, lost %t", program.name, tries[program.name], lost[program.name])
		if lost[program.name] {
			lostCount++
		}
	}
	run.record.note("LOST: %d of %d conversations reached no engine, %d answers were 404 or 410; of others' turns in the last 4 s, %d of %d were served",
		lostCount, len(programs), notFound, freshServed, freshSent)
	if 5*freshServed < 4*freshSent {
		return notFound > 0, nil
	}
	return notFound > 0 || lostCount > 0, nil
}
