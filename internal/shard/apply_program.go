package shard

import (
	"slices"
	"strings"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/resultcode"
)

func (state *State) createProgram(created *shardv1.ProgramCreated) Outcome {
	if known := state.programs[created.ProgramId]; known != nil {
		return duplicateCreation(known, created)
	}
	program := &Program{
		record:   &shardv1.ProgramRecord{Created: created},
		state:    charts.Program.Initial(),
		calls:    make(map[string]*Call),
		finished: make(map[string]int),
	}
	program.root = program
	if created.ParentId != "" {
		parent := state.programs[created.ParentId]
		if parent == nil || parent.Created().Tenant != created.Tenant {
			return errorOutcome(resultcode.UnknownProgram, "no parent program %s", created.ParentId)
		}
		if parent.IsFinal() {
			return errorOutcome(resultcode.ProgramOver, "parent program %s has ended", created.ParentId)
		}
		if failure := parent.applyEvent(charts.ProgramEventSubAgentStarted); failure != nil {
			return Outcome{Err: failure}
		}
		parent.children = append(parent.children, program)
		parent.liveChildren++
		program.root = parent.root
	}
	state.programs[created.ProgramId] = program
	return Outcome{Program: program}
}

func duplicateCreation(known *Program, created *shardv1.ProgramCreated) Outcome {
	first := known.Created()
	if first.Tenant != created.Tenant {
		return errorOutcome(resultcode.UnknownProgram, "no program %s", created.ProgramId)
	}
	if first.Tier != created.Tier || first.Kind != created.Kind || first.ParentId != created.ParentId {
		return errorOutcome(resultcode.RequestIDReused, "program %s was created with another tier, kind or parent", created.ProgramId)
	}
	return Outcome{Program: known, Duplicate: true}
}

func (state *State) endProgram(ended *shardv1.ProgramEnded) Outcome {
	program := state.programs[ended.ProgramId]
	if program == nil {
		return errorOutcome(resultcode.UnknownProgram, "no program %s", ended.ProgramId)
	}
	outcome := Outcome{Program: program}
	if program.IsFinal() {
		outcome.Duplicate = true
		return outcome
	}
	outcome.Ended = []*Program{program}
	outcome.Cancelled = state.cancelOpenCalls(program, ended.Reason)
	event := charts.ProgramEventEnd
	if ended.Stopped {
		event = charts.ProgramEventStop
	}
	program.applyEvent(event)
	state.notifyParent(program)
	for _, child := range program.sortedChildren() {
		if child.IsFinal() {
			continue
		}
		childEnd := &shardv1.ProgramEnded{ProgramId: child.ID(), Stopped: ended.Stopped, Reason: ended.Reason}
		childOutcome := state.endProgram(childEnd)
		outcome.Cancelled = append(outcome.Cancelled, childOutcome.Cancelled...)
		outcome.Ended = append(outcome.Ended, childOutcome.Ended...)
	}
	slices.SortFunc(outcome.Cancelled, compareCalls)
	return outcome
}

// sortedChildren returns the program's direct sub-agents, ordered by id.
func (program *Program) sortedChildren() []*Program {
	children := slices.Clone(program.children)
	slices.SortFunc(children, func(left, right *Program) int {
		return strings.Compare(left.ID(), right.ID())
	})
	return children
}

// notifyParent updates the parent's count of live sub-agents when one has ended.
func (state *State) notifyParent(program *Program) {
	parent := state.parent(program)
	if parent == nil {
		return
	}
	parent.liveChildren--
	if parent.liveChildren == 0 {
		parent.applyEvent(charts.ProgramEventSubAgentsEnded)
	}
}

func compareCalls(left, right *Call) int {
	byProgram := strings.Compare(left.program.ID(), right.program.ID())
	if byProgram != 0 {
		return byProgram
	}
	return int(left.record.Turn) - int(right.record.Turn)
}

func (state *State) cancelOpenCalls(program *Program, reason string) []*Call {
	var cancelled []*Call
	for _, requestID := range slices.Clone(program.record.Pending) {
		call := program.calls[requestID]
		if call.applyEvent(charts.CallEventCancel) != nil {
			continue
		}
		state.closeUnfinished(call, &shardv1.CallEnded{
			ProgramId: program.ID(),
			RequestId: requestID,
			Attempt:   call.record.Attempt,
			Code:      uint32(resultcode.CallStopped),
			Message:   "program stopped: " + reason,
		})
		cancelled = append(cancelled, call)
	}
	return cancelled
}

// forgetProgram deletes the records of an ended program and its sub-agents.
func (state *State) forgetProgram(forgotten *shardv1.ProgramForgotten) Outcome {
	program := state.programs[forgotten.ProgramId]
	if program == nil || !program.IsFinal() {
		return Outcome{Program: program, Duplicate: true}
	}
	state.deleteSubtree(program)
	parent := state.parent(program)
	if parent != nil {
		parent.children = slices.DeleteFunc(parent.children, func(child *Program) bool { return child == program })
	}
	return Outcome{Program: program}
}

// deleteSubtree deletes a program and all its descendants.
func (state *State) deleteSubtree(program *Program) {
	for _, child := range program.children {
		state.deleteSubtree(child)
	}
	delete(state.programs, program.ID())
}
