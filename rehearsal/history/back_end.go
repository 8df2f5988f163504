package history

import "time"

// BackEnds counts the runs of all stand-in back-end processes by request ID. The
// zero value is empty.
type BackEnds struct {
	// runsByProcess counts each process's runs of each attempt.
	runsByProcess map[string]map[string]int
	// LateRequests is the number of requests that draining engines received after their
	// grace period.
	LateRequests int
}

// RecordRuns replaces the counts of a process. They are cumulative, so that the last
// ones are complete.
func (backEnds *BackEnds) RecordRuns(process string, runs map[string]int) {
	if backEnds.runsByProcess == nil {
		backEnds.runsByProcess = make(map[string]map[string]int)
	}
	backEnds.runsByProcess[process] = runs
}

// Runs returns the number of runs of each call over all its attempts.
func (backEnds *BackEnds) Runs() map[string]int {
	total := make(map[string]int)
	for _, runs := range backEnds.runsByProcess {
		for name, count := range runs {
			total[trimAttempt(name)] += count
		}
	}
	return total
}

// RunsOf returns the last counts recorded for a process.
func (backEnds *BackEnds) RunsOf(process string) map[string]int {
	return backEnds.runsByProcess[process]
}

// Drain is the drain of a back end, requested at At.
type Drain struct {
	BackEnd string
	At      time.Duration
	// RunsBefore holds the run counts at the time from which it must receive no new
	// requests.
	RunsBefore map[string]int
	// RunsAfter holds the run counts at the end of the run.
	RunsAfter map[string]int
}

// HeldMemory is engine memory that was not released when its program ended.
type HeldMemory struct {
	Engine  string
	Program string
	Blocks  int
}
