package keeper

import "fmt"

// CheckInvariants recomputes the keeper's incremental counters and returns the
// first mismatch as an error.
func (keeper *Keeper) CheckInvariants() error {
	calls := map[*programState]int{}
	for _, call := range keeper.waiting {
		calls[call.program]++
	}
	for _, call := range keeper.running {
		calls[call.program]++
	}
	for name, program := range keeper.programs.byName {
		if program.calls != calls[program] {
			return fmt.Errorf("program %s: calls counter is %d, want %d", name, program.calls, calls[program])
		}
	}
	for _, engine := range keeper.engines {
		if err := engine.checkInvariants(); err != nil {
			return err
		}
	}
	return keeper.checkTiers()
}

func (engine *engineState) checkInvariants() error {
	used, idle, pins := 0, 0, 0
	for _, call := range engine.running {
		used += call.kvTokens
	}
	for p := engine.prefixes.oldest; p != nil; p = p.newer {
		pins += p.pins
		if p.pins == 0 {
			idle += p.memory
		}
		if p.program.prefixOn(engine) != p {
			return fmt.Errorf("engine %s: prefix of program %s is missing from the program", engine.name, p.program.name)
		}
	}
	if used != engine.usedTokens || idle != engine.prefixes.idleTokens || pins != len(engine.running) {
		return fmt.Errorf("engine %s: counters are %d used and %d idle tokens, want %d and %d; %d pins for %d running calls",
			engine.name, engine.usedTokens, engine.prefixes.idleTokens, used, idle, pins, len(engine.running))
	}
	return nil
}

func (keeper *Keeper) checkTiers() error {
	waiting, running := 0, 0
	for _, tier := range keeper.tiers.byKey {
		waiting += tier.waiting
		running += tier.running
	}
	if waiting != len(keeper.waiting) || running != len(keeper.running) {
		return fmt.Errorf("tier counters are %d waiting and %d running calls, want %d and %d",
			waiting, running, len(keeper.waiting), len(keeper.running))
	}
	return nil
}
