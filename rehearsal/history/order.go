package history

import "fmt"

// Order checks that each program's turns are in the order of its calls.
func Order(run *Run) Result {
	var violations []string
	compared := 0
	for index := range run.Programs {
		program := &run.Programs[index]
		positions := make(map[string]int, len(program.Calls))
		for position, call := range program.Calls {
			positions[call.RequestID] = position
		}
		last, lastNumber := -1, uint32(0)
		for _, turn := range program.FinalTurns {
			position, known := positions[turn.RequestID]
			compared++
			if known && (position <= last || turn.Number <= lastNumber) {
				violations = append(violations, fmt.Sprintf("%s: turn %d (%s) is out of order",
					program.ID, turn.Number, turn.RequestID))
			}
			last, lastNumber = position, turn.Number
		}
	}
	return newResult(CheckOrder, compared, violations, "%d turns of %d programs", compared, len(run.Programs))
}

// History checks that each program's history contains every answered call exactly
// once and byte for byte, and otherwise only calls with an unknown outcome.
func History(run *Run) Result {
	var violations []string
	compared := 0
	for index := range run.Programs {
		program := &run.Programs[index]
		if program.ID == "" {
			continue
		}
		if program.FinalTurns == nil && len(program.Calls) > 0 {
			violations = append(violations, fmt.Sprintf("%s: history could not be read: %s", program.ID, program.AbortReason))
			continue
		}
		compared += len(program.FinalTurns)
		violations = append(violations, historyViolations(program)...)
	}
	return newResult(CheckHistory, compared, violations, "%d turns compared byte for byte", compared)
}

func historyViolations(program *Program) []string {
	var violations []string
	present := make(map[string]bool)
	calls := make(map[string]*Call, len(program.Calls))
	for index := range program.Calls {
		calls[program.Calls[index].RequestID] = &program.Calls[index]
	}
	for _, turn := range program.FinalTurns {
		if present[turn.RequestID] {
			violations = append(violations, fmt.Sprintf("%s: turn %s is duplicated", program.ID, turn.RequestID))
		}
		present[turn.RequestID] = true
		violations = append(violations, turnViolations(program.ID, calls[turn.RequestID], turn)...)
	}
	for _, call := range program.Calls {
		if call.Outcome == Answered && !present[call.RequestID] {
			violations = append(violations, fmt.Sprintf("%s: answered call %s is missing from the history", program.ID, call.RequestID))
		}
	}
	return violations
}
