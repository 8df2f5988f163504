package admission

import (
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

// askedSpan is over how long an owner counts the programs that ask it. What the load report
// tells of a flood is some 0.8 s old, by its mean and by the view's age; programs that live
// for a second fill half of the slots in that time.
const askedSpan = 400 * time.Millisecond

// asked is one program's ask at this owner.
type asked struct {
	route   string
	service string
	at      time.Time
}

// noteAsk counts a program that asks to begin, admitted or not.
func (known *learned) noteAsk(order Request, now time.Time) {
	known.expireAsked(now)
	known.asked = append(known.asked, asked{route: order.Route, service: order.Service, at: now})
}

// expireAsked forgets what was asked for too long ago.
func (known *learned) expireAsked(now time.Time) {
	first := 0
	for first < len(known.asked) && now.Sub(known.asked[first].at) > askedSpan {
		first++
	}
	known.asked = known.asked[first:]
}

// growth is how much of a resource programs ask for in a second beyond what ends, as a part
// of it: by what all owners have told, or by what this one sees now where that is more.
func (known *learned) growth(shared *resource, state *State) float64 {
	told := known.rate(shared, state, func(route load.Route) float64 { return route.ProgramsStarted + route.Refused })
	own := 0.0
	for _, each := range known.asked {
		own += known.need(shared, each.route, each.service)
	}
	if state.OwnerShare > 0 {
		told = max(told, own/askedSpan.Seconds()/state.OwnerShare)
	}
	return (told - shared.ends) / shared.capacity
}
