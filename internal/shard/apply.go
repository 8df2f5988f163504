package shard

import (
	"slices"
	"strings"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Outcome tells the leader what an entry did. Replicas that do not lead drop
// it.
type Outcome struct {
	// Program the entry was about; nil where it is unknown.
	Program *Program
	// Call the entry was about; nil where it is about no call.
	Call *Call
	// Duplicate is true where the entry repeats an earlier one and changed
	// nothing.
	Duplicate bool
	// Cancelled are the calls that a program's end has closed and that may be
	// running on a back end.
	Cancelled []*Call
	// Ended are the programs that the entry has ended: the one it names first,
	// then its sub-agents.
	Ended []*Program
	// Err is why the entry changed nothing, nil where it took effect.
	Err *resultcode.Error
}

func refused(code resultcode.Code, format string, arguments ...any) Outcome {
	return Outcome{Err: resultcode.New(code, format, arguments...)}
}

// Apply carries out one committed entry.
func (state *State) Apply(entry *shardv1.Entry) Outcome {
	switch change := entry.Change.(type) {
	case *shardv1.Entry_ProgramCreated:
		return state.createProgram(change.ProgramCreated)
	case *shardv1.Entry_CallAccepted:
		return state.acceptCall(change.CallAccepted)
	case *shardv1.Entry_CallDeclined:
		return state.declineCall(change.CallDeclined)
	case *shardv1.Entry_CallIntended:
		return state.intendCall(change.CallIntended)
	case *shardv1.Entry_CallRequeued:
		return state.requeueCall(change.CallRequeued)
	case *shardv1.Entry_CallFinished:
		return state.finishCall(change.CallFinished)
	case *shardv1.Entry_CallEnded:
		return state.endCall(change.CallEnded)
	case *shardv1.Entry_ProgramEnded:
		return state.endProgram(change.ProgramEnded)
	case *shardv1.Entry_ProgramForgotten:
		return state.forgetProgram(change.ProgramForgotten)
	default:
		return state.applyLedger(entry)
	}
}

func (state *State) createProgram(created *shardv1.ProgramCreated) Outcome {
	if known := state.programs[created.ProgramId]; known != nil {
		return repeatedCreation(known, created)
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
			return refused(resultcode.UnknownProgram, "no parent program %s", created.ParentId)
		}
		if parent.Over() {
			return refused(resultcode.ProgramOver, "parent program %s is over", created.ParentId)
		}
		if failure := parent.move(charts.ProgramEventSubAgentStarted); failure != nil {
			return Outcome{Err: failure}
		}
		parent.liveChildren++
		program.root = parent.root
	}
	state.programs[created.ProgramId] = program
	return Outcome{Program: program}
}

func repeatedCreation(known *Program, created *shardv1.ProgramCreated) Outcome {
	first := known.Created()
	if first.Tenant != created.Tenant {
		return refused(resultcode.UnknownProgram, "no program %s", created.ProgramId)
	}
	if first.Tier != created.Tier || first.Kind != created.Kind || first.ParentId != created.ParentId {
		return refused(resultcode.RequestIDReused, "program %s was created otherwise", created.ProgramId)
	}
	return Outcome{Program: known, Duplicate: true}
}

// acceptCall gives the call its place in the program's order and reserves its
// worst case.
func (state *State) acceptCall(accepted *shardv1.CallAccepted) Outcome {
	program := state.programs[accepted.ProgramId]
	if program == nil {
		return refused(resultcode.UnknownProgram, "no program %s", accepted.ProgramId)
	}
	if known := program.Call(accepted.RequestId); known != nil {
		if !known.SameBody(accepted.Digest) {
			return refused(resultcode.RequestIDReused, "request id %s was used with another body", accepted.RequestId)
		}
		return Outcome{Program: program, Call: known, Duplicate: true}
	}
	if program.Over() {
		return refused(resultcode.ProgramOver, "program %s is over", accepted.ProgramId)
	}
	limit := program.Created().TurnLimit
	if limit > 0 && program.record.NextTurn >= limit {
		return program.decline(accepted,
			resultcode.New(resultcode.TurnLimitReached, "program %s has taken its %d turns", accepted.ProgramId, limit))
	}
	reservation := program.worstCase(accepted)
	if failure := state.reserve(program, reservation); failure != nil {
		return program.decline(accepted, failure)
	}
	if failure := program.move(charts.ProgramEventCallAccepted); failure != nil {
		return Outcome{Program: program, Err: failure}
	}
	program.record.NextTurn++
	call := &Call{program: program, state: charts.CallStateQueued, record: &shardv1.CallRecord{
		Accepted:       accepted,
		Turn:           program.record.NextTurn,
		ReservedMicros: reservation,
		Attempt:        1,
	}}
	program.calls[accepted.RequestId] = call
	program.addModel(accepted)
	program.record.Pending = append(program.record.Pending, accepted.RequestId)
	return Outcome{Program: program, Call: call}
}

