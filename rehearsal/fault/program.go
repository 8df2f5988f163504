package fault

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/rehearsal/caller"
	"github.com/magpielug/magpielug/rehearsal/cluster"
	"github.com/magpielug/magpielug/rehearsal/history"
)

const (
	// subAgentTurns is the number of calls of a sub-agent.
	subAgentTurns = 2
	readInterval  = 400 * time.Millisecond
	// goOnBound bounds how long one step of a program is tried.
	goOnBound  = 60 * time.Second
	retryPause = 50 * time.Millisecond
	kindModel  = "model"
	kindTool   = "tool"
)

// programRun is one program and its caller.
type programRun struct {
	client *client
	name   string
	caller *caller.Caller
	random *rand.Rand
	record history.Program
	// over is set where the program can make no more calls, for a reason that
	// callers have to expect.
	over bool
}

func (client *client) newProgram(name, parent string) *programRun {
	return &programRun{
		client: client,
		name:   name,
		caller: caller.New(client.runner.client, cluster.TierKey(client.kind.Tier)),
		random: client.random,
		record: history.Program{Tier: client.kind.Tier, Kind: client.kind.Name, Parent: parent},
	}
}

func (program *programRun) runner() *runner { return program.client.runner }

// gateway picks any gateway.
func (program *programRun) gateway() string {
	gateways := program.runner().cluster.Gateways()
	return gateways[rand.IntN(len(gateways))]
}

// run creates the program and makes its calls. False means that it could not go
// on to its last call.
func (program *programRun) run(ctx context.Context, turns int) bool {
	if !program.create(ctx) {
		return false
	}
	reading, stopReading := context.WithCancel(ctx)
	reads := make(chan []history.Read, 1)
	go func() { reads <- program.readHistory(reading) }()
	for number := 0; number < turns && program.turn(ctx, number); number++ {
	}
	stopReading()
	program.record.Reads = <-reads
	return program.record.Problem == "" && !program.over
}

func (program *programRun) create(ctx context.Context) bool {
	until := time.Now().Add(goOnBound)
	requestID := program.name
	for attempt := 1; ; attempt++ {
		gateway := program.gateway()
		made, err := program.caller.CreateProgram(ctx, gateway, requestID, program.record.Kind, program.record.Parent)
		if err == nil {
			program.record.ID = made.ID
			return true
		}
		program.noteError(gateway, "create "+requestID, err)
		var failure *caller.Failure
		if errors.As(err, &failure) && history.OutcomeOf(resultcode.Code(failure.Code)) == history.NotRun {
			requestID = fmt.Sprintf("%s-again-%d", program.name, attempt)
		}
		if isSpent(failure) {
			return false
		}
		if time.Now().After(until) || !pause(ctx, program.backOff(err)) {
			program.record.Problem = "could not be created: " + err.Error()
			program.keep()
			return false
		}
	}
}

// isSpent tells whether a tier or program has no money left, or a program no
// more turns: its caller has to expect that.
func isSpent(failure *caller.Failure) bool {
	if failure == nil {
		return false
	}
	switch resultcode.Code(failure.Code) {
	case resultcode.BudgetExhausted, resultcode.ProgramCapReached, resultcode.TurnLimitReached:
		return true
	}
	return false
}

// isUnknownProgram tells whether the program is lost: asking again won't help.
func isUnknownProgram(err error) bool {
	var failure *caller.Failure
	return errors.As(err, &failure) && resultcode.Code(failure.Code) == resultcode.UnknownProgram
}

// backOff is how long to wait after an error.
func (program *programRun) backOff(err error) time.Duration {
	var failure *caller.Failure
	if errors.As(err, &failure) && failure.RetryAfter() > 0 {
		return failure.RetryAfter()
	}
	return retryPause
}

