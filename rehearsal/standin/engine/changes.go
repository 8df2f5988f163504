package engine

import (
	"time"

	"github.com/magpielug/magpielug/internal/outside/wire"
)

// cacheChanges numbers the changes of programs' blocks, so that a report can
// name only those after a number.
type cacheChanges struct {
	// begun is the number before the first change; those of a later start of an
	// engine are above those of an earlier one.
	begun  uint64
	newest uint64
	// changedIn holds the number of the last change of each program.
	changedIn map[string]uint64
}

func newCacheChanges() cacheChanges {
	begun := uint64(time.Now().UnixMicro())
	return cacheChanges{begun: begun, newest: begun, changedIn: make(map[string]uint64)}
}

// note numbers the difference between two samples and returns the newest number.
// All programs that differ get the same one.
func (changes *cacheChanges) note(before, now map[string]int) uint64 {
	next := changes.newest + 1
	for program, blocks := range now {
		if before[program] != blocks {
			changes.changedIn[program] = next
			changes.newest = next
		}
	}
	for program := range before {
		if _, held := now[program]; !held {
			changes.changedIn[program] = next
			changes.newest = next
		}
	}
	changes.bound(next)
	return changes.newest
}

// bound starts anew once too many programs have come and gone; askers then get
// one whole map.
func (changes *cacheChanges) bound(next uint64) {
	if len(changes.changedIn) > keptEvents {
		clear(changes.changedIn)
		changes.begun = next
		changes.newest = next
	}
}

// since leaves out of a report what has not changed after a number. A number
// that this start has not given, or is too old, gets the whole report.
func (changes *cacheChanges) since(report wire.LoadReport, after uint64) wire.LoadReport {
	if after < changes.begun || after > report.Sequence || after == 0 {
		return report
	}
	changed := make(map[string]int)
	for program, number := range changes.changedIn {
		if number > after {
			changed[program] = report.ProgramBlocks[program]
		}
	}
	report.ProgramBlocks = changed
	report.Since = after
	return report
}
