// Package load tells what all nodes together have under way: at each engine, waiting for
// engines, and in programs. Each node reports its own part to a node that gathers; what it
// hears back is its view. The view is a hint, some hundred milliseconds old. What must
// hold, such as budgets and running at most once, never depends on it.
package load

import (
	"sync"
	"time"
)

// Engine is what is under way at one engine.
type Engine struct {
	// Running is the number of requests sent that have not ended, Silent that of those
	// without a byte of an answer.
	Running           int
	AwaitingFirstByte int
	// Succeeded and Failed count requests that ended well, and badly by the engine's own
	// doing, in the last seconds, older ones for less. In a view Succeeded is 0 at engines
	// without failures, where it would be sent for nothing.
	Succeeded float64
	Failed    float64
}

// add sums two parts.
func (engine Engine) add(other Engine) Engine {
	return Engine{
		Running:           engine.Running + other.Running,
		AwaitingFirstByte: engine.AwaitingFirstByte + other.AwaitingFirstByte,
		Succeeded:         engine.Succeeded + other.Succeeded,
		Failed:            engine.Failed + other.Failed,
	}
}

// without takes a part out of a sum that holds it.
func (engine Engine) without(part Engine) Engine {
	return Engine{
		Running:           max(engine.Running-part.Running, 0),
		AwaitingFirstByte: max(engine.AwaitingFirstByte-part.AwaitingFirstByte, 0),
		Succeeded:         max(engine.Succeeded-part.Succeeded, 0),
		Failed:            max(engine.Failed-part.Failed, 0),
	}
}

// QueueKey names the calls of one rank that wait for an engine of a service; rank 0 is the
// most urgent.
type QueueKey struct {
	Service  string
	Priority int
}

// Route is what the programs of a route have under way, as their owners know it.
type Route struct {
	Service  string
	Priority int
	// Programs have begun and are not over; Turns is the number of their turns under way.
	Programs int
	Turns    int
	// ProgramsStarted, Refused and Late count programs that began, that were refused for want of
	// room, and that passed their aim, in the last seconds, older ones for less.
	ProgramsStarted float64
	Refused         float64
	Late            float64
	// PromptTokens is the length of the prompts of the programs under way.
	PromptTokens int64
}

// add sums two parts.
func (route Route) add(other Route) Route {
	return Route{
		Service:         other.Service,
		Priority:        other.Priority,
		Programs:        route.Programs + other.Programs,
		Turns:           route.Turns + other.Turns,
		ProgramsStarted: route.ProgramsStarted + other.ProgramsStarted,
		Refused:         route.Refused + other.Refused,
		Late:            route.Late + other.Late,
		PromptTokens:    route.PromptTokens + other.PromptTokens,
	}
}

// TenantPriority is a tenant's programs of one rank.
type TenantPriority struct {
	Tenant   string
	Priority int
}

// Report is what one or several nodes have under way.
type Report struct {
	Engines map[string]Engine
	// Waiting counts calls that wait at nodes for an engine.
	Waiting map[QueueKey]int
	Routes  map[string]Route
	// Tenants counts the programs under way of each tenant.
	Tenants map[TenantPriority]int
}

// NewReport returns an empty report.
func NewReport() Report {
	return Report{Engines: map[string]Engine{}, Waiting: map[QueueKey]int{}, Routes: map[string]Route{}, Tenants: map[TenantPriority]int{}}
}

// Add sums another report into this one.
func (report Report) Add(other Report) {
	for id, engine := range other.Engines {
		report.Engines[id] = report.Engines[id].add(engine)
	}
	for queue, calls := range other.Waiting {
		report.Waiting[queue] += calls
	}
	for name, route := range other.Routes {
		report.Routes[name] = report.Routes[name].add(route)
	}
	for holder, programs := range other.Tenants {
		report.Tenants[holder] += programs
	}
}

// MaxViewAge is how old a view may be to count. Reports go out some times a second; after a
// second the programs that began since outweigh what is known.
const MaxViewAge = time.Second

// View is what a node knows of the load over all nodes. It is safe for concurrent use.
type View struct {
	mutex sync.RWMutex
	total Report
	own   Report
	// from is the moment that the view shows, zero where there is none.
	from time.Time
}

// NewView returns a view that knows nothing.
func NewView() *View { return &View{total: NewReport(), own: NewReport()} }

// Update takes in the sum over all nodes, of an age, with this node's own part in it.
func (view *View) Update(total, own Report, age time.Duration, now time.Time) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.total = total
	view.own = own
	view.from = now.Add(-age)
}

// RemoteEngine returns what the other nodes have at an engine, false where that is not known.
func (view *View) RemoteEngine(engine string, now time.Time) (Engine, bool) {
	view.mutex.RLock()
	defer view.mutex.RUnlock()
	if !view.fresh(now) {
		return Engine{}, false
	}
	return view.total.Engines[engine].without(view.own.Engines[engine]), true
}

// Total returns the sum over all nodes, false where it is not known. The caller must not
// change it.
func (view *View) Total(now time.Time) (Report, bool) {
	view.mutex.RLock()
	defer view.mutex.RUnlock()
	return view.total, view.fresh(now)
}

// Age is the age of the view, false where there is none.
func (view *View) Age(now time.Time) (time.Duration, bool) {
	view.mutex.RLock()
	defer view.mutex.RUnlock()
	return now.Sub(view.from), !view.from.IsZero()
}

// fresh tells whether the view counts. The caller holds the mutex.
func (view *View) fresh(now time.Time) bool {
	return !view.from.IsZero() && now.Sub(view.from) <= MaxViewAge
}
