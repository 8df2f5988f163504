package placement

// LowestPicker takes the admitted candidate with the lowest cost, the first of
// equals.
type LowestPicker struct{}

// Pick returns its index.
func (LowestPicker) Pick(_ []Candidate, admitted []bool, costs []float64) int {
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

// RotatingPicker takes the admitted candidates in turn.
type RotatingPicker struct{ next int }

// Pick returns the index after the last one picked.
func (picker *RotatingPicker) Pick(_ []Candidate, admitted []bool, _ []float64) int {
	for step := range admitted {
		index := (picker.next + step) % len(admitted)
		if admitted[index] {
			picker.next = index + 1
			return index
		}
	}
	return None
}
