package queue

// OracleOrder serves the program with the least remaining work first. It knows
// what no real scheduler can, and bounds the mean latency that is in reach.
type OracleOrder struct{}

// Rank puts every call in one band, by its program's remaining service.
func (OracleOrder) Rank(call Call) Rank {
	return Rank{Value: call.RemainingService}
}
