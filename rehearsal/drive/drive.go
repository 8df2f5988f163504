// Package drive runs generated agent programs against real gateways and
// collects what their callers see.
package drive

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/rehearsal/caller"
	"github.com/magpielug/magpielug/rehearsal/cluster"
	"github.com/magpielug/magpielug/rehearsal/workload"
)

const (
	// bytesPerToken is how the stand-in engine counts tokens of text.
	bytesPerToken = 4
	// refusalRetries bounds how often a refused call is asked again.
	refusalRetries = 5
	idlePerGateway = 512
	kindModel      = "model"
	kindTool       = "tool"
)

// Outcome is how a program ended for its caller.
type Outcome string

// Outcomes of a program.
const (
	Completed Outcome = "completed"
	Capped    Outcome = "stopped at its cap"
	Refused   Outcome = "refused"
	Failed    Outcome = "failed"
)

// Record is what the caller of one program saw.
type Record struct {
	Program     string
	Tier        string
	Kind        string
	Outcome     Outcome
	Detail      string
	Latency     time.Duration
	Calls       int
	SubAgents   int
	FirstChunks []time.Duration
	Usage       caller.Usage
	err         error
}

// Config is what a driver works with.
type Config struct {
	Gateways []string
	Model    string
	Tool     string
	// ToolEvery makes every Nth turn call the tool service before the next one;
	// 0 calls none.
	ToolEvery int
	// TimeScale shortens the programs' arrival gaps and pauses.
	TimeScale float64
}

// Driver runs programs.
type Driver struct {
	config  Config
	client  *http.Client
	next    atomic.Uint64
	mutex   sync.Mutex
	records []Record
	ended   atomic.Int64
	calls   atomic.Int64
}

// New returns a driver.
func New(config Config) *Driver {
	transport := &http.Transport{MaxIdleConnsPerHost: idlePerGateway}
	return &Driver{config: config, client: &http.Client{Transport: transport}}
}

// Progress returns how many programs have ended and how many calls were made.
func (driver *Driver) Progress() (programs, calls int64) {
	return driver.ended.Load(), driver.calls.Load()
}

// Run runs all programs, each from its arrival on, and returns their records
// once all have ended.
func (driver *Driver) Run(ctx context.Context, programs []*workload.Program) []Record {
	var group sync.WaitGroup
	begun := time.Now()
	for _, program := range programs {
		group.Add(1)
		go func() {
			defer group.Done()
			arrival := driver.scaled(program.Arrival)
			if !sleep(ctx, arrival-time.Since(begun)) {
				return
			}
			driver.add(driver.runProgram(ctx, program, ""))
		}()
	}
	group.Wait()
	return driver.records
}

func (driver *Driver) add(record Record) {
	driver.ended.Add(1)
	driver.mutex.Lock()
	defer driver.mutex.Unlock()
	driver.records = append(driver.records, record)
}

func (driver *Driver) scaled(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * driver.config.TimeScale)
}

func sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// gateway picks the next gateway in turn.
func (driver *Driver) gateway() string {
	return driver.config.Gateways[driver.next.Add(1)%uint64(len(driver.config.Gateways))]
}

// runProgram runs one program from its creation to its end.
func (driver *Driver) runProgram(ctx context.Context, program *workload.Program, parent string) Record {
	run := &programRun{
		driver:  driver,
		program: program,
		caller:  caller.New(driver.client, cluster.TierKey(program.Tier)),
		record:  Record{Program: program.ID, Tier: program.Tier, Kind: program.Kind},
	}
	begun := time.Now()
	err := run.run(ctx, parent)
	run.record.Latency = time.Since(begun)
	run.record.Outcome = outcomeOf(err)
	if err != nil {
		run.record.Detail = err.Error()
		run.record.err = err
	}
	return run.record
}

const (
	codeOverloaded = 2001
	codeBudget     = 2002
	codeCap        = 2003
	familyRefused  = 2
	familySize     = 1000
)

func outcomeOf(err error) Outcome {
	var failure *caller.Failure
	switch {
	case err == nil:
		return Completed
	case !errors.As(err, &failure):
		return Failed
	case failure.Code == codeCap:
		return Capped
	case failure.Code/familySize == familyRefused:
		return Refused
	}
	return Failed
}

// programRun is one program under way.
type programRun struct {
	driver  *Driver
	program *workload.Program
	caller  *caller.Caller
	id      string
	record  Record
}

