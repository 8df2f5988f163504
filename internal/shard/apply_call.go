package shard

import (
	"slices"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// acceptCall assigns the call its turn number and reserves its worst-case cost.
func (state *State) acceptCall(accepted *shardv1.CallAccepted) Outcome {
	program := state.programs[accepted.ProgramId]
	if program == nil {
		return errorOutcome(resultcode.UnknownProgram, "no program %s", accepted.ProgramId)
	}
	if known := program.Call(accepted.RequestId); known != nil {
		if !known.HasDigest(accepted.Digest) {
			return errorOutcome(resultcode.RequestIDReused, "request id %s was used with another body", accepted.RequestId)
		}
		return Outcome{Program: program, Call: known, Duplicate: true}
	}
	if program.IsFinal() {
		return errorOutcome(resultcode.ProgramOver, "program %s has ended", accepted.ProgramId)
	}
	limit := program.Created().TurnLimit
	if limit > 0 && program.record.NextTurn >= limit {
		return program.rejectCall(accepted,
			resultcode.New(resultcode.TurnLimitReached, "program %s has reached its limit of %d turns", accepted.ProgramId, limit))
	}
	reservation := program.WorstCaseCost(accepted)
	if failure := state.reserve(program, reservation); failure != nil {
		return program.rejectCall(accepted, failure)
	}
	if failure := program.applyEvent(charts.ProgramEventCallAccepted); failure != nil {
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

// rejectCall records why a call was not accepted. BudgetExhausted is not recorded:
// the leader may obtain more escrow and retry, or else commits a CallDeclined.
func (program *Program) rejectCall(accepted *shardv1.CallAccepted, failure *resultcode.Error) Outcome {
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

// declineCall records that the leader rejected a call. It has no effect on a call
// that an earlier entry accepted.
func (state *State) declineCall(declined *shardv1.CallDeclined) Outcome {
	program := state.programs[declined.ProgramId]
	if program == nil {
		return errorOutcome(resultcode.UnknownProgram, "no program %s", declined.ProgramId)
	}
	if known := program.Call(declined.RequestId); known != nil {
		return Outcome{Program: program, Call: known, Duplicate: true}
	}
	return Outcome{Program: program, Call: program.recordDeclined(declined)}
}

// maximumDeclined is how many rejected calls a program's record keeps; the oldest
// are evicted first.
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

// findOpenCall returns the call if attempt is its current attempt, or nil and the
// outcome of the entry. An entry for an earlier attempt or a completed call is a
// duplicate.
func (state *State) findOpenCall(programID, requestID string, attempt uint32) (*Call, Outcome) {
	program := state.programs[programID]
	if program == nil {
		return nil, errorOutcome(resultcode.UnknownProgram, "no program %s", programID)
	}
	call := program.Call(requestID)
	if call == nil {
		return nil, errorOutcome(resultcode.UnknownRequest, "no call %s", requestID)
	}
	outcome := Outcome{Program: program, Call: call}
	if call.IsFinal() || call.record.Attempt != attempt {
		outcome.Duplicate = true
		return nil, outcome
	}
	return call, outcome
}

func (state *State) intendCall(intended *shardv1.CallIntended) Outcome {
	call, outcome := state.findOpenCall(intended.ProgramId, intended.RequestId, intended.Attempt)
	if call == nil {
		return outcome
	}
	if outcome.Err = call.applyEvent(charts.CallEventIntentCommitted); outcome.Err != nil {
		return outcome
	}
	call.record.Intent = intended
	return outcome
}

func (state *State) requeueCall(requeued *shardv1.CallRequeued) Outcome {
	call, outcome := state.findOpenCall(requeued.ProgramId, requeued.RequestId, requeued.Attempt)
	if call == nil {
		return outcome
	}
	event := charts.CallEventOutcomeLostRepeatable
	if requeued.NotRun {
		event = charts.CallEventNotRun
	}
	if outcome.Err = call.applyEvent(event); outcome.Err != nil {
		return outcome
	}
	call.record.Attempt++
	call.record.Intent = nil
	call.record.Partial = requeued.Partial
	call.record.MayHaveRun = call.record.MayHaveRun || !requeued.NotRun
	return outcome
}

func (state *State) finishCall(finished *shardv1.CallFinished) Outcome {
	call, outcome := state.findOpenCall(finished.ProgramId, finished.RequestId, finished.Attempt)
	if call == nil {
		return outcome
	}
	if outcome.Err = call.applyEvent(charts.CallEventFinish); outcome.Err != nil {
		return outcome
	}
	accepted := call.record.Accepted
	actual := uint64(price(accepted).Cost(finished.PromptTokens, finished.OutputTokens))
	call.record.Finished = finished
	state.settle(call, actual)
	program := call.program
	program.addTurn(newStoredTurn(&Turn{
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
	program.closeCall(call)
	return outcome
}

func (state *State) endCall(ended *shardv1.CallEnded) Outcome {
	call, outcome := state.findOpenCall(ended.ProgramId, ended.RequestId, ended.Attempt)
	if call == nil {
		return outcome
	}
	if outcome.Err = call.applyEvent(endEvent(resultcode.Code(ended.Code))); outcome.Err != nil {
		return outcome
	}
	state.closeUnfinished(call, ended)
	return outcome
}

// closeUnfinished records why a call has no result. A call that may have run is
// charged its full reservation, because its actual cost is unknown.
func (state *State) closeUnfinished(call *Call, ended *shardv1.CallEnded) {
	call.record.Ended = ended
	charge := uint64(0)
	if call.record.Intent != nil && call.state != charts.CallStateRefused {
		charge = call.record.ReservedMicros
	}
	state.settle(call, charge)
	call.record.Accepted.Messages = nil
	call.program.closeCall(call)
}

func (program *Program) closeCall(call *Call) {
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
	program.applyEvent(event)
}
