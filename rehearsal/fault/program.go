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
	// subAgentTurns is the number of calls that a sub-agent makes.
	subAgentTurns = 2
	readInterval  = 400 * time.Millisecond
	// stepTimeout is how long one step of a program is retried.
	stepTimeout    = 60 * time.Second
	defaultBackOff = 50 * time.Millisecond
	kindModel      = "model"
	kindTool       = "tool"
)

// programRun is a program driven by its caller.
type programRun struct {
	client *client
	name   string
	caller *caller.Caller
	random *rand.Rand
	record history.Program
	// exhausted is set once a budget or turn limit allows no more calls.
	exhausted bool
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

// gateway picks a random gateway.
func (program *programRun) gateway() string {
	gateways := program.runner().cluster.Gateways()
	return gateways[rand.IntN(len(gateways))]
}

// run creates the program and makes its calls. It returns false if the program could
// not make all of them.
func (program *programRun) run(ctx context.Context, turns int) bool {
	if !program.create(ctx) {
		return false
	}
	reading, stopReading := context.WithCancel(ctx)
	reads := make(chan []history.Read, 1)
	go func() { reads <- program.readHistory(reading) }()
	for number := 0; number < turns && program.runTurn(ctx, number); number++ {
	}
	stopReading()
	program.record.Reads = <-reads
	return program.record.AbortReason == "" && !program.exhausted
}

func (program *programRun) create(ctx context.Context) bool {
	deadline := time.Now().Add(stepTimeout)
	requestID := program.name
	for attempt := 1; ; attempt++ {
		gateway := program.gateway()
		created, err := program.caller.CreateProgram(ctx, gateway, requestID, program.record.Kind, program.record.Parent)
		if err == nil {
			program.record.ID = created.ID
			return true
		}
		program.recordError(gateway, "create "+requestID, err)
		var failure *caller.ErrorResponse
		if errors.As(err, &failure) && history.OutcomeOf(resultcode.Code(failure.Code)) == history.NotRun {
			requestID = fmt.Sprintf("%s-again-%d", program.name, attempt)
		}
		if isExhausted(failure) {
			return false
		}
		if time.Now().After(deadline) || !sleep(ctx, program.backOff(err)) {
			program.record.AbortReason = "could not be created: " + err.Error()
			program.saveRecord()
			return false
		}
	}
}

// isExhausted reports whether a budget, cap or turn limit was reached, which is no
// violation.
func isExhausted(failure *caller.ErrorResponse) bool {
	if failure == nil {
		return false
	}
	switch resultcode.Code(failure.Code) {
	case resultcode.BudgetExhausted, resultcode.ProgramCapReached, resultcode.TurnLimitReached:
		return true
	}
	return false
}

// isUnknownProgram reports whether the program has been lost; a retry can't succeed.
func isUnknownProgram(err error) bool {
	var failure *caller.ErrorResponse
	return errors.As(err, &failure) && resultcode.Code(failure.Code) == resultcode.UnknownProgram
}

// backOff returns how long to wait before a retry.
func (program *programRun) backOff(err error) time.Duration {
	var failure *caller.ErrorResponse
	if errors.As(err, &failure) && failure.RetryAfter() > 0 {
		return failure.RetryAfter()
	}
	return defaultBackOff
}

// runTurn makes one call and maybe runs a sub-agent after it. A call that was refused
// without running is retried with a new request id. It returns false if the program
// can't make further calls.
func (program *programRun) runTurn(ctx context.Context, number int) bool {
	load := program.runner().scenario.Load
	if load.MaxThinkTime > 0 && !sleep(ctx, time.Duration(program.random.Int64N(int64(load.MaxThinkTime)))) {
		return false
	}
	call := program.nextCall(number)
	duplicate := program.random.Float64() < load.DuplicateShare
	deadline := time.Now().Add(stepTimeout)
	for attempt := 0; ; attempt++ {
		requestID := fmt.Sprintf("call-%03d", number)
		if attempt > 0 {
			requestID = fmt.Sprintf("call-%03d-again-%d", number, attempt)
		}
		record, failure := program.makeCall(ctx, requestID, call, duplicate)
		program.record.Calls = append(program.record.Calls, record)
		if record.Outcome != history.NotRun {
			break
		}
		if isExhausted(failure) {
			program.exhausted = true
			return false
		}
		if isUnknownProgram(failure) || time.Now().After(deadline) || !sleep(ctx, program.backOff(failure)) {
			program.record.AbortReason = fmt.Sprintf("call %d was refused on every attempt: %v", number, failure)
			return false
		}
	}
	if program.record.Parent == "" && program.random.Float64() < load.SubAgentShare {
		return program.runSubAgent(ctx, number)
	}
	return true
}

func (program *programRun) runSubAgent(ctx context.Context, number int) bool {
	child := program.client.newProgram(fmt.Sprintf("%s-agent-%d", program.name, number), program.record.ID)
	child.run(ctx, subAgentTurns)
	child.close(ctx)
	return !child.exhausted
}

// nextCall generates the next call at random.
func (program *programRun) nextCall(number int) caller.Call {
	load := program.runner().scenario.Load
	repeatable := program.random.Float64() < load.RepeatableShare
	if program.runner().scenario.Layout.Tools > 0 && program.random.Float64() < load.ToolShare {
		input := fmt.Sprintf("reading %d of %s [[delay=%s]]", number, program.name, load.ToolDelay)
		return caller.Call{Kind: kindTool, Target: toolName, Input: &input, Repeatable: repeatable}
	}
	maxTokens := 2 * load.OutputTokens
	text := fmt.Sprintf("question %d of %s [[tokens=%d]]", number, program.name, load.OutputTokens)
	return caller.Call{
		Kind:       kindModel,
		Target:     modelName,
		Messages:   []caller.Message{{Role: "user", Content: text}},
		MaxTokens:  &maxTokens,
		Repeatable: repeatable,
	}
}

// readHistory periodically reads the program's history, concurrently with its calls,
// until ctx is done.
func (program *programRun) readHistory(ctx context.Context) []history.Read {
	var reads []history.Read
	for sleep(ctx, readInterval) {
		invoked := program.runner().elapsed()
		turns, err := program.caller.GetHistory(ctx, program.gateway(), program.record.ID)
		if err == nil {
			reads = append(reads, history.Read{Invoked: invoked, Returned: program.runner().elapsed(), Turns: turns})
		}
	}
	return reads
}

// close reads the program's complete history and its state, and ends it.
func (program *programRun) close(ctx context.Context) {
	if program.record.ID == "" {
		return
	}
	defer program.saveRecord()
	program.retryStep(ctx, "history", func(gateway string) error {
		turns, err := program.caller.GetHistory(ctx, gateway, program.record.ID)
		if err == nil {
			program.record.FinalTurns = append([]caller.Turn{}, turns...)
		}
		return err
	})
	program.retryStep(ctx, "state", func(gateway string) error {
		var err error
		program.record.FinalState, err = program.caller.GetProgram(ctx, gateway, program.record.ID)
		return err
	})
	program.retryStep(ctx, "end", func(gateway string) error {
		return program.caller.EndProgram(ctx, gateway, program.record.ID)
	})
}

// retryStep retries a step until it succeeds. It records a problem if the program is
// lost or stepTimeout passes.
func (program *programRun) retryStep(ctx context.Context, step string, try func(gateway string) error) {
	deadline := time.Now().Add(stepTimeout)
	for {
		gateway := program.gateway()
		err := try(gateway)
		if err == nil {
			return
		}
		program.recordError(gateway, step+" "+program.record.ID, err)
		if isUnknownProgram(err) || time.Now().After(deadline) || !sleep(ctx, program.backOff(err)) {
			program.record.AbortReason = step + ": " + err.Error()
			return
		}
	}
}

// recordError records an error response to, or an interruption of, a request other
// than a call.
func (program *programRun) recordError(gateway, request string, err error) {
	var failure *caller.ErrorResponse
	switch {
	case errors.As(err, &failure):
		program.runner().recordRetriedError(gateway, request, err)
	case !isUnreachable(err):
		program.runner().recordInterruption(gateway, request, err)
	}
}

// saveRecord adds the program's record to the run's.
func (program *programRun) saveRecord() {
	runner := program.runner()
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.Programs = append(runner.record.Programs, program.record)
}
