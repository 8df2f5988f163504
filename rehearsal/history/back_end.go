package history

import "time"

// BackEnds counts the runs at the stand-in back ends by request id, over all
// their processes. The zero value is empty.
type BackEnds struct {
	// runs of each attempt by process.
	runs map[string]map[string]int
	// Late counts requests that leaving engines got after their grace.
	Late int
}

// Record takes the counts of one process of a back end. Counts of a process
// never fall, so that the last reading holds all.
func (backEnds *BackEnds) Record(process string, runs map[string]int) {
	if backEnds.runs == nil {
		backEnds.runs = make(map[string]map[string]int)
	}
	backEnds.runs[process] = runs
}

// Runs returns how often each call ran, its attempts together.
func (backEnds *BackEnds) Runs() map[string]int {
	total := make(map[string]int)
	for _, runs := range backEnds.runs {
		for name, count := range runs {
			total[withoutAttempt(name)] += count
		}
	}
	return total
}

// RunsOf returns what one process ran.
func (backEnds *BackEnds) RunsOf(process string) map[string]int { return backEnds.runs[process] }

// Leaving is a back end that was told to leave.
type Leaving struct {
	BackEnd string
	At      time.Duration
	// Before holds what it had run when its time to stop taking work was over.
	Before map[string]int
	// After holds what it had run at the end.
	After map[string]int
}

// HeldMemory is engine memory held for a program that is gone.
type HeldMemory struct {
	Engine  string
	Program string
	Blocks  int
}
