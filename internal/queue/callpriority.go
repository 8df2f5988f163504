package queue

// CallPriorityOrder serves the call of the higher tier first and knows nothing
// of the program behind a call.
type CallPriorityOrder struct{}

// Rank makes one band a tier weight, first come first served inside it.
func (CallPriorityOrder) Rank(call Call) Rank {
	return Rank{Band: call.Weight, Value: call.QueuedAt.Seconds()}
}
