// Package shard holds the replicated state of one shard: its programs, their
// calls and histories. A State changes only by Apply, with committed entries in
// their order, and decides every entry's validity then, so that all replicas of
// a group hold the same state. It has no clock, lock or random source.
package shard

import (
	"slices"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/charts"
)

// State is the replicated state of one shard.
type State struct {
	programs map[string]*Program
	ledger   *ledgerState
}

// New returns the empty state.
func New() *State {
	return &State{
		programs: make(map[string]*Program),
		ledger:   newLedgerState(),
	}
}

// Program returns the program with the id, nil where there is none.
func (state *State) Program(programID string) *Program {
	return state.programs[programID]
}

// Programs calls visit for each program, in no order, until it returns false.
func (state *State) Programs(visit func(*Program) bool) {
	for _, program := range state.programs {
		if !visit(program) {
			return
		}
	}
}

// Len returns how many programs the shard remembers.
func (state *State) Len() int { return len(state.programs) }

// Program is one program's replicated record.
type Program struct {
	record *shardv1.ProgramRecord
	state  charts.ProgramState
	// calls are those without a result, by request id, and turns those with one,
	// in the program's order; finished finds a turn by its request id.
	calls    map[string]*Call
	turns    []StoredTurn
	finished map[string]int
	root     *Program
	// children are the program's own sub-agents, in no order; liveChildren counts
	// those that are not over.
	children     []*Program
	liveChildren int
}

// ID returns the program's id.
func (program *Program) ID() string { return program.record.Created.ProgramId }

// Created returns the entry the program was created by. Callers must not
// change it.
func (program *Program) Created() *shardv1.ProgramCreated { return program.record.Created }

// State returns the program's state in the program chart.
func (program *Program) State() charts.ProgramState { return program.state }

// Over tells whether the program has ended or was stopped.
func (program *Program) Over() bool {
	return charts.Program.Final(program.state)
}

// Spent returns what the calls of the program and its sub-agents have cost, micro units.
func (program *Program) Spent() uint64 { return program.record.SpentMicros }

// Reserved returns what the open calls of the program and its sub-agents hold, micro units.
func (program *Program) Reserved() uint64 { return program.record.ReservedMicros }

// AttainedService returns the service tokens the program's whole family has
// used: root and sub-agents together.
func (program *Program) AttainedService() float64 { return program.root.record.AttainedService }

// Root returns the program at the top of the family, itself for a root.
func (program *Program) Root() *Program { return program.root }

// Turns returns the finished calls in the program's order. Callers must not
// change the slice.
func (program *Program) Turns() []StoredTurn { return program.turns }

// Call returns the call with the request id, nil where there is none.
func (program *Program) Call(requestID string) *Call {
	if call := program.calls[requestID]; call != nil {
		return call
	}
	if index, found := program.finished[requestID]; found {
		return program.finishedCall(program.turns[index])
	}
	return nil
}

// addTurn stores a finished call at the end of the history.
func (program *Program) addTurn(stored StoredTurn) {
	program.finished[stored.RequestID()] = len(program.turns)
	program.turns = append(program.turns, stored)
}

// Head returns the call that is next or under way, nil where none is open.
func (program *Program) Head() *Call {
	if len(program.record.Pending) == 0 {
		return nil
	}
	return program.calls[program.record.Pending[0]]
}

// OpenCalls returns how many accepted calls have not ended.
func (program *Program) OpenCalls() int { return len(program.record.Pending) }

// Open lists the accepted calls that have not ended, in their order.
func (program *Program) Open() []*Call {
	calls := make([]*Call, 0, len(program.record.Pending))
	for _, requestID := range program.record.Pending {
		calls = append(calls, program.calls[requestID])
	}
	return calls
}

// LiveSubAgents returns how many of the program's own sub-agents are not over.
func (program *Program) LiveSubAgents() int { return program.liveChildren }

// Models names the models that the program has called or is to call. Callers
// must not change the slice.
func (program *Program) Models() []string { return program.record.Models }

// addModel notes a model that the program calls.
func (program *Program) addModel(accepted *shardv1.CallAccepted) {
	isModel := accepted.Kind == schedulerv1.CallKind_CALL_KIND_MODEL
	if isModel && !slices.Contains(program.record.Models, accepted.Target) {
		program.record.Models = append(program.record.Models, accepted.Target)
	}
}
