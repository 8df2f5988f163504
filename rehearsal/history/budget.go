package history

import "fmt"

// Budget holds the programs to their caps and the tiers to their budgets, as
// the gateways show the programs at the end and as the callers were charged.
func Budget(run *Run) Result {
	var violations []string
	spent := make(map[string]uint64)
	charged := make(map[string]uint64)
	checked := 0
	for index := range run.Programs {
		program := &run.Programs[index]
		if program.State.ID == "" {
			continue
		}
		checked++
		if program.State.SpentMicros > program.State.CapMicros {
			violations = append(violations, fmt.Sprintf("%s spent %d of its cap %d",
				program.ID, program.State.SpentMicros, program.State.CapMicros))
		}
		charged[program.Tier] += program.charged()
		if program.Parent == "" {
			spent[program.Tier] += program.State.SpentMicros
		}
	}
	figures := fmt.Sprintf("%d programs", checked)
	for _, tier := range sortedKeys(run.Budgets) {
		budget := run.Budgets[tier]
		if most := max(spent[tier], charged[tier]); most > budget {
			violations = append(violations, fmt.Sprintf("tier %s spent %d of its budget %d", tier, most, budget))
		}
		figures += fmt.Sprintf("; %s %d of %d", tier, max(spent[tier], charged[tier]), budget)
	}
	return newResult(CheckBudget, checked, violations, "%s", figures)
}

// charged sums up what the caller of the program was told that its calls cost.
func (program *Program) charged() uint64 {
	total := uint64(0)
	for _, call := range program.Calls {
		total += call.Result.Usage.CostMicros
	}
	return total
}
