package quota

import "time"

// Lender is a node's side for one group of tenants: to whom it lends its share. It is
// not safe for concurrent use.
type Lender struct {
	// keeper has the share, or is to get it with the first ask that names its clock.
	keeper string
	// clock is the keeper's newest moment heard; zero where none was.
	clock Clock
	// until is when no keeper counts the share any more.
	until time.Time
}

// Keeper returns who has the share or is to get it, empty where nobody is.
func (lender *Lender) Keeper() string { return lender.keeper }

// Target returns whom to ask, and the moment from which on the share is lent. wanted is
// the keeper that the node would choose now, sound tells whether the present one answers.
// A share that a former keeper may still count is not lent to another one.
func (lender *Lender) Target(wanted string, sound bool, now time.Time) (keeper string, lent Clock) {
	if lender.keeper == wanted {
		return wanted, lender.clock
	}
	if !now.Before(lender.until) {
		lender.keeper = wanted
		lender.clock = Clock{}
		return wanted, Clock{}
	}
	if sound {
		return lender.keeper, Clock{}
	}
	return wanted, Clock{}
}

// Heard notes a keeper's clock. An ask that names it lends the share until LentFor after
// it, and it was read before it is heard.
func (lender *Lender) Heard(keeper string, clock Clock, now time.Time) {
	if keeper != lender.keeper {
		return
	}
	if clock.Incarnation == lender.clock.Incarnation && clock.Since <= lender.clock.Since {
		return
	}
	lender.clock = clock
	lender.until = now.Add(LentFor)
}
