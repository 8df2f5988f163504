// Package shard implements the replicated state machine of one shard: its programs,
// their calls and histories, and its part of the budgets. Apply validates and applies
// committed entries in log order. It is deterministic, so all replicas of a group hold
// the same state. A State is not safe for concurrent use.
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

// Program returns the program with the id; nil if there is none.
func (state *State) Program(programID string) *Program {
	return state.programs[programID]
}

// Programs calls visit for each program, in unspecified order, until visit returns
// false.
func (state *State) Programs(visit func(*Program) bool) {
	for _, program := range state.programs {
		if !visit(program) {
			return
		}
	}
}

// Len returns the number of programs in the state, ended ones included.
func (state *State) Len() int { return len(state.programs) }

// Program is the replicated record of one program.
type Program struct {
	record *shardv1.ProgramRecord
	state  charts.ProgramState
	// calls holds the calls without a result by request id; turns holds the finished
	// calls in the order in which they finished. finished maps a request id to its
	// index in turns.
	calls    map[string]*Call
	turns    []StoredTurn
	finished map[string]int
	root     *Program
	// children holds the program's direct sub-agents, unordered; liveChildren counts
	// those that have not ended.
	children     []*Program
	liveChildren int
}

// ID returns the program's id.
func (program *Program) ID() string { return program.record.Created.ProgramId }

// Created returns the entry that created the program. Callers must not modify it.
func (program *Program) Created() *shardv1.ProgramCreated { return program.record.Created }

// State returns the program's state in the program state chart.
func (program *Program) State() charts.ProgramState { return program.state }

// IsFinal reports whether the program is in a final state: ended or stopped.
func (program *Program) IsFinal() bool {
	return charts.Program.Final(program.state)
}

// Spent returns the cost in micros of the calls of the program and its sub-agents.
func (program *Program) Spent() uint64 { return program.record.SpentMicros }

// Reserved returns the micros reserved for open calls of the program and its
// sub-agents.
func (program *Program) Reserved() uint64 { return program.record.ReservedMicros }

// AttainedService returns the weighted tokens that the program's whole tree, the root
// and all its sub-agents, has received.
func (program *Program) AttainedService() float64 { return program.root.record.AttainedService }

// Root returns the root of the program's tree; the program itself if it has no parent.
func (program *Program) Root() *Program { return program.root }

// Turns returns the finished calls in the order in which they finished. Callers must
// not modify the slice.
func (program *Program) Turns() []StoredTurn { return program.turns }

// Call returns the call with the request id; nil if there is none.
func (program *Program) Call(requestID string) *Call {
	if call := program.calls[requestID]; call != nil {
		return call
	}
	if index, found := program.finished[requestID]; found {
		return program.callFromTurn(program.turns[index])
	}
	return nil
}

// addTurn appends a finished call to the history.
func (program *Program) addTurn(stored StoredTurn) {
	program.finished[stored.RequestID()] = len(program.turns)
	program.turns = append(program.turns, stored)
}

// Head returns the first open call, which is next or in progress; nil if none is open.
func (program *Program) Head() *Call {
	if len(program.record.Pending) == 0 {
		return nil
	}
	return program.calls[program.record.Pending[0]]
}

// OpenCalls returns the number of accepted calls that have not ended.
func (program *Program) OpenCalls() int { return len(program.record.Pending) }

// Open returns the accepted calls that have not ended, in turn order.
func (program *Program) Open() []*Call {
	calls := make([]*Call, 0, len(program.record.Pending))
	for _, requestID := range program.record.Pending {
		calls = append(calls, program.calls[requestID])
	}
	return calls
}

// LiveSubAgents returns the number of direct sub-agents that have not ended.
func (program *Program) LiveSubAgents() int { return program.liveChildren }

// Models returns the models of all accepted calls of the program, without
// duplicates. Callers must not modify the slice.
func (program *Program) Models() []string { return program.record.Models }

// addModel records the target of a model call.
func (program *Program) addModel(accepted *shardv1.CallAccepted) {
	isModel := accepted.Kind == schedulerv1.CallKind_CALL_KIND_MODEL
	if isModel && !slices.Contains(program.record.Models, accepted.Target) {
		program.record.Models = append(program.record.Models, accepted.Target)
	}
}
