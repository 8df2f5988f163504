package history

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// ActivationTimeout is the time within which an accepted configuration must be active on
// every live process.
const ActivationTimeout = 10 * time.Second

// Publish is a configuration change as its operator saw it.
type Publish struct {
	ChangeID string
	Base     uint64
	// Version is the accepted version; 0 if the change was not accepted.
	Version uint64
	// Code is the result code of a rejection, or 0. It is OutcomeUnknown if the
	// operator gave up without a response.
	Code     resultcode.Code
	Returned time.Duration
}

// VersionSample is the active configuration version of a process at a time.
type VersionSample struct {
	At      time.Duration
	Process string
	Version uint64
}

// Outage is a period in which a process was down or frozen.
type Outage struct {
	Process string
	From    time.Duration
	Until   time.Duration
}

// Configuration checks that accepted changes become active on every live process in
// time, that no process reverts to an older version, and that no version is assigned
// to two changes.
func Configuration(run *Run) Result {
	violations := versionViolations(run.Publishes)
	violations = append(violations, revertViolations(run.Samples)...)
	violations = append(violations, run.activationViolations()...)
	accepted, conflicts, other := 0, 0, 0
	for _, publish := range run.Publishes {
		switch {
		case publish.Version > 0:
			accepted++
		case publish.Code == resultcode.VersionConflict:
			conflicts++
		default:
			other++
		}
	}
	return newResult(CheckConfiguration, accepted, violations, "%d changes accepted, %d version conflicts, %d with another result; %d samples",
		accepted, conflicts, other, len(run.Samples))
}

// versionViolations reports versions assigned to two changes, and versions not
// above their base.
func versionViolations(publishes []Publish) []string {
	var violations []string
	winners := make(map[uint64]string)
	for _, publish := range publishes {
		if publish.Version == 0 {
			continue
		}
		if other, taken := winners[publish.Version]; taken && other != publish.ChangeID {
			violations = append(violations, fmt.Sprintf("version %d was assigned to both %s and %s", publish.Version, other, publish.ChangeID))
		}
		winners[publish.Version] = publish.ChangeID
		if publish.Version <= publish.Base {
			violations = append(violations, fmt.Sprintf("%s, based on version %d, was accepted as version %d", publish.ChangeID, publish.Base, publish.Version))
		}
	}
	return violations
}

// revertViolations reports processes whose active version decreased. Version 0
// stands for a process that has no configuration yet and accepts no requests.
func revertViolations(samples []VersionSample) []string {
	var violations []string
	highest := make(map[string]uint64)
	for _, sample := range samples {
		if sample.Version == 0 {
			continue
		}
		if sample.Version < highest[sample.Process] {
			violations = append(violations, fmt.Sprintf("%s reverted from version %d to %d at %s",
				sample.Process, highest[sample.Process], sample.Version, sample.At))
		}
		highest[sample.Process] = max(highest[sample.Process], sample.Version)
	}
	return violations
}

// activationViolations reports processes on which an accepted change was not active
// in time. Processes with an outage in that time are exempt.
func (run *Run) activationViolations() []string {
	var violations []string
	for _, sample := range run.Samples {
		due := sample.At - ActivationTimeout
		if run.hadOutage(sample.Process, due, sample.At) {
			continue
		}
		for _, publish := range run.Publishes {
			if publish.Version > sample.Version && publish.Returned < due {
				violations = append(violations, fmt.Sprintf("%s has version %d active at %s, version %d was accepted at %s",
					sample.Process, sample.Version, sample.At, publish.Version, publish.Returned))
			}
		}
	}
	return violations
}

func (run *Run) hadOutage(process string, from, until time.Duration) bool {
	for _, disturbance := range run.Outages {
		if disturbance.Process == process && disturbance.From < until && disturbance.Until > from {
			return true
		}
	}
	return false
}
