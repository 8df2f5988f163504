package history

import "fmt"

// Order holds each program's history to the order in which its calls were made.
func Order(run *Run) Result {
	var violations []string
	compared := 0
	for index := range run.Programs {
		program := &run.Programs[index]
		made := make(map[string]int, len(program.Calls))
		for place, call := range program.Calls {
			made[call.RequestID] = place
		}
		last, lastNumber := -1, uint32(0)
		for _, turn := range program.Final {
			place, known := made[turn.RequestID]
			compared++
			if known && (place <= last || turn.Number <= lastNumber) {
				violations = append(violations, fmt.Sprintf("%s: turn %d is %s, made before the turn that stands before it",
					program.ID, turn.Number, turn.RequestID))
			}
			last, lastNumber = place, turn.Number
		}
	}
	return newResult(CheckOrder, compared, violations, "%d turns of %d programs", compared, len(run.Programs))
}

// History holds each program's history to its callers' view: every answered
// call stands in it once, byte for byte, and nothing else but calls whose
// outcome their caller does not know.
func History(run *Run) Result {
	var violations []string
	compared := 0
	for index := range run.Programs {
		program := &run.Programs[index]
		if program.ID == "" {
			continue
		}
		if program.Final == nil && len(program.Calls) > 0 {
			violations = append(violations, fmt.Sprintf("%s: its history could not be read: %s", program.ID, program.Problem))
			continue
		}
		compared += len(program.Final)
		violations = append(violations, historyViolations(program)...)
	}
	return newResult(CheckHistory, compared, violations, "%d turns compared byte for byte", compared)
}

func historyViolations(program *Program) []string {
	var violations []string
	stands := make(map[string]bool)
	calls := make(map[string]*Call, len(program.Calls))
	for index := range program.Calls {
		calls[program.Calls[index].RequestID] = &program.Calls[index]
	}
	for _, turn := range program.Final {
		if stands[turn.RequestID] {
			violations = append(violations, fmt.Sprintf("%s: %s stands twice", program.ID, turn.RequestID))
		}
		stands[turn.RequestID] = true
		violations = append(violations, turnViolations(program.ID, calls[turn.RequestID], turn)...)
	}
	for _, call := range program.Calls {
		if call.Outcome == Answered && !stands[call.RequestID] {
			violations = append(violations, fmt.Sprintf("%s: the answered call %s is lost", program.ID, call.RequestID))
		}
	}
	return violations
}
