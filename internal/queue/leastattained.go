package queue

import "math"

// LeastAttainedOrder serves higher tiers first and, inside a tier, the program
// with the least attained service. The rank is a virtual start time,
//
//	program start + SecondsPerToken × attained service, rounded down to a level
//
// so programs that start after it rank behind and no program starves.
type LeastAttainedOrder struct {
	// LevelTokens is the width of the first level in service tokens; the levels
	// after it start at 1, 2, 4... times LevelTokens. Programs on one level are
	// served oldest first, which avoids round-robin between equal programs.
	LevelTokens float64
	// SecondsPerToken is added to the virtual start time per service token.
	SecondsPerToken float64
}

// defaultLevelTokens is about the total service of the 90th percentile program.
const (
	defaultLevelTokens     = 4000
	defaultSecondsPerToken = 1
)

// DefaultLeastAttainedOrder returns the order with default parameters.
func DefaultLeastAttainedOrder() LeastAttainedOrder {
	return LeastAttainedOrder{LevelTokens: defaultLevelTokens, SecondsPerToken: defaultSecondsPerToken}
}

// Rank puts each tier weight in its own band, ordered by virtual start time.
func (order LeastAttainedOrder) Rank(call Call) Rank {
	started := (call.QueuedAt - call.ProgramAge).Seconds()
	return Rank{Band: call.Weight, Value: started + order.SecondsPerToken*order.levelFloor(call.AttainedService)}
}

// levelFloor rounds attained service down to the start of its level: 0, then
// LevelTokens × 1, 2, 4...
func (order LeastAttainedOrder) levelFloor(attained float64) float64 {
	if attained < order.LevelTokens {
		return 0
	}
	level := math.Floor(math.Log2(attained / order.LevelTokens))
	return order.LevelTokens * math.Exp2(level)
}
