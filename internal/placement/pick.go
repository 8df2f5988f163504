package placement

// LowestCostPicker picks the admitted candidate with the lowest cost, the first
// one on a tie.
type LowestCostPicker struct{}

// Pick returns the index of the cheapest admitted candidate, or None.
func (LowestCostPicker) Pick(_ []Candidate, admitted []bool, costs []float64) int {
	chosen := None
	for index, allowed := range admitted {
		if !allowed {
			continue
		}
		if chosen == None || costs[index] < costs[chosen] {
			chosen = index
		}
	}
	return chosen
}

// RoundRobinPicker picks the admitted candidates in turn.
type RoundRobinPicker struct{ next int }

// Pick returns the next admitted index after the previous pick, or None.
func (picker *RoundRobinPicker) Pick(_ []Candidate, admitted []bool, _ []float64) int {
	for step := range admitted {
		index := (picker.next + step) % len(admitted)
		if admitted[index] {
			picker.next = index + 1
			return index
		}
	}
	return None
}
