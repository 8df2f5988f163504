package history

import "fmt"

// AtMostOnce checks that no non-repeatable call ran more than once.
func AtMostOnce(run *Run) Result {
	runs := run.BackEnds.Runs()
	var violations []string
	checked, ran, unknown := 0, 0, 0
	run.forEachCall(func(program *Program, call *Call) {
		if call.Request.Repeatable {
			return
		}
		checked++
		count := runs[BackEndRequestID(program.ID, call.RequestID)]
		ran += min(count, 1)
		if call.Outcome == Unknown {
			unknown++
		}
		if count > 1 {
			violations = append(violations, fmt.Sprintf("%s is not repeatable but ran %d times (%s, sent %d times)",
				BackEndRequestID(program.ID, call.RequestID), count, call.Outcome, call.SendCount))
		}
	})
	return newResult(CheckAtMostOnce, checked, violations,
		"%d non-repeatable calls, %d ran, %d with unknown outcome", checked, ran, unknown)
}

// Refusals checks that no call ran that was refused with a code for calls that did
// not run.
func Refusals(run *Run) Result {
	runs := run.BackEnds.Runs()
	var violations []string
	refused := 0
	run.forEachCall(func(program *Program, call *Call) {
		if call.Outcome != NotRun {
			return
		}
		refused++
		if count := runs[BackEndRequestID(program.ID, call.RequestID)]; count > 0 {
			violations = append(violations, fmt.Sprintf("%s was refused with code %d (not run) but ran %d times",
				BackEndRequestID(program.ID, call.RequestID), call.Code, count))
		}
	})
	return newResult(CheckRefusals, refused, violations, "%d calls refused without running", refused)
}
