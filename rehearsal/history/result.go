package history

import (
	"fmt"
	"strings"
)

// Verdict is how a check ended.
type Verdict string

// Verdicts of a check.
const (
	Passed Verdict = "passed"
	// Violated means that something which must always hold did not.
	Violated Verdict = "failed"
	// NotChecked means that the run holds nothing that the check could judge.
	NotChecked Verdict = "not run"
)

// shownViolations bounds the violations printed of one check.
const shownViolations = 8

// Result is the verdict of one check.
type Result struct {
	Check      string
	Verdict    Verdict
	Figures    string
	Violations []string
}

// newResult judges by the violations; judged is how many things were compared.
func newResult(check string, judged int, violations []string, figures string, values ...any) Result {
	result := Result{Check: check, Verdict: Passed, Figures: fmt.Sprintf(figures, values...), Violations: violations}
	switch {
	case len(violations) > 0:
		result.Verdict = Violated
	case judged == 0:
		result.Verdict = NotChecked
	}
	return result
}

// String is the result as lines of text.
func (result Result) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-14s %-8s %s\n", result.Check, result.Verdict, result.Figures)
	for index, violation := range result.Violations {
		if index == shownViolations {
			fmt.Fprintf(&text, "    and %d more\n", len(result.Violations)-shownViolations)
			break
		}
		fmt.Fprintf(&text, "    %s\n", violation)
	}
	return text.String()
}

// Check judges a run.
type Check func(run *Run) Result

// Names of the checks, as scenario files give them.
const (
	CheckOrder         = "order"
	CheckHistory       = "history"
	CheckAnswers       = "answers"
	CheckOnce          = "at-most-once"
	CheckRefusals      = "refusals"
	CheckBudget        = "budget"
	CheckCache         = "cache"
	CheckLeaving       = "leaving"
	CheckPlannedStop   = "planned-stop"
	CheckConfiguration = "configuration"
	CheckLinearizable  = "linearizable"
	CheckProgress      = "progress"
)

// Checks are all checks by name.
var Checks = map[string]Check{
	CheckOrder:         Order,
	CheckHistory:       History,
	CheckAnswers:       Answers,
	CheckOnce:          AtMostOnce,
	CheckRefusals:      Refusals,
	CheckBudget:        Budget,
	CheckCache:         Cache,
	CheckLeaving:       LeavingBackEnds,
	CheckPlannedStop:   PlannedStop,
	CheckConfiguration: Configuration,
	CheckLinearizable:  Linearizable,
	CheckProgress:      Progress,
}
