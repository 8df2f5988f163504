package engine

import (
	"time"

	"github.com/magpielug/magpielug/internal/outside/wire"
)

// cacheChanges numbers the changes of programs' cache blocks, so that a report can be
// limited to the changes after a number.
type cacheChanges struct {
	// base is the number before the first change. It is taken from the clock, so that
	// numbers keep rising across restarts of an engine.
	base   uint64
	latest uint64
	// lastChange maps a program to the number of its last change.
	lastChange map[string]uint64
}

func newCacheChanges() cacheChanges {
	start := uint64(time.Now().UnixMicro())
	return cacheChanges{base: start, latest: start, lastChange: make(map[string]uint64)}
}

// record compares two samples and returns the latest number. All programs that differ get
// the same number.
func (changes *cacheChanges) record(previous, current map[string]int) uint64 {
	next := changes.latest + 1
	for program, blocks := range current {
		if previous[program] != blocks {
			changes.lastChange[program] = next
			changes.latest = next
		}
	}
	for program := range previous {
		if _, present := current[program]; !present {
			changes.lastChange[program] = next
			changes.latest = next
		}
	}
	changes.resetIfFull(next)
	return changes.latest
}

// resetIfFull bounds lastChange. After a reset, older numbers get a full report.
func (changes *cacheChanges) resetIfFull(next uint64) {
	if len(changes.lastChange) > maxRetainedEvents {
		clear(changes.lastChange)
		changes.base = next
		changes.latest = next
	}
}

// deltaSince limits a report to the programs that changed after a number. An unknown or
// too old number gets the full report.
func (changes *cacheChanges) deltaSince(report wire.LoadReport, after uint64) wire.LoadReport {
	if after < changes.base || after > report.Sequence || after == 0 {
		return report
	}
	changed := make(map[string]int)
	for program, number := range changes.lastChange {
		if number > after {
			changed[program] = report.ProgramBlocks[program]
		}
	}
	report.ProgramBlocks = changed
	report.Since = after
	return report
}
