package history

import "fmt"

// AtMostOnce holds every call that is not repeatable to one run at most.
func AtMostOnce(run *Run) Result {
	runs := run.BackEnds.Runs()
	var violations []string
	checked, ran, unknown := 0, 0, 0
	run.calls(func(program *Program, call *Call) {
		if call.Sent.Repeatable {
			return
		}
		checked++
		count := runs[BackEndName(program.ID, call.RequestID)]
		ran += min(count, 1)
		if call.Outcome == Unknown {
			unknown++
		}
		if count > 1 {
			violations = append(violations, fmt.Sprintf("%s is not repeatable and ran %d times (%s, sent %d times)",
				BackEndName(program.ID, call.RequestID), count, call.Outcome, call.Sends))
		}
	})
	return newResult(CheckOnce, checked, violations,
		"%d calls not repeatable, %d ran, %d unknown to their callers", checked, ran, unknown)
}

// Refusals holds every refusal as not run to no run at all.
func Refusals(run *Run) Result {
	runs := run.BackEnds.Runs()
	var violations []string
	refused := 0
	run.calls(func(program *Program, call *Call) {
		if call.Outcome != NotRun {
			return
		}
		refused++
		if count := runs[BackEndName(program.ID, call.RequestID)]; count > 0 {
			violations = append(violations, fmt.Sprintf("%s was answered %d (not run) and ran %d times",
				BackEndName(program.ID, call.RequestID), call.Code, count))
		}
	})
	return newResult(CheckRefusals, refused, violations, "%d calls refused as not run", refused)
}
