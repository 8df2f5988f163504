package queue

// OracleOrder serves the program with the least remaining service first. It is
// a baseline for experiments: a real scheduler does not know the remaining
// service.
type OracleOrder struct{}

// Rank puts all calls in one band, ordered by the program's remaining service.
func (OracleOrder) Rank(call Call) Rank {
	return Rank{Value: call.RemainingService}
}