// WorstCase bounds what a call would cost if it were accepted now, micro units.
func (program *Program) WorstCase(accepted *shardv1.CallAccepted) uint64 {
	return program.worstCase(accepted)
}

// decline records why a call was not accepted. BudgetExhausted is not recorded
// here: the leader may still get escrow, or commits a CallDeclined.
func (program *Program) decline(accepted *shardv1.CallAccepted, failure *resultcode.Error) Outcome {
	if failure.Code == resultcode.BudgetExhausted {
		return Outcome{Program: program, Err: failure}
	}
	call := program.recordDeclined(&shardv1.CallDeclined{
		ProgramId: accepted.ProgramId,
		RequestId: accepted.RequestId,
		Digest:    accepted.Digest,
		Code:      uint32(failure.Code),
		Message:   failure.Message,
	})
	return Outcome{Program: program, Call: call, Err: failure}
}

// declineCall refuses a call that the leader will not accept. A call that an
// earlier entry has accepted goes on: then this entry changes nothing.
func (state *State) declineCall(declined *shardv1.CallDeclined) Outcome {
	program := state.programs[declined.ProgramId]
	if program == nil {
		return refused(resultcode.UnknownProgram, "no program %s", declined.ProgramId)
	}
	if known := program.Call(declined.RequestId); known != nil {
		return Outcome{Program: program, Call: known, Duplicate: true}
	}
	return Outcome{Program: program, Call: program.recordDeclined(declined)}
}

// maximumDeclined bounds the refused calls that a program remembers. With more,
// the oldest are forgotten.
const maximumDeclined = 64

func (program *Program) recordDeclined(declined *shardv1.CallDeclined) *Call {
	if len(program.record.Declined) >= maximumDeclined {
		delete(program.calls, program.record.Declined[0])
		program.record.Declined = program.record.Declined[1:]
	}
	program.record.Declined = append(program.record.Declined, declined.RequestId)
	call := &Call{program: program, state: charts.CallStateRefused, record: &shardv1.CallRecord{
		Accepted: &shardv1.CallAccepted{
			ProgramId: declined.ProgramId,
			RequestId: declined.RequestId,
			Digest:    declined.Digest,
		},
		Ended: &shardv1.CallEnded{
			ProgramId:    declined.ProgramId,
			RequestId:    declined.RequestId,
			Code:         declined.Code,
			Message:      declined.Message,
			RetryAfterMs: declined.RetryAfterMs,
		},
	}}
	program.calls[declined.RequestId] = call
	return call
}

// WorstCaseAlone bounds the cost of a call that has no history before it.
func WorstCaseAlone(accepted *shardv1.CallAccepted) uint64 {
	return uint64(price(accepted).Cost(EstimateTokens(accepted.Messages), accepted.MaxTokens))
}

// worstCase bounds the call's cost: the whole prompt uncached and every token
// the caller allows. Calls before it that are still open may lengthen the
// prompt by their own messages and outputs.
func (program *Program) worstCase(accepted *shardv1.CallAccepted) uint64 {
	promptTokens := program.record.HistoryTokens + EstimateTokens(accepted.Messages)
	for _, requestID := range program.record.Pending {
		open := program.calls[requestID].record.Accepted
		promptTokens += EstimateTokens(open.Messages) + open.MaxTokens + tokensPerMessage
	}
	return uint64(price(accepted).Cost(promptTokens, accepted.MaxTokens))
}

// PromptTokens estimates the call's whole prompt.
func (call *Call) PromptTokens() uint32 {
	return call.program.record.HistoryTokens + EstimateTokens(call.record.Accepted.Messages)
}

// openCall finds a call for an entry about its current attempt. An entry about
// an earlier attempt, or about a call that is over, changes nothing.
func (state *State) openCall(programID, requestID string, attempt uint32) (*Call, Outcome) {
	program := state.programs[programID]
	if program == nil {
		return nil, refused(resultcode.UnknownProgram, "no program %s", programID)
	}
	call := program.Call(requestID)
	if call == nil {
		return nil, refused(resultcode.UnknownRequest, "no call %s", requestID)
	}
	outcome := Outcome{Program: program, Call: call}
	if call.Over() || call.record.Attempt != attempt {
		outcome.Duplicate = true
		return nil, outcome
	}
	return call, outcome
}

func (state *State) intendCall(intended *shardv1.CallIntended) Outcome {
	call, outcome := state.openCall(intended.ProgramId, intended.RequestId, intended.Attempt)
	if call == nil {
		return outcome
	}
	if outcome.Err = call.move(charts.CallEventIntentCommitted); outcome.Err != nil {
		return outcome
	}
	call.record.Intent = intended
	return outcome
}

func (state *State) requeueCall(requeued *shardv1.CallRequeued) Outcome {
	call, outcome := state.openCall(requeued.ProgramId, requeued.RequestId, requeued.Attempt)
	if call == nil {
		return outcome
	}
	event := charts.CallEventOutcomeLostRepeatable
	if requeued.NotRun {
		event = charts.CallEventNotRun
	}
	if outcome.Err = call.move(event); outcome.Err != nil {
		return outcome
	}
	call.record.Attempt++
	call.record.Intent = nil
	call.record.Partial = requeued.Partial
	call.record.MayHaveRun = call.record.MayHaveRun || !requeued.NotRun
	return outcome
}

