package quota

import "time"

// Lessor decides to which coordinator one node leases its share of the limits of one group of
// tenants. It is not safe for concurrent use.
type Lessor struct {
	// coordinator holds the lease, or will hold it once its clock has been observed.
	coordinator string
	// clock is the coordinator's latest time, observed at observedAt; zero if there is none.
	clock      CoordinatorTime
	observedAt time.Time
	// exclusiveSince is the time since which the share was leased to no other coordinator.
	exclusiveSince time.Time
	// leaseEnd is when the share has expired at every coordinator.
	leaseEnd time.Time
}

// Coordinator returns the holder of the lease, or the one that will get it; empty if there is
// none.
func (lessor *Lessor) Coordinator() string { return lessor.coordinator }

// Target returns the coordinator to send a request to, and the time from which that request
// leases the share. wanted is the coordinator that the node would choose now, healthy reports
// whether the present one responds. The share is not leased to another coordinator while the
// lease of a former one may be valid.
func (lessor *Lessor) Target(wanted string, healthy bool, now time.Time) (coordinator string, leaseStart CoordinatorTime) {
	if lessor.coordinator != wanted && !now.Before(lessor.leaseEnd) {
		lessor.coordinator = wanted
		lessor.clock = CoordinatorTime{}
		lessor.exclusiveSince = time.Time{}
	}
	switch {
	case lessor.coordinator == wanted && lessor.clock != CoordinatorTime{}:
		if lessor.exclusiveSince.IsZero() {
			lessor.exclusiveSince = now
		}
		// The clock was read before it was observed.
		lessor.leaseEnd = lessor.observedAt.Add(LeaseDuration)
		return wanted, lessor.clock
	case lessor.coordinator != wanted && healthy:
		return lessor.coordinator, CoordinatorTime{}
	}
	return wanted, CoordinatorTime{}
}

// LeasedFor returns how long the share was leased to no other than the present coordinator.
func (lessor *Lessor) LeasedFor(now time.Time) time.Duration {
	if lessor.exclusiveSince.IsZero() {
		return 0
	}
	return now.Sub(lessor.exclusiveSince)
}

// ObserveCoordinator records a time of a coordinator's clock.
func (lessor *Lessor) ObserveCoordinator(coordinator string, clock CoordinatorTime, now time.Time) {
	if coordinator != lessor.coordinator {
		return
	}
	if clock.Incarnation == lessor.clock.Incarnation && clock.Elapsed <= lessor.clock.Elapsed {
		return
	}
	lessor.clock = clock
	lessor.observedAt = now
}
