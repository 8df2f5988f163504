package queue

// CallPriorityOrder serves higher tiers first and ignores program state.
type CallPriorityOrder struct{}

// Rank puts each tier weight in its own band, ordered by queueing time.
func (CallPriorityOrder) Rank(call Call) Rank {
	return Rank{Band: call.Weight, Value: call.QueuedAt.Seconds()}
}
