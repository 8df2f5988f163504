package shard

import (
	"github.com/magpielug/magpielug/charts"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// move takes the call along the call chart. A refused event changes nothing.
func (call *Call) move(event charts.CallEvent) *resultcode.Error {
	next, refusal := charts.Call.Next(call.state, event)
	if refusal != nil {
		return resultcode.New(refusal.Code, "call %s: %s", call.RequestID(), refusal.Error())
	}
	call.state = next
	return nil
}

// move takes the program along the program chart. A refused event changes
// nothing.
func (program *Program) move(event charts.ProgramEvent) *resultcode.Error {
	next, refusal := charts.Program.Next(program.state, event)
	if refusal != nil {
		return resultcode.New(refusal.Code, "program %s: %s", program.ID(), refusal.Error())
	}
	program.state = next
	return nil
}

// endEvent names the chart's event for a call that ends with code. A code of
// the 1000s or 2000s says that the call did not run.
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
