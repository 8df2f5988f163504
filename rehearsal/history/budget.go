package history

import "fmt"

// Budget checks that no program exceeds its cap and no tier its budget. A tier's
// spending is the larger of what the gateways report for its programs and what
// its callers were charged.
func Budget(run *Run) Result {
	var violations []string
	spent := make(map[string]uint64)
	charged := make(map[string]uint64)
	checked := 0
	for index := range run.Programs {
		program := &run.Programs[index]
		if program.FinalState.ID == "" {
			continue
		}
		checked++
		if program.FinalState.SpentMicros > program.FinalState.CapMicros {
			violations = append(violations, fmt.Sprintf("%s spent %d micros, its cap is %d",
				program.ID, program.FinalState.SpentMicros, program.FinalState.CapMicros))
		}
		charged[program.Tier] += program.chargedMicros()
		if program.Parent == "" {
			spent[program.Tier] += program.FinalState.SpentMicros
		}
	}
	figures := fmt.Sprintf("%d programs", checked)
	for _, tier := range sortedKeys(run.Budgets) {
		budget := run.Budgets[tier]
		if total := max(spent[tier], charged[tier]); total > budget {
			violations = append(violations, fmt.Sprintf("tier %s spent %d micros, its budget is %d", tier, total, budget))
		}
		figures += fmt.Sprintf("; %s %d of %d", tier, max(spent[tier], charged[tier]), budget)
	}
	return newResult(CheckBudget, checked, violations, "%s", figures)
}

// chargedMicros returns the total cost reported to the program's caller.
func (program *Program) chargedMicros() uint64 {
	total := uint64(0)
	for _, call := range program.Calls {
		total += call.Result.Usage.CostMicros
	}
	return total
}
