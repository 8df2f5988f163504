package history

import (
	"fmt"
	"slices"

	"github.com/magpielug/magpielug/rehearsal/caller"
)

// toolInputRole is the role of the message that holds a tool call's input.
const toolInputRole = "tool"

// turnViolations compares a turn of the history with its call, nil if there is none.
func turnViolations(program string, call *Call, turn caller.Turn) []string {
	if call == nil {
		return []string{fmt.Sprintf("%s: history contains turn %s, which the program did not make", program, turn.RequestID)}
	}
	var violations []string
	if call.Outcome == NotRun {
		violations = append(violations, fmt.Sprintf("%s: history contains turn %s, which was refused without running", program, turn.RequestID))
	}
	if !slices.Equal(turn.Messages, messagesOf(call.Request)) {
		violations = append(violations, fmt.Sprintf("%s: the messages of turn %s differ from those sent", program, turn.RequestID))
	}
	if call.Outcome == Answered && turn.Output != call.Result.Output {
		violations = append(violations, fmt.Sprintf("%s: the output of turn %s (%d bytes) differs from the response to its caller (%d bytes)",
			program, turn.RequestID, len(turn.Output), len(call.Result.Output)))
	}
	return violations
}

// messagesOf returns the messages that a call appends to its program's history.
func messagesOf(call caller.Call) []caller.Message {
	if call.Input != nil {
		return []caller.Message{{Role: toolInputRole, Content: *call.Input}}
	}
	return call.Messages
}
