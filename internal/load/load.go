// Package load holds the load of all nodes together: requests at each engine, calls queued for
// engines, and running programs. Each node reports its own load to an aggregator node, which
// answers with the total; that is the node's view. The view is some hundred milliseconds old, and
// only a hint: guarantees such as budgets and at-most-once execution never depend on it.
package load

import (
	"sync"
	"time"
)

// Engine is the load of one engine.
type Engine struct {
	// Running is the number of requests in flight, AwaitingFirstByte the number of those
	// without a byte of the response.
	Running           int
	AwaitingFirstByte int
	// Succeeded and Failed are decaying counts of requests that recently succeeded, or failed
	// because of the engine. In a view, Succeeded is 0 at engines without failures, where it is
	// not transmitted.
	Succeeded float64
	Failed    float64
}

func (engine Engine) add(other Engine) Engine {
	return Engine{
		Running:           engine.Running + other.Running,
		AwaitingFirstByte: engine.AwaitingFirstByte + other.AwaitingFirstByte,
		Succeeded:         engine.Succeeded + other.Succeeded,
		Failed:            engine.Failed + other.Failed,
	}
}

// subtract removes the load of one node from a total that includes it.
func (engine Engine) subtract(other Engine) Engine {
	return Engine{
		Running:           max(engine.Running-other.Running, 0),
		AwaitingFirstByte: max(engine.AwaitingFirstByte-other.AwaitingFirstByte, 0),
		Succeeded:         max(engine.Succeeded-other.Succeeded, 0),
		Failed:            max(engine.Failed-other.Failed, 0),
	}
}

// QueueKey identifies the calls of one priority that are queued for a service; priority 0 is
// the most urgent.
type QueueKey struct {
	Service  string
	Priority int
}

// Route is the load of a route's programs, as reported by their owners.
type Route struct {
	Service  string
	Priority int
	// Programs is the number of running programs, Turns the number of their turns in flight.
	Programs int
	Turns    int
	// ProgramsStarted, Refused and Late are decaying counts of programs that recently started,
	// were refused for lack of capacity, or passed their soft deadline.
	ProgramsStarted float64
	Refused         float64
	Late            float64
	// PromptTokens is the total length of the running programs' prompts.
	PromptTokens int64
}

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

// TenantPriority identifies a tenant's programs of one priority.
type TenantPriority struct {
	Tenant   string
	Priority int
}

// Report is the load of one or more nodes.
type Report struct {
	Engines map[string]Engine
	// Waiting is the number of calls queued at nodes for an engine.
	Waiting map[QueueKey]int
	Routes  map[string]Route
	// Tenants is the number of running programs of each tenant.
	Tenants map[TenantPriority]int
}

// NewReport returns an empty report.
func NewReport() Report {
	return Report{Engines: map[string]Engine{}, Waiting: map[QueueKey]int{}, Routes: map[string]Route{}, Tenants: map[TenantPriority]int{}}
}

// Add adds another report to this one.
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
	for key, programs := range other.Tenants {
		report.Tenants[key] += programs
	}
}

// MaxViewAge is the age up to which a view is valid. An older one misses too many of the programs
// that have started since.
const MaxViewAge = time.Second

// View is a node's view of the load of all nodes. It is safe for concurrent use.
type View struct {
	mutex sync.RWMutex
	total Report
	own   Report
	// asOf is the time that the view shows, zero if there is no view.
	asOf time.Time
}

// NewView returns a view without data.
func NewView() *View { return &View{total: NewReport(), own: NewReport()} }

// Update sets the total over all nodes, which has the given age, and this node's own load
// within it.
func (view *View) Update(total, own Report, age time.Duration, now time.Time) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	view.total = total
	view.own = own
	view.asOf = now.Add(-age)
}

// RemoteEngine returns the load that other nodes put on an engine, and false if the view is not
// valid.
func (view *View) RemoteEngine(engine string, now time.Time) (Engine, bool) {
	view.mutex.RLock()
	defer view.mutex.RUnlock()
	if !view.fresh(now) {
		return Engine{}, false
	}
	return view.total.Engines[engine].subtract(view.own.Engines[engine]), true
}

// Total returns the total over all nodes, and false if the view is not valid. The caller must
// not modify it.
func (view *View) Total(now time.Time) (Report, bool) {
	view.mutex.RLock()
	defer view.mutex.RUnlock()
	return view.total, view.fresh(now)
}

// Age returns the age of the view, and false if there is none.
func (view *View) Age(now time.Time) (time.Duration, bool) {
	view.mutex.RLock()
	defer view.mutex.RUnlock()
	return now.Sub(view.asOf), !view.asOf.IsZero()
}

// fresh reports whether the view is valid. The caller holds the mutex.
func (view *View) fresh(now time.Time) bool {
	return !view.asOf.IsZero() && now.Sub(view.asOf) <= MaxViewAge
}
