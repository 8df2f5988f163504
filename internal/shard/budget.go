package shard

import (
	"math/bits"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// reserve holds amount against the caps of the program and its ancestors and
// against the shard's escrow of the tier. It changes all or nothing.
func (state *State) reserve(program *Program, amount uint64) *resultcode.Error {
	if short := state.shortOf(program, amount); short != nil {
		return resultcode.New(resultcode.ProgramCapReached,
			"program %s has %d of %d micros left, the call may need %d",
			short.ID(), short.left(), short.Created().CapMicros, amount)
	}
	if failure := state.reserveEscrow(program, amount); failure != nil {
		return failure
	}
	for ancestor := program; ancestor != nil; ancestor = state.parent(ancestor) {
		ancestor.record.ReservedMicros += amount
	}
	return nil
}

// Covers tells whether the caps of the program and its ancestors have room for
// amount more, micro units.
func (state *State) Covers(program *Program, amount uint64) bool {
	return state.shortOf(program, amount) == nil
}

// shortOf returns the first of the program and its ancestors whose cap does not
// cover amount more, nil where all do.
func (state *State) shortOf(program *Program, amount uint64) *Program {
	for ancestor := program; ancestor != nil; ancestor = state.parent(ancestor) {
		if !ancestor.covers(amount) {
			return ancestor
		}
	}
	return nil
}

// settle replaces a call's reservation by its charge. The charge never exceeds
// the reservation, so a back end that reports more than was asked for can't
// carry a budget over its bound.
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

// covers tells whether the program's cap has room for amount more. Cap 0 is no
// bound.
func (program *Program) covers(amount uint64) bool {
	bound := program.Created().CapMicros
	if bound == 0 {
		return true
	}
	return amount <= program.left()
}

// left returns the part of the cap neither spent nor reserved.
func (program *Program) left() uint64 {
	used, _ := bits.Add64(program.record.SpentMicros, program.record.ReservedMicros, 0)
	bound := program.Created().CapMicros
	if used >= bound {
		return 0
	}
	return bound - used
}
