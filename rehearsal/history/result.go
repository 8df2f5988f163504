package history

import (
	"fmt"
	"strings"
)

// Verdict is the outcome of a check.
type Verdict string

// Verdicts of a check.
const (
	Passed Verdict = "passed"
	// Violated means that an invariant was violated.
	Violated Verdict = "failed"
	// NotChecked means that the run recorded nothing that the check applies to.
	NotChecked Verdict = "not run"
)

// maxPrintedViolations is the maximum number of violations printed per check.
const maxPrintedViolations = 8

// Result is the result of a check.
type Result struct {
	Check      string
	Verdict    Verdict
	Figures    string
	Violations []string
}

// newResult returns Violated if there are violations, and NotChecked if checked, the
// number of items checked, is 0.
func newResult(check string, checked int, violations []string, figures string, values ...any) Result {
	result := Result{Check: check, Verdict: Passed, Figures: fmt.Sprintf(figures, values...), Violations: violations}
	switch {
	case len(violations) > 0:
		result.Verdict = Violated
	case checked == 0:
		result.Verdict = NotChecked
	}
	return result
}

// String formats the result as lines of text.
func (result Result) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-14s %-8s %s\n", result.Check, result.Verdict, result.Figures)
	for index, violation := range result.Violations {
		if index == maxPrintedViolations {
			fmt.Fprintf(&text, "    and %d more\n", len(result.Violations)-maxPrintedViolations)
			break
		}
		fmt.Fprintf(&text, "    %s\n", violation)
	}
	return text.String()
}

// Check checks an invariant over a run.
type Check func(run *Run) Result

// Names of the checks in scenario files.
const (
	CheckOrder         = "order"
	CheckHistory       = "history"
	CheckAnswers       = "answers"
	CheckAtMostOnce    = "at-most-once"
	CheckRefusals      = "refusals"
	CheckBudget        = "budget"
	CheckCache         = "cache"
	CheckDraining      = "leaving"
	CheckPlannedStop   = "planned-stop"
	CheckConfiguration = "configuration"
	CheckLinearizable  = "linearizable"
	CheckProgress      = "progress"
)

// Checks maps names to checks.
var Checks = map[string]Check{
	CheckOrder:         Order,
	CheckHistory:       History,
	CheckAnswers:       Answers,
	CheckAtMostOnce:    AtMostOnce,
	CheckRefusals:      Refusals,
	CheckBudget:        Budget,
	CheckCache:         Cache,
	CheckDraining:      DrainingBackEnds,
	CheckPlannedStop:   PlannedStop,
	CheckConfiguration: Configuration,
	CheckLinearizable:  Linearizable,
	CheckProgress:      Progress,
}
