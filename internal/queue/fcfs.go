package queue

// FCFSOrder serves calls in the order they were queued, regardless of tier.
type FCFSOrder struct{}

// Rank puts all calls in one band, ordered by queueing time.
func (FCFSOrder) Rank(call Call) Rank {
	return Rank{Value: call.QueuedAt.Seconds()}
}
