package membership

import (
	"cmp"
	"slices"
)

// sortedProcesses returns the processes sorted by ID, without duplicates.
func sortedProcesses(processes []Process) []Process {
	sorted := slices.Clone(processes)
	slices.SortFunc(sorted, func(left, right Process) int {
		return cmp.Compare(left.ID, right.ID)
	})
	return slices.CompactFunc(sorted, func(left, right Process) bool {
		return left.ID == right.ID
	})
}

// highestScored returns the process with the highest score for a key, or false if
// there are no processes.
func highestScored(key string, processes []Process) (Process, bool) {
	if len(processes) == 0 {
		return Process{}, false
	}
	return slices.MaxFunc(processes, func(left, right Process) int {
		order := cmp.Compare(score(key, left.ID), score(key, right.ID))
		if order == 0 {
			order = cmp.Compare(left.ID, right.ID)
		}
		return order
	}), true
}
