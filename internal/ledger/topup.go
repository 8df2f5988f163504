package ledger

const (
	// callsPerChunk is how many usual calls one top-up should last for.
	callsPerChunk = 32
	// chunkDivisor bounds a chunk to this fraction of the tier's budget, so that
	// few shards can't hold all of a small budget.
	chunkDivisor = 64
	// lowWaterDivisor puts the low-water mark at this fraction of a chunk.
	lowWaterDivisor = 4
)

// TopUpPolicy tells when a shard's leader asks its tier's account for more
// escrow. It is the leader's own and not replicated.
type TopUpPolicy struct {
	// LowWater is the available amount below which more is asked for.
	LowWater Micros
	// Chunk is asked for beyond what is needed at once.
	Chunk Micros
}

// NewTopUpPolicy sizes the chunks for a tier of that budget, whose usual call
// has that worst case.
func NewTopUpPolicy(budget, usualWorstCase Micros) TopUpPolicy {
	chunk := min(multiply(usualWorstCase, callsPerChunk), budget/chunkDivisor)
	return TopUpPolicy{LowWater: chunk / lowWaterDivisor, Chunk: chunk}
}

// Wanted returns the granted total to ask for, and whether to ask at all. need
// is the sum of the worst cases of the calls that wait for escrow; a call that
// the tier's whole budget can't cover is refused and never part of it. The same
// total is asked for until it is answered: asking twice grants once.
func (policy TopUpPolicy) Wanted(escrow *Escrow, need Micros) (Micros, bool) {
	target := add(need, policy.LowWater)
	available := escrow.Available()
	if available >= target {
		return escrow.Granted(), false
	}
	missing := target - available
	return add(escrow.Granted(), add(missing, policy.Chunk)), true
}

// IdleReturn returns the returned total that leaves keep available, and whether
// there is anything to give back. The leader proposes it after a time without
// calls of the tier, and at once when the account recalls. A recall has to carry
// the granted total, and its answer the returned total even where there is
// nothing to give back: a message about either may have been lost, and the money
// would stay out for as long as the shard needs nothing of the tier.
func IdleReturn(escrow *Escrow, keep Micros) (Micros, bool) {
	spare := subtract(escrow.Available(), keep)
	return escrow.Returned() + spare, spare > 0
}
