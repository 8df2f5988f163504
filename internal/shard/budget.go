package shard

import (
	"math/bits"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// reserve reserves amount micros from the caps of the program and its ancestors and
// from the shard's escrow for the tier, or from none of them.
func (state *State) reserve(program *Program, amount uint64) *resultcode.Error {
	if limiting := state.firstOverCap(program, amount); limiting != nil {
		return resultcode.New(resultcode.ProgramCapReached,
			"program %s has %d of %d micros left, the call may cost %d",
			limiting.ID(), limiting.remainingCap(), limiting.Created().CapMicros, amount)
	}
	if failure := state.reserveEscrow(program, amount); failure != nil {
		return failure
	}
	for ancestor := program; ancestor != nil; ancestor = state.parent(ancestor) {
		ancestor.record.ReservedMicros += amount
	}
	return nil
}

// Covers reports whether a reservation of amount micros fits into the caps of the
// program and its ancestors.
func (state *State) Covers(program *Program, amount uint64) bool {
	return state.firstOverCap(program, amount) == nil
}

// firstOverCap returns the nearest of the program and its ancestors whose cap a
// reservation of amount would exceed; nil if there is none.
func (state *State) firstOverCap(program *Program, amount uint64) *Program {
	for ancestor := program; ancestor != nil; ancestor = state.parent(ancestor) {
		if !ancestor.fitsCap(amount) {
			return ancestor
		}
	}
	return nil
}

// settle replaces a call's reservation by its charge. The charge is limited to the
// reservation, so that a back end that reports excessive usage cannot cause a budget
// to be exceeded.
func (state *State) settle(call *Call, actual uint64) {
	reserved := call.record.ReservedMicros
	charge := min(actual, reserved)
	call.record.ReservedMicros = 0
	call.record.CostMicros = charge
	for ancestor := call.program; ancestor != nil; ancestor = state.parent(ancestor) {
		ancestor.record.ReservedMicros -= reserved
		ancestor.record.SpentMicros += charge
	}
	state.settleEscrow(call.program, reserved, charge)
}

func (state *State) parent(program *Program) *Program {
	return state.programs[program.Created().ParentId]
}

// fitsCap reports whether a reservation of amount fits into the program's cap. A cap
// of 0 means no limit.
func (program *Program) fitsCap(amount uint64) bool {
	limit := program.Created().CapMicros
	if limit == 0 {
		return true
	}
	return amount <= program.remainingCap()
}

// remainingCap returns the micros of the cap that are neither spent nor reserved.
func (program *Program) remainingCap() uint64 {
	used, _ := bits.Add64(program.record.SpentMicros, program.record.ReservedMicros, 0)
	limit := program.Created().CapMicros
	if used >= limit {
		return 0
	}
	return limit - used
}
