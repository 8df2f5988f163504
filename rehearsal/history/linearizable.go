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

// searchBound bounds the search for a linearization of one program's history.
const searchBound = 20 * time.Second

// operationKind is what an operation on a program's history does.
type operationKind int

const (
	appendTurn operationKind = iota
	readTurns
)

// input is an operation as it was invoked.
type input struct {
	kind      operationKind
	requestID string
}

// output is what an operation returned. An unknown append may stand or not.
type output struct {
	outcome Outcome
	// digest of an appended turn's output.
	digest string
	// turns holds the turns that a read returned.
	turns string
}

// turnSeparator stands behind each turn of a state. A state is the history's
// turns: the request id and the output's digest of each.
const turnSeparator = ";"

// anyOutput is the digest of an output that its caller never got.
const anyOutput = "?"

// Linearizable holds each program's operations, its calls and the readings of
// its history beside them, to one order that a list of turns can have.
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
		switch porcupine.CheckOperationsTimeout(model, history, searchBound) {
		case porcupine.Illegal:
			violations = append(violations, program.ID+": no order explains what its callers saw")
		case porcupine.Unknown:
			undecided++
		}
	}
	return newResult(CheckLinearizable, operations-undecided, violations, "%d programs, %d operations, %d programs undecided",
		programs, operations, undecided)
}

func (program *Program) operations() []porcupine.Operation {
	var history []porcupine.Operation
	for _, call := range program.Calls {
		returned := int64(call.Returned)
		if call.Outcome == Unknown {
			returned = math.MaxInt64
		}
		history = append(history, porcupine.Operation{
			Input: input{kind: appendTurn, requestID: call.RequestID}, Call: int64(call.Invoked),
			Output: output{outcome: call.Outcome, digest: digestOf(call.Result.Output)}, Return: returned,
		})
	}
	for _, read := range program.Reads {
		history = append(history, porcupine.Operation{
			ClientId: 1,
			Input:    input{kind: readTurns}, Call: int64(read.Invoked),
			Output: output{turns: stateOf(read.Turns)}, Return: int64(read.Returned),
		})
	}
	return history
}

func stateOf(turns []caller.Turn) string {
	var state strings.Builder
	for _, turn := range turns {
		state.WriteString(turn.RequestID + "=" + digestOf(turn.Output) + turnSeparator)
	}
	return state.String()
}

func digestOf(text string) string {
	digest := sha256.Sum256([]byte(text))
	return hex.EncodeToString(digest[:6])
}

var historyModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, in, out any) []any { return step(state.(string), in.(input), out.(output)) },
	DescribeOperation: func(in, out any) string {
		return fmt.Sprintf("%+v -> %+v", in, out)
	},
}

// step returns the states that can follow; none where the operation can't have
// taken place.
func step(state string, in input, out output) []any {
	if in.kind == readTurns {
		if !sameTurns(state, out.turns) {
			return nil
		}
		// The reading tells the outputs that were not known.
		return []any{out.turns}
	}
	switch out.outcome {
	case Answered:
		return []any{state + in.requestID + "=" + out.digest + turnSeparator}
	case Unknown:
		return []any{state, state + in.requestID + "=" + anyOutput + turnSeparator}
	}
	return []any{state}
}

// sameTurns compares a state with the turns read.
func sameTurns(state, read string) bool {
	expected, found := strings.Split(state, turnSeparator), strings.Split(read, turnSeparator)
	if len(expected) != len(found) {
		return false
	}
	for index, turn := range expected {
		requestID, digest, _ := strings.Cut(turn, "=")
		readID, _, _ := strings.Cut(found[index], "=")
		if requestID != readID || (digest != anyOutput && turn != found[index]) {
			return false
		}
	}
	return true
}
