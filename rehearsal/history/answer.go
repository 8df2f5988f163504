package history

import (
	"fmt"

	"github.com/magpielug/magpielug/rehearsal/caller"
	"github.com/magpielug/magpielug/rehearsal/standin/engine"
	"github.com/magpielug/magpielug/rehearsal/standin/tool"
)

const (
	// tokenBytes is the size of one generated token of the stand-in engine.
	tokenBytes = 4
	// maximumSegments bounds the runs that one answer may be put together from.
	maximumSegments = 8
)

// Answers holds each answer to what the back ends give for that program,
// request and whole prompt. The prompt holds all earlier turns, so that an
// answer made out of order, or on another program's history, differs.
func Answers(run *Run) Result {
	var violations []string
	whole, continued := 0, 0
	for index := range run.Programs {
		program := &run.Programs[index]
		var prompt []string
		for _, turn := range program.Final {
			prompt = appendMessages(prompt, turn.Messages)
			segments := segmentsOf(program, turn, prompt)
			whole++
			switch {
			case segments == 0:
				violations = append(violations, fmt.Sprintf("%s: the output of %s (%d bytes) is not the whole answer to its request",
					program.ID, turn.RequestID, len(turn.Output)))
			case segments > 1:
				continued++
			}
			if turn.Output != "" {
				prompt = append(prompt, turn.Output)
			}
		}
	}
	return newResult(CheckAnswers, whole, violations,
		"%d answers whole, %d of them continued at another engine", whole, continued)
}

func appendMessages(parts []string, messages []caller.Message) []string {
	for _, message := range messages {
		parts = append(parts, "\n"+message.Role+": "+message.Content)
	}
	return parts
}

// segmentsOf counts the runs that a turn's output is put together from: 1 for
// an answer of one run, 0 where it is not a whole answer.
func segmentsOf(program *Program, turn caller.Turn, prompt []string) int {
	call := program.call(turn.RequestID)
	if call == nil {
		return 0
	}
	if call.Sent.Input != nil {
		expected := tool.ExpectedOutput(program.ID, BackEndName(program.ID, turn.RequestID), call.Sent.Target, *call.Sent.Input)
		if turn.Output == expected {
			return 1
		}
		return 0
	}
	request := engineRequest{program: program.ID, id: BackEndName(program.ID, turn.RequestID), prompt: prompt, maxTokens: *call.Sent.MaxTokens}
	return request.segments(turn.Output, 0)
}

func (program *Program) call(requestID string) *Call {
	for index := range program.Calls {
		if program.Calls[index].RequestID == requestID {
			return &program.Calls[index]
		}
	}
	return nil
}

// engineRequest is a model call as engines get it.
type engineRequest struct {
	program   string
	id        string
	prompt    []string
	maxTokens int
}

// segments counts the runs behind output, of which the first begun bytes came
// from earlier runs. A later run gets the text so far as a part of its prompt.
func (request engineRequest) segments(output string, begun int) int {
	if begun/tokenBytes >= request.maxTokens {
		return 0
	}
	prompt := request.prompt
	if begun > 0 {
		prompt = append(prompt[:len(prompt):len(prompt)], output[:begun])
	}
	expected := engine.ExpectedOutput(request.program, request.id, prompt, request.maxTokens-begun/tokenBytes)
	rest := output[begun:]
	if rest == expected.Text {
		return 1
	}
	cut := begun + commonTokens(rest, expected.Text)*tokenBytes
	if cut == begun || cut >= len(output) {
		return 0
	}
	if later := request.segments(output, cut); later > 0 && later < maximumSegments {
		return later + 1
	}
	return 0
}

// commonTokens counts the tokens that both texts begin with.
func commonTokens(left, right string) int {
	size := 0
	for size < min(len(left), len(right)) && left[size] == right[size] {
		size++
	}
	return size / tokenBytes
}
