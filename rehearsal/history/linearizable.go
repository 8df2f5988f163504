package history

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/magpielug/magpielug/rehearsal/caller"
)

// linearizationTimeout limits the search for a linearization of a program's history.
const linearizationTimeout = 20 * time.Second

// operationKind is the kind of an operation on a program's history.
type operationKind int

const (
	appendTurn operationKind = iota
	readTurns
)

// operationInput is the input of an operation.
type operationInput struct {
	kind      operationKind
	requestID string
}

// operationOutput is the result of an operation.
type operationOutput struct {
	outcome Outcome
	// digest is the digest of an appended turn's output.
	digest string
	// turns are the turns that a read returned, encoded by encodeTurns.
	turns string
}

// turnSeparator terminates each turn of a model state. A state lists the request
// ID and the output digest of each turn in the history.
const turnSeparator = ";"

// unknownDigest stands for the digest of an output that its caller did not receive.
const unknownDigest = "?"

// Linearizable checks that each program's calls and concurrent reads of its
// history are linearizable as appends to and reads of a list of turns. Programs
// whose search times out are counted as undecided.
func Linearizable(run *Run) Result {
	var violations []string
	model := historyModel.ToModel()
	programs, operations, undecided := 0, 0, 0
	for index := range run.Programs {
		program := &run.Programs[index]
		history := program.operations()
		if len(program.Reads) == 0 {
			continue
		}
		programs++
		operations += len(history)
		switch porcupine.CheckOperationsTimeout(model, history, linearizationTimeout) {
		case porcupine.Illegal:
			violations = append(violations, program.ID+": calls and history reads are not linearizable")
		case porcupine.Unknown:
			undecided++
		}
	}
	return newResult(CheckLinearizable, operations-undecided, violations, "%d programs, %d operations, %d programs undecided",
		programs, operations, undecided)
}

// operations returns the program's calls and history reads. A call with an unknown
// outcome may take effect at any later time.
// operations returns the program's calls and history reads. A call with an unknown
// outcome may take effect at any later time.
func (program *Program) operations() []porcupine.Operation {
	var history []porcupine.Operation
	for _, call := range program.Calls {
		returned := int64(call.Returned)
		if call.Outcome == Unknown {
			returned = math.MaxInt64
		}
		history = append(history, porcupine.Operation{
			Input: operationInput{kind: appendTurn, requestID: call.RequestID}, Call: int64(call.Invoked),
			Output: operationOutput{outcome: call.Outcome, digest: outputDigest(call.Result.Output)}, Return: returned,
		})
	}
	for _, read := range program.Reads {
		history = append(history, porcupine.Operation{
			ClientId: 1,
			Input:    operationInput{kind: readTurns}, Call: int64(read.Invoked),
			Output: operationOutput{turns: encodeTurns(read.Turns)}, Return: int64(read.Returned),
		})
	}
	return history
}

func encodeTurns(turns []caller.Turn) string {
	var state strings.Builder
	for _, turn := range turns {
		state.WriteString(turn.RequestID + "=" + outputDigest(turn.Output) + turnSeparator)
	}
	return state.String()
}

func outputDigest(text string) string {
	digest := sha256.Sum256([]byte(text))
	return hex.EncodeToString(digest[:6])
}

var historyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, in, out any) []any {
		return step(state.(string), in.(operationInput), out.(operationOutput))
	},
	DescribeOperation: func(in, out any) string {
		return fmt.Sprintf("%+v -> %+v", in, out)
	},
}

// step returns the possible next states, or none if the operation's result is
// impossible in state. An append with an unknown outcome may or may not take effect.
func step(state string, in operationInput, out operationOutput) []any {
	if in.kind == readTurns {
		if !matchesTurns(state, out.turns) {
			return nil
		}
		// The read resolves the digests that were unknown.
		return []any{out.turns}
	}
	switch out.outcome {
	case Answered:
		return []any{state + in.requestID + "=" + out.digest + turnSeparator}
	case Unknown:
		return []any{state, state + in.requestID + "=" + unknownDigest + turnSeparator}
	}
	return []any{state}
}

// matchesTurns reports whether a read may return the turns in a state.
func matchesTurns(state, read string) bool {
	expected, found := strings.Split(state, turnSeparator), strings.Split(read, turnSeparator)
	if len(expected) != len(found) {
		return false
	}
	for index, turn := range expected {
		requestID, digest, _ := strings.Cut(turn, "=")
		readID, _, _ := strings.Cut(found[index], "=")
		if requestID != readID || (digest != unknownDigest && turn != found[index]) {
			return false
		}
	}
	return true
}
