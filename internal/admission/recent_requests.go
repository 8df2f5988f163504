package admission

import (
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

// requestWindow is the time over which an owner counts the programs that request admission. It
// detects a burst before load reports show it: DecayTimeConstant and the age of the view delay
// them by some 0.8 s, nearly the lifetime of the shortest programs.
const requestWindow = 400 * time.Millisecond

// recentRequest is one program's request for admission at this owner.
type recentRequest struct {
	route   string
	service string
	at      time.Time
}

// recordRequest counts a program that requests admission, admitted or not.
func (estimator *estimator) recordRequest(request Request, now time.Time) {
	estimator.expireRequests(now)
	estimator.recentRequests = append(estimator.recentRequests, recentRequest{route: request.Route, service: request.Service, at: now})
}

// expireRequests drops requests older than requestWindow.
func (estimator *estimator) expireRequests(now time.Time) {
	first := 0
	for first < len(estimator.recentRequests) && now.Sub(estimator.recentRequests[first].at) > requestWindow {
		first++
	}
	estimator.recentRequests = estimator.recentRequests[first:]
}

// demandGrowth returns the rate at which requested demand exceeds released demand, per second
// and as a fraction of the capacity. It uses the larger of the reported rate and the one
// observed locally.
func (estimator *estimator) demandGrowth(resource *resource, state *State) float64 {
	reported := estimator.demandRate(resource, state, func(route load.Route) float64 { return route.ProgramsStarted + route.Refused })
	local := 0.0
	for _, recent := range estimator.recentRequests {
		local += estimator.programDemand(resource, recent.route, recent.service)
	}
	if state.OwnerShare > 0 {
		reported = max(reported, local/requestWindow.Seconds()/state.OwnerShare)
	}
	return (reported - resource.releaseRate) / resource.capacity
}
