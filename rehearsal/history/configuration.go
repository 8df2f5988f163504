package history

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// ForceBound is the time within which an accepted configuration is in force on
// every live process.
const ForceBound = 10 * time.Second

// Publish is one change as its operator saw it.
type Publish struct {
	ChangeID string
	Base     uint64
	// Version is the version accepted; 0 for none.
	Version uint64
	// Code is the result code of a refusal, 0 for none. An operator that gave
	// up without an answer has OutcomeUnknown.
	Code     resultcode.Code
	Returned time.Duration
}

// VersionSample is the version that one process had in force at a time.
type VersionSample struct {
	At      time.Duration
	Process string
	Version uint64
}

// Disturbance is a time in which a process was down or frozen.
type Disturbance struct {
	Process string
	From    time.Duration
	Until   time.Duration
}

// Configuration holds accepted changes to be in force on every live process
// within ForceBound, never to revert, and to be one for each version.
func Configuration(run *Run) Result {
	violations := winnerViolations(run.Publishes)
	violations = append(violations, revertViolations(run.Samples)...)
	violations = append(violations, run.forceViolations()...)
	accepted, conflicts, open := 0, 0, 0
	for _, publish := range run.Publishes {
		switch {
		case publish.Version > 0:
			accepted++
		case publish.Code == resultcode.VersionConflict:
			conflicts++
		default:
			open++
		}
	}
	return newResult(CheckConfiguration, accepted, violations, "%d changes accepted, %d lost their race, %d with another answer; %d samples",
		accepted, conflicts, open, len(run.Samples))
}

// winnerViolations holds every version to one change at most.
func winnerViolations(publishes []Publish) []string {
	var violations []string
	winners := make(map[uint64]string)
	for _, publish := range publishes {
		if publish.Version == 0 {
			continue
		}
		if other, taken := winners[publish.Version]; taken && other != publish.ChangeID {
			violations = append(violations, fmt.Sprintf("version %d was won by %s and by %s", publish.Version, other, publish.ChangeID))
		}
		winners[publish.Version] = publish.ChangeID
		if publish.Version <= publish.Base {
			violations = append(violations, fmt.Sprintf("%s on version %d was accepted as %d", publish.ChangeID, publish.Base, publish.Version))
		}
	}
	return violations
}

// revertViolations holds the versions that a process had in force to rise only.
// Version 0 is a process that has none yet and takes no work.
func revertViolations(samples []VersionSample) []string {
	var violations []string
	highest := make(map[string]uint64)
	for _, sample := range samples {
		if sample.Version == 0 {
			continue
		}
		if sample.Version < highest[sample.Process] {
			violations = append(violations, fmt.Sprintf("%s went from version %d back to %d at %s",
				sample.Process, highest[sample.Process], sample.Version, sample.At))
		}
		highest[sample.Process] = max(highest[sample.Process], sample.Version)
	}
	return violations
}

// forceViolations holds live processes to the changes accepted before the bound.
func (run *Run) forceViolations() []string {
	var violations []string
	for _, sample := range run.Samples {
		due := sample.At - ForceBound
		if run.disturbed(sample.Process, due, sample.At) {
			continue
		}
		for _, publish := range run.Publishes {
			if publish.Version > sample.Version && publish.Returned < due {
				violations = append(violations, fmt.Sprintf("%s has version %d at %s, %d was accepted at %s",
					sample.Process, sample.Version, sample.At, publish.Version, publish.Returned))
			}
		}
	}
	return violations
}

func (run *Run) disturbed(process string, from, until time.Duration) bool {
	for _, disturbance := range run.Disturbed {
		if disturbance.Process == process && disturbance.From < until && disturbance.Until > from {
			return true
		}
	}
	return false
}
