package queue

import "math"

// AttainedOrder serves the higher tier first and, inside a tier, the program
// that has used the least service so far. A program's age counts for it, so no
// program waits without end: the rank is a virtual start time,
//
//	program start + AgePerToken × attained service, rounded to a level
//
// and every program that starts later than that comes after it.
type AttainedOrder struct {
	// LevelTokens is the width of the first level, service tokens. Each level
	// is twice as wide as the one before. Programs of one level are served
	// oldest first, which avoids taking turns between equal programs.
	LevelTokens float64
	// AgePerToken is how many seconds of age one service token costs.
	AgePerToken float64
}

// A program is served by its age until it has used what nine in ten programs
// need in all; then it goes behind those that have not.
const (
	defaultLevelTokens = 4000
	defaultAgePerToken = 1
)

// DefaultAttainedOrder returns the order with its default tuning.
func DefaultAttainedOrder() AttainedOrder {
	return AttainedOrder{LevelTokens: defaultLevelTokens, AgePerToken: defaultAgePerToken}
}

// Rank makes one band a tier weight and ranks by virtual start time inside it.
func (order AttainedOrder) Rank(call Call) Rank {
	started := (call.QueuedAt - call.ProgramAge).Seconds()
	return Rank{Band: call.Weight, Value: started + order.AgePerToken*order.levelFloor(call.AttainedService)}
}

// levelFloor rounds attained service down to the start of its level: 0, then
// LevelTokens times 1, 2, 4 and so on.
func (order AttainedOrder) levelFloor(attained float64) float64 {
	if attained < order.LevelTokens {
		return 0
	}
	level := math.Floor(math.Log2(attained / order.LevelTokens))
	return order.LevelTokens * math.Exp2(level)
}
