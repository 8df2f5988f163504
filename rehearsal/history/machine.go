package history

import (
	"fmt"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// Cache holds the engines to keep no memory for programs that are gone.
func Cache(run *Run) Result {
	var violations []string
	for _, held := range run.Unreleased {
		violations = append(violations, fmt.Sprintf("%s holds %d blocks of %s, which is gone", held.Engine, held.Blocks, held.Program))
	}
	judged := 0
	if run.EnginesRead {
		judged = len(run.Programs)
	}
	return newResult(CheckCache, judged, violations, "%d programs gone", judged)
}

// LeavingBackEnds holds back ends that leave to get no new work once their
// time is over.
func LeavingBackEnds(run *Run) Result {
	var violations []string
	for _, leaving := range run.Leavings {
		added := 0
		for name := range leaving.After {
			if leaving.Before[name] == 0 {
				added++
			}
		}
		if added > 0 {
			violations = append(violations, fmt.Sprintf("%s left at %s and began %d requests after its bound", leaving.BackEnd, leaving.At, added))
		}
	}
	if run.BackEnds.Late > 0 {
		violations = append(violations, fmt.Sprintf("%d requests came to leaving engines after their grace", run.BackEnds.Late))
	}
	return newResult(CheckLeaving, len(run.Leavings), violations, "%d back ends left", len(run.Leavings))
}

// PlannedStop holds a run whose only faults are planned stops to cut no request
// and to show no error to a caller.
func PlannedStop(run *Run) Result {
	var violations []string
	calls := 0
	for _, cut := range run.Cuts {
		violations = append(violations, fmt.Sprintf("%s: %s at %s was cut: %s", cut.At, cut.Request, cut.Gateway, cut.Cause))
	}
	for _, shown := range run.Shown {
		violations = append(violations, fmt.Sprintf("%s: %s at %s was shown: %s", shown.At, shown.Request, shown.Gateway, shown.Cause))
	}
	run.calls(func(program *Program, call *Call) {
		calls++
		if call.Outcome != Answered {
			violations = append(violations, fmt.Sprintf("%s got %s", BackEndName(program.ID, call.RequestID), call.Failure))
		}
	})
	return newResult(CheckPlannedStop, calls, violations, "%d calls, %d cut, %d errors shown", calls, len(run.Cuts), len(run.Shown))
}

// Progress holds the run to have done its work: faults may end calls, but every
// program's caller must have got to the end of its calls.
func Progress(run *Run) Result {
	var violations []string
	outcomes := make(map[Outcome]int)
	codes := make(map[resultcode.Code]int)
	calls, again := 0, 0
	run.calls(func(_ *Program, call *Call) {
		calls++
		outcomes[call.Outcome]++
		if call.Code > 0 {
			codes[resultcode.Code(call.Code)]++
		}
		if call.Sends > 1 {
			again++
		}
	})
	for _, program := range run.Programs {
		if program.Problem != "" {
			violations = append(violations, program.ID+": "+program.Problem)
		}
	}
	return newResult(CheckProgress, calls, violations,
		"%d programs, %d calls: %d answered, %d not run, %d unknown, %d failed; %d sent more than once, %d cut, %d errors shown for a while; codes %v",
		len(run.Programs), calls, outcomes[Answered], outcomes[NotRun], outcomes[Unknown], outcomes[Failed], again, len(run.Cuts), len(run.Shown), codes)
}