// turn makes one call, again under new request ids while it is refused as not
// run, and lets a sub-agent run after it. False ends the program.
func (program *programRun) turn(ctx context.Context, number int) bool {
	load := program.runner().scenario.Load
	if load.Think > 0 && !pause(ctx, time.Duration(program.random.Int64N(int64(load.Think)))) {
		return false
	}
	call := program.nextCall(number)
	duplicate := program.random.Float64() < load.DuplicateShare
	until := time.Now().Add(goOnBound)
	for attempt := 0; ; attempt++ {
		requestID := fmt.Sprintf("call-%03d", number)
		if attempt > 0 {
			requestID = fmt.Sprintf("call-%03d-again-%d", number, attempt)
		}
		made, failure := program.makeCall(ctx, requestID, call, duplicate)
		program.record.Calls = append(program.record.Calls, made)
		if made.Outcome != history.NotRun {
			break
		}
		if isSpent(failure) {
			program.over = true
			return false
		}
		if isUnknownProgram(failure) || time.Now().After(until) || !pause(ctx, program.backOff(failure)) {
			program.record.Problem = fmt.Sprintf("call %d was refused to the end: %v", number, failure)
			return false
		}
	}
	if program.record.Parent == "" && program.random.Float64() < load.SubAgentShare {
		return program.subAgent(ctx, number)
	}
	return true
}

func (program *programRun) subAgent(ctx context.Context, number int) bool {
	child := program.client.newProgram(fmt.Sprintf("%s-agent-%d", program.name, number), program.record.ID)
	child.run(ctx, subAgentTurns)
	child.close(ctx)
	return !child.over
}

// nextCall draws the next call.
func (program *programRun) nextCall(number int) caller.Call {
	load := program.runner().scenario.Load
	repeatable := program.random.Float64() < load.RepeatableShare
	if program.runner().scenario.Layout.Tools > 0 && program.random.Float64() < load.ToolShare {
		input := fmt.Sprintf("reading %d of %s [[delay=%s]]", number, program.name, load.ToolDelay)
		return caller.Call{Kind: kindTool, Target: toolName, Input: &input, Repeatable: repeatable}
	}
	bound := 2 * load.OutputTokens
	text := fmt.Sprintf("question %d of %s [[tokens=%d]]", number, program.name, load.OutputTokens)
	return caller.Call{
		Kind:       kindModel,
		Target:     modelName,
		Messages:   []caller.Message{{Role: "user", Content: text}},
		MaxTokens:  &bound,
		Repeatable: repeatable,
	}
}

// readHistory reads the program's history beside its calls until ctx ends.
func (program *programRun) readHistory(ctx context.Context) []history.Read {
	var reads []history.Read
	for pause(ctx, readInterval) {
		invoked := program.runner().now()
		turns, err := program.caller.GetHistory(ctx, program.gateway(), program.record.ID)
		if err == nil {
			reads = append(reads, history.Read{Invoked: invoked, Returned: program.runner().now(), Turns: turns})
		}
	}
	return reads
}

// close reads the whole history and ends the program.
func (program *programRun) close(ctx context.Context) {
	if program.record.ID == "" {
		return
	}
	defer program.keep()
	program.goOn(ctx, "history", func(gateway string) error {
		turns, err := program.caller.GetHistory(ctx, gateway, program.record.ID)
		if err == nil {
			program.record.Final = append([]caller.Turn{}, turns...)
		}
		return err
	})
	program.goOn(ctx, "state", func(gateway string) error {
		var err error
		program.record.State, err = program.caller.GetProgram(ctx, gateway, program.record.ID)
		return err
	})
	program.goOn(ctx, "end", func(gateway string) error {
		return program.caller.EndProgram(ctx, gateway, program.record.ID)
	})
}

// goOn repeats a step until it succeeds.
func (program *programRun) goOn(ctx context.Context, step string, try func(gateway string) error) {
	until := time.Now().Add(goOnBound)
	for {
		gateway := program.gateway()
		err := try(gateway)
		if err == nil {
			return
		}
		program.noteError(gateway, step+" "+program.record.ID, err)
		if isUnknownProgram(err) || time.Now().After(until) || !pause(ctx, program.backOff(err)) {
			program.record.Problem = step + ": " + err.Error()
			return
		}
	}
}

// noteError notes an error answer or a broken request other than a call.
func (program *programRun) noteError(gateway, request string, err error) {
	var failure *caller.Failure
	switch {
	case errors.As(err, &failure):
		program.runner().shown(gateway, request, err)
	case !isUnreachable(err):
		program.runner().cut(gateway, request, err)
	}
}

// keep hands the program's record to the run.
func (program *programRun) keep() {
	runner := program.runner()
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.Programs = append(runner.record.Programs, program.record)
}
