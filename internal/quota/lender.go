package quota

import "time"

// Lessor is a node's side for one group of tenants: to whom it lends its share. It is
// not safe for concurrent use.
type Lessor struct {
	// keeper has the share, or is to get it with the first ask that names its clock.
	keeper string
	// clock is the keeper's newest moment heard, zero where none was; heard is when.
	clock CoordinatorTime
	heard time.Time
	// since is from when on the share was lent to no other keeper.
	since time.Time
	// until is when no keeper counts the share any more.
	until time.Time
}

// Coordinator returns who has the share or is to get it, empty where nobody is.
func (lender *Lessor) Coordinator() string { return lender.keeper }

// Target returns whom to ask, and the moment from which on the share is lent by that ask.
// wanted is the keeper that the node would choose now, sound tells whether the present one
// answers. A share that a former keeper may still count is not lent to another one.
func (lender *Lessor) Target(wanted string, sound bool, now time.Time) (keeper string, lent CoordinatorTime) {
	if lender.keeper != wanted && !now.Before(lender.until) {
		lender.keeper = wanted
		lender.clock = CoordinatorTime{}
		lender.since = time.Time{}
	}
	switch {
	case lender.keeper == wanted && lender.clock != CoordinatorTime{}:
		if lender.since.IsZero() {
			lender.since = now
		}
		// The clock was read before it was heard.
		lender.until = lender.heard.Add(LeaseDuration)
		return wanted, lender.clock
	case lender.keeper != wanted && sound:
		return lender.keeper, CoordinatorTime{}
	}
	return wanted, CoordinatorTime{}
}

// LeasedFor is for how long the share was lent to no other keeper than the present one.
func (lender *Lessor) LeasedFor(now time.Time) time.Duration {
	if lender.since.IsZero() {
		return 0
	}
	return now.Sub(lender.since)
}

// ObserveCoordinator notes a keeper's clock.
func (lender *Lessor) ObserveCoordinator(keeper string, clock CoordinatorTime, now time.Time) {
	if keeper != lender.keeper {
		return
	}
	if clock.Incarnation == lender.clock.Incarnation && clock.Elapsed <= lender.clock.Elapsed {
		return
	}
	lender.clock = clock
	lender.heard = now
}
