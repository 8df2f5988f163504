package shard

import (
	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// applyEvent moves the call to its next state in the state chart. An event that the
// chart rejects changes nothing.
func (call *Call) applyEvent(event charts.CallEvent) *resultcode.Error {
	next, refusal := charts.Call.Next(call.state, event)
	if refusal != nil {
		return resultcode.New(refusal.Code, "call %s: %s", call.RequestID(), refusal.Error())
	}
	call.state = next
	return nil
}

// applyEvent moves the program to its next state in the state chart. An event that
// the chart rejects changes nothing.
func (program *Program) applyEvent(event charts.ProgramEvent) *resultcode.Error {
	next, refusal := charts.Program.Next(program.state, event)
	if refusal != nil {
		return resultcode.New(refusal.Code, "program %s: %s", program.ID(), refusal.Error())
	}
	program.state = next
	return nil
}

// endEvent returns the state chart event for a call that ends with code. Codes below
// OutcomeUnknown mean that the call did not run.
func endEvent(code resultcode.Code) charts.CallEvent {
	switch code {
	case resultcode.OutcomeUnknown:
		return charts.CallEventOutcomeLost
	case resultcode.CallStopped:
		return charts.CallEventCancel
	}
	if code < resultcode.OutcomeUnknown {
		return charts.CallEventRefuse
	}
	return charts.CallEventFail
}