func (state *State) finishCall(finished *shardv1.CallFinished) Outcome {
	call, outcome := state.openCall(finished.ProgramId, finished.RequestId, finished.Attempt)
	if call == nil {
		return outcome
	}
	if outcome.Err = call.move(charts.CallEventFinish); outcome.Err != nil {
		return outcome
	}
	accepted := call.record.Accepted
	actual := uint64(price(accepted).Cost(finished.PromptTokens, finished.OutputTokens))
	call.record.Finished = finished
	state.settle(call, actual)
	program := call.program
	program.addTurn(storeTurn(&Turn{
		Number:       call.record.Turn,
		RequestId:    accepted.RequestId,
		Kind:         accepted.Kind,
		Target:       accepted.Target,
		Messages:     accepted.Messages,
		Output:       finished.Output,
		FinishReason: finished.FinishReason,
		Usage:        call.Usage(),
	}, accepted.Digest, finished.ChunkBytes))
	delete(program.calls, accepted.RequestId)
	program.record.HistoryTokens += EstimateTokens(accepted.Messages) + finished.OutputTokens + tokensPerMessage
	program.root.record.AttainedService += serviceTokens(finished.PromptTokens, finished.CachedTokens, finished.OutputTokens)
	program.close(call)
	return outcome
}

func (state *State) endCall(ended *shardv1.CallEnded) Outcome {
	call, outcome := state.openCall(ended.ProgramId, ended.RequestId, ended.Attempt)
	if call == nil {
		return outcome
	}
	if outcome.Err = call.move(endEvent(resultcode.Code(ended.Code))); outcome.Err != nil {
		return outcome
	}
	state.closeWithoutResult(call, ended)
	return outcome
}

// closeWithoutResult records why a call has no result. A call that may have run
// is charged its whole reservation: the budget must hold whatever happened.
func (state *State) closeWithoutResult(call *Call, ended *shardv1.CallEnded) {
	call.record.Ended = ended
	charge := uint64(0)
	if call.record.Intent != nil && call.state != charts.CallStateRefused {
		charge = call.record.ReservedMicros
	}
	state.settle(call, charge)
	call.record.Accepted.Messages = nil
	call.program.close(call)
}

func (program *Program) close(call *Call) {
	requestID := call.RequestID()
	program.record.Pending = slices.DeleteFunc(program.record.Pending, func(open string) bool {
		return open == requestID
	})
	if len(program.record.Pending) > 0 {
		return
	}
	event := charts.ProgramEventCallsFinished
	if program.liveChildren > 0 {
		event = charts.ProgramEventCallsFinishedSubAgentsLive
	}
	program.move(event)
}

func (state *State) endProgram(ended *shardv1.ProgramEnded) Outcome {
	program := state.programs[ended.ProgramId]
	if program == nil {
		return refused(resultcode.UnknownProgram, "no program %s", ended.ProgramId)
	}
	outcome := Outcome{Program: program}
	if program.Over() {
		outcome.Duplicate = true
		return outcome
	}
	outcome.Ended = []*Program{program}
	outcome.Cancelled = state.cancelOpenCalls(program, ended.Reason)
	event := charts.ProgramEventEnd
	if ended.Stopped {
		event = charts.ProgramEventStop
	}
	program.move(event)
	state.childOver(program)
	for _, child := range state.childrenOf(program) {
		if child.Over() {
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

// childrenOf lists the program's own sub-agents in the order of their ids.
func (state *State) childrenOf(program *Program) []*Program {
	var children []*Program
	for _, candidate := range state.programs {
		if candidate.Created().ParentId == program.ID() {
			children = append(children, candidate)
		}
	}
	slices.SortFunc(children, func(left, right *Program) int {
		return strings.Compare(left.ID(), right.ID())
	})
	return children
}

// childOver tells the parent that one of its sub-agents is over.
func (state *State) childOver(program *Program) {
	parent := state.parent(program)
	if parent == nil {
		return
	}
	parent.liveChildren--
	if parent.liveChildren == 0 {
		parent.move(charts.ProgramEventSubAgentsEnded)
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
		if call.move(charts.CallEventCancel) != nil {
			continue
		}
		state.closeWithoutResult(call, &shardv1.CallEnded{
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

// forgetProgram drops a program that is over, together with its sub-agents.
func (state *State) forgetProgram(forgotten *shardv1.ProgramForgotten) Outcome {
	program := state.programs[forgotten.ProgramId]
	if program == nil || !program.Over() {
		return Outcome{Program: program, Duplicate: true}
	}
	for programID, child := range state.programs {
		if child.root == program {
			delete(state.programs, programID)
		}
	}
	delete(state.programs, forgotten.ProgramId)
	return Outcome{Program: program}
}
