package history

import (
	"fmt"
	"slices"

	"github.com/magpielug/magpielug/rehearsal/caller"
)

// toolInputRole is the role of the message that holds a tool call's input.
const toolInputRole = "tool"

// turnViolations compares a recorded turn with the call that made it.
func turnViolations(program string, call *Call, turn caller.Turn) []string {
	if call == nil {
		return []string{fmt.Sprintf("%s: holds the turn %s, which it never made", program, turn.RequestID)}
	}
	var violations []string
	if call.Outcome == NotRun {
		violations = append(violations, fmt.Sprintf("%s: holds %s, which was refused as not run", program, turn.RequestID))
	}
	if !slices.Equal(turn.Messages, messagesOf(call.Sent)) {
		violations = append(violations, fmt.Sprintf("%s: %s stands with other messages than were sent", program, turn.RequestID))
	}
	if call.Outcome == Answered && turn.Output != call.Result.Output {
		violations = append(violations, fmt.Sprintf("%s: %s stands with %d bytes, its caller got others (%d bytes)",
			program, turn.RequestID, len(turn.Output), len(call.Result.Output)))
	}
	return violations
}

// messagesOf is what a call adds to its program's history.
func messagesOf(call caller.Call) []caller.Message {
	if call.Input != nil {
		return []caller.Message{{Role: toolInputRole, Content: *call.Input}}
	}
	return call.Messages
}
