package ledger

const (
	// callsPerTopUp is the number of typical calls that one chunk covers.
	callsPerTopUp = 32
	// budgetChunkDivisor limits a chunk to 1/budgetChunkDivisor of the tier's
	// budget, so that a few shards cannot hold all of a small budget.
	budgetChunkDivisor = 64
	// lowWaterDivisor sets the low-water mark to 1/lowWaterDivisor of a chunk.
	lowWaterDivisor = 4
)

// TopUpPolicy decides when a shard's leader requests more escrow from the tier's
// account. It is local to the leader and not replicated.
type TopUpPolicy struct {
	// LowWater is the amount to keep available beyond pending calls.
	LowWater Micros
	// Chunk is requested in addition to the shortfall.
	Chunk Micros
}

// NewTopUpPolicy returns a policy for a tier's budget and the worst-case cost of
// a typical call.
func NewTopUpPolicy(budget, typicalWorstCase Micros) TopUpPolicy {
	chunk := min(multiplySaturating(typicalWorstCase, callsPerTopUp), budget/budgetChunkDivisor)
	return TopUpPolicy{LowWater: chunk / lowWaterDivisor, Chunk: chunk}
}

// Wanted returns the granted total to request and whether a request is needed.
// need is the sum of the worst-case costs of calls waiting for escrow; it must
// not include calls that exceed the tier's whole budget. The result is the same
// for the same need and an unchanged escrow, so repeated requests are granted once.
func (policy TopUpPolicy) Wanted(escrow *Escrow, need Micros) (Micros, bool) {
	target := addSaturating(need, policy.LowWater)
	available := escrow.Available()
	if available >= target {
		return escrow.Granted(), false
	}
	missing := target - available
	return addSaturating(escrow.Granted(), addSaturating(missing, policy.Chunk)), true
}

// IdleReturn computes the returned total that leaves keep available, and reports
// whether there is anything to return. The leader proposes it after a period
// without calls of the tier, or immediately on a recall by the account.
//
// A recall must carry the granted total, and its response the returned total even
// if unchanged: an earlier message with either may have been lost, and the amount
// would otherwise remain outstanding until the shard's next top-up.
func IdleReturn(escrow *Escrow, keep Micros) (Micros, bool) {
	excess := subtractSaturating(escrow.Available(), keep)
	return escrow.Returned() + excess, excess > 0
}
