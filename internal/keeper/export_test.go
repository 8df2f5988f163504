package keeper

import "fmt"

// CheckBooks adds up from scratch what the keeper counts as it goes, and tells
// the first difference.
func (keeper *Keeper) CheckBooks() error {
	calls := map[*programState]int{}
	for _, call := range keeper.waiting {
		calls[call.program]++
	}
	for _, call := range keeper.running {
		calls[call.program]++
	}
	for name, program := range keeper.programs.byName {
		if program.calls != calls[program] {
			return fmt.Errorf("program %s counts %d calls, has %d", name, program.calls, calls[program])
		}
	}
	for _, engine := range keeper.engines {
		if err := engine.checkBooks(); err != nil {
			return err
		}
	}
	return keeper.checkTiers()
}

func (engine *engineState) checkBooks() error {
	used, idle, pins := 0, 0, 0
	for _, call := range engine.running {
		used += call.need
	}
	for held := engine.prefixes.oldest; held != nil; held = held.newer {
		pins += held.pins
		if held.pins == 0 {
			idle += held.memory
		}
		if held.program.prefixOn(engine) != held {
			return fmt.Errorf("engine %s lists a prefix that program %s does not", engine.name, held.program.name)
		}
	}
	if used != engine.usedTokens || idle != engine.prefixes.idleTokens || pins != len(engine.running) {
		return fmt.Errorf("engine %s counts %d used, %d idle; has %d and %d, %d pins for %d calls",
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
		return fmt.Errorf("tiers count %d waiting and %d running calls, there are %d and %d",
			waiting, running, len(keeper.waiting), len(keeper.running))
	}
	return nil
}
