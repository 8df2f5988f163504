package queue

// FirstComeOrder serves calls in the order they were offered, whatever their
// tier.
type FirstComeOrder struct{}

// Rank puts every call in one band, by the time it was offered.
func (FirstComeOrder) Rank(call Call) Rank {
	return Rank{Value: call.QueuedAt.Seconds()}
}
