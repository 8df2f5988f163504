package history

import (
	"fmt"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// Cache checks that engines hold no memory for ended programs.
func Cache(run *Run) Result {
	var violations []string
	for _, held := range run.LeakedMemory {
		violations = append(violations, fmt.Sprintf("%s holds %d blocks of the ended program %s", held.Engine, held.Blocks, held.Program))
	}
	checked := 0
	if run.EngineMemoryChecked {
		checked = len(run.Programs)
	}
	return newResult(CheckCache, checked, violations, "%d ended programs", checked)
}

// DrainingBackEnds checks that draining back ends receive no new requests after
// their grace period.
func DrainingBackEnds(run *Run) Result {
	var violations []string
	for _, drain := range run.Drains {
		added := 0
		for name := range drain.RunsAfter {
			if drain.RunsBefore[name] == 0 {
				added++
			}
		}
		if added > 0 {
			violations = append(violations, fmt.Sprintf("%s, draining since %s, ran %d new requests after its grace period", drain.BackEnd, drain.At, added))
		}
	}
	if run.BackEnds.LateRequests > 0 {
		violations = append(violations, fmt.Sprintf("draining engines received %d requests after their grace period", run.BackEnds.LateRequests))
	}
	return newResult(CheckDraining, len(run.Drains), violations, "%d back ends drained", len(run.Drains))
}

// PlannedStop checks that a run whose only faults are planned stops interrupts no
// request and returns no error to a caller.
func PlannedStop(run *Run) Result {
	var violations []string
	calls := 0
	for _, cut := range run.InterruptedRequests {
		violations = append(violations, fmt.Sprintf("%s: request %s at %s was interrupted: %s", cut.At, cut.Request, cut.Gateway, cut.Cause))
	}
	for _, shown := range run.TransientErrors {
		violations = append(violations, fmt.Sprintf("%s: request %s at %s failed transiently: %s", shown.At, shown.Request, shown.Gateway, shown.Cause))
	}
	run.forEachCall(func(program *Program, call *Call) {
		calls++
		if call.Outcome != Answered {
			violations = append(violations, fmt.Sprintf("%s failed: %s", BackEndRequestID(program.ID, call.RequestID), call.Failure))
		}
	})
	return newResult(CheckPlannedStop, calls, violations, "%d calls, %d requests interrupted, %d transient errors", calls, len(run.InterruptedRequests), len(run.TransientErrors))
}

// Progress checks that every program's caller made all of its calls. Individual
// calls may fail.
func Progress(run *Run) Result {
	var violations []string
	outcomes := make(map[Outcome]int)
	codes := make(map[resultcode.Code]int)
	calls, resent := 0, 0
	run.forEachCall(func(_ *Program, call *Call) {
		calls++
		outcomes[call.Outcome]++
		if call.Code > 0 {
			codes[resultcode.Code(call.Code)]++
		}
		if call.SendCount > 1 {
			resent++
		}
	})
	for _, program := range run.Programs {
		if program.AbortReason != "" {
			violations = append(violations, program.ID+": "+program.AbortReason)
		}
	}
	return newResult(CheckProgress, calls, violations,
		"%d programs, %d calls: %d answered, %d not run, %d unknown, %d failed; %d sent more than once, %d requests interrupted, %d transient errors; codes %v",
		len(run.Programs), calls, outcomes[Answered], outcomes[NotRun], outcomes[Unknown], outcomes[Failed], resent, len(run.InterruptedRequests), len(run.TransientErrors), codes)
}