func (run *programRun) run(ctx context.Context, parent string) error {
	made, err := run.create(ctx, parent)
	if err != nil {
		return err
	}
	run.id = made.ID
	for index := 0; ; index++ {
		turn, more := run.program.TurnAt(index)
		if !more {
			break
		}
		if err := run.turn(ctx, index, turn); err != nil {
			run.caller.EndProgram(context.WithoutCancel(ctx), run.driver.gateway(), run.id)
			return err
		}
	}
	return run.caller.EndProgram(ctx, run.driver.gateway(), run.id)
}

// create makes the program, again while it is refused for now.
func (run *programRun) create(ctx context.Context, parent string) (caller.Program, error) {
	var made caller.Program
	err := run.again(ctx, func(attempt int) error {
		var err error
		made, err = run.caller.CreateProgram(ctx, run.driver.gateway(), "", run.program.Kind, parent)
		return err
	})
	return made, err
}

// again repeats a request that was refused as not run, when told to come back.
func (run *programRun) again(ctx context.Context, ask func(attempt int) error) error {
	for attempt := 0; ; attempt++ {
		err := ask(attempt)
		var failure *caller.Failure
		if !errors.As(err, &failure) || failure.RetryAfter() == 0 || attempt == refusalRetries || failure.Code == codeBudget {
			return err
		}
		if !sleep(ctx, failure.RetryAfter()) {
			return err
		}
	}
}

func (run *programRun) turn(ctx context.Context, index int, turn workload.Turn) error {
	prompt := turn.NewPrompt
	text := ""
	if index == 0 {
		text = contentOf(run.program.SystemPrompt) + "\n"
	}
	text += fmt.Sprintf("%s [[tokens=%d]]", contentOf(prompt), turn.Output.Tokens)
	bound := turn.Output.Tokens
	call := caller.Call{
		Kind:       kindModel,
		Target:     run.driver.config.Model,
		Messages:   []caller.Message{{Role: "user", Content: text}},
		MaxTokens:  &bound,
		Repeatable: true,
	}
	if err := run.call(ctx, fmt.Sprintf("turn-%d", index), call); err != nil {
		return err
	}
	if err := run.subAgents(ctx, turn.SubAgents); err != nil {
		return err
	}
	if every := run.driver.config.ToolEvery; every > 0 && index%every == every-1 {
		input := fmt.Sprintf("reading %d of %s", index, run.program.ID)
		tool := caller.Call{Kind: kindTool, Target: run.driver.config.Tool, Input: &input}
		if err := run.call(ctx, fmt.Sprintf("tool-%d", index), tool); err != nil {
			return err
		}
	}
	if !sleep(ctx, run.driver.scaled(turn.Pause)) {
		return ctx.Err()
	}
	return nil
}

func (run *programRun) call(ctx context.Context, name string, call caller.Call) error {
	return run.again(ctx, func(attempt int) error {
		requestID := name
		if attempt > 0 {
			requestID = fmt.Sprintf("%s-%d", name, attempt)
		}
		result, err := run.caller.Run(ctx, run.driver.gateway(), run.id, requestID, call)
		if err != nil {
			return err
		}
		run.driver.calls.Add(1)
		run.record.Calls++
		if call.Kind == kindModel {
			run.record.FirstChunks = append(run.record.FirstChunks, result.FirstChunk)
		}
		run.record.Usage.PromptTokens += result.Usage.PromptTokens
		run.record.Usage.CachedTokens += result.Usage.CachedTokens
		run.record.Usage.OutputTokens += result.Usage.OutputTokens
		run.record.Usage.CostMicros += result.Usage.CostMicros
		return nil
	})
}

// subAgents runs the turn's sub-agents side by side; all must end first.
func (run *programRun) subAgents(ctx context.Context, programs []*workload.Program) error {
	records := make([]Record, len(programs))
	var group sync.WaitGroup
	for index, program := range programs {
		group.Add(1)
		go func() {
			defer group.Done()
			records[index] = run.driver.runProgram(ctx, program, run.id)
		}()
	}
	group.Wait()
	for _, record := range records {
		run.record.SubAgents += 1 + record.SubAgents
		run.record.Calls += record.Calls
		if record.Outcome != Completed {
			return fmt.Errorf("sub-agent %s: %w", record.Program, record.err)
		}
	}
	return nil
}

// contentOf spells a segment out: the same seed gives the same text.
func contentOf(segment workload.Segment) string {
	word := fmt.Sprintf("%016x", segment.Seed)
	length := segment.Tokens * bytesPerToken
	return strings.Repeat(word, length/len(word)+1)[:length]
}
