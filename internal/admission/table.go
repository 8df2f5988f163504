package admission

import (
	"maps"
	"time"

	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/tenant"
)

const (
	// programRetention is how long after its last turn a program still counts as started. It
	// equals the retention of engine assignments.
	programRetention = time.Minute
	// defaultPause is assumed for the pause between two turns until pauses were observed.
	// Programs that call tools between turns pause for some tenths of a second.
	defaultPause = 150 * time.Millisecond
	// pauseWeight is the weight of the latest pause in the moving average.
	pauseWeight = 0.05
	// A program counts as finished after idlePauses times the average pause without a turn, and
	// as running again from its next turn.
	idlePauses = 3
	// minIdleTimeout and maxIdleTimeout bound the idle timeout. Counting finished programs for
	// long would hide how many have started recently.
	minIdleTimeout = 250 * time.Millisecond
	maxIdleTimeout = 2 * time.Second
	// turnEndGrace is how long after a turn's expiry its end may still be reported.
	turnEndGrace = time.Second
)

// Turn is a turn for which tokens were reserved.
type Turn struct {
	Program tenant.Program
	// RequestID is the key of its reservation.
	RequestID string
	Session   string
	Route     string
	Service   string
	Priority  int
	// PromptTokens is the length of its prompt in tokens.
	PromptTokens int64
	// ExpiresAt is when the turn counts as ended if its end is not reported.
	ExpiresAt time.Time
	// SoftDeadline is when the program should finish, zero if it has none.
	SoftDeadline time.Time
	// FirstTurn is true for a program's first turn.
	FirstTurn bool
}

// startedProgram is a program that has started.
type startedProgram struct {
	route  string
	tenant load.TenantPriority
	// mainSession is the program's first session, sessions are all of them.
	mainSession string
	sessions    map[string]*programSession
	// openTurns are the turns in flight, by reservation.
	openTurns map[string]openTurn
	// lastActivity is when a turn last started or ended.
	lastActivity time.Time
	softDeadline time.Time
	// late is true once the program had a turn in flight after its soft deadline. refusedBefore
	// is true if it was refused before it started; it is then not counted as late, since the
	// refusal cost it part of its time.
	late          bool
	refusedBefore bool
}

// programSession is a conversation of a program or of one of its sub-agents.
type programSession struct {
	// promptTokens is the length of its latest prompt.
	promptTokens int64
	// openTurns is the number of its turns in flight, lastActivity when a turn last started or
	// ended.
	openTurns    int
	lastActivity time.Time
}

// openTurn is a turn in flight.
type openTurn struct {
	session   string
	expiresAt time.Time
}

// promptTokens returns the engine memory that a program's prompts use: the prompt of the main
// session, and what each sub-agent's session adds to it, since their prompts share a prefix. A
// sub-agent's session that is idle for longer than idleTimeout is dropped.
func (program *startedProgram) promptTokens(idleTimeout time.Duration, now time.Time) int64 {
	var mainTokens int64
	if main := program.sessions[program.mainSession]; main != nil {
		mainTokens = main.promptTokens
	}
	total := mainTokens
	for id, session := range program.sessions {
		switch {
		case id == program.mainSession:
		case session.openTurns == 0 && now.Sub(session.lastActivity) > idleTimeout:
			delete(program.sessions, id)
		default:
			total += max(session.promptTokens-mainTokens, 0)
		}
	}
	return total
}

func (program *startedProgram) startTurn(turn Turn, now time.Time) {
	if _, repeated := program.openTurns[turn.RequestID]; !repeated {
		session := program.sessions[turn.Session]
		if session == nil {
			session = &programSession{}
			program.sessions[turn.Session] = session
		}
		session.openTurns++
		session.promptTokens = turn.PromptTokens
		session.lastActivity = now
	}
	program.openTurns[turn.RequestID] = openTurn{session: turn.Session, expiresAt: turn.ExpiresAt.Add(turnEndGrace)}
}

func (program *startedProgram) endTurn(requestID string, now time.Time) {
	turn := program.openTurns[requestID]
	delete(program.openTurns, requestID)
	if session := program.sessions[turn.session]; session != nil {
		session.openTurns--
		session.lastActivity = now
	}
}

// routeStats holds the counts of a route.
type routeStats struct {
	service  string
	priority int
	started  decayingCount
	refused  decayingCount
	late     decayingCount
	// averagePause is the moving average of the pause between two turns.
	averagePause time.Duration
}

// idleTimeout returns how long a program of the route may pause before it counts as finished.
func (stats *routeStats) idleTimeout() time.Duration {
	return min(max(idlePauses*stats.averagePause, minIdleTimeout), maxIdleTimeout)
}

// minCount is the decaying count below which there are no recent events.
const minCount = 0.01

// idle reports whether the route has no recent events.
func (stats *routeStats) idle(now time.Time) bool {
	return stats.started.valueAt(now)+stats.refused.valueAt(now)+stats.late.valueAt(now) < minCount
}

// Table holds the programs of an owner's shards. It is not safe for concurrent use.
type Table struct {
	programs map[tenant.Program]*startedProgram
	routes   map[string]*routeStats
	// refused holds the time of the last refusal of programs that have not started.
	refused map[tenant.Program]time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{programs: map[tenant.Program]*startedProgram{}, routes: map[string]*routeStats{}, refused: map[tenant.Program]time.Time{}}
}

// HasStarted reports whether a program has started.
func (table *Table) HasStarted(program tenant.Program) bool { return table.programs[program] != nil }

func (table *Table) statsFor(name, service string, priority int) *routeStats {
	stats := table.routes[name]
	if stats == nil {
		stats = &routeStats{averagePause: defaultPause}
		table.routes[name] = stats
	}
	stats.service = service
	stats.priority = priority
	return stats
}

// RecordTurnStart records the start of a turn.
func (table *Table) RecordTurnStart(turn Turn, now time.Time) {
	name := RouteName(turn.Route, turn.Service, turn.Priority)
	stats := table.statsFor(name, turn.Service, turn.Priority)
	program := table.programs[turn.Program]
	if program == nil {
		program = &startedProgram{mainSession: turn.Session, sessions: map[string]*programSession{}, openTurns: map[string]openTurn{}}
		_, program.refusedBefore = table.refused[turn.Program]
		delete(table.refused, turn.Program)
		table.programs[turn.Program] = program
	} else if len(program.openTurns) == 0 {
		stats.recordPause(now.Sub(program.lastActivity))
	}
	if turn.FirstTurn {
		stats.started.add(1, now)
	}
	program.route = name
	program.tenant = load.TenantPriority{Tenant: turn.Program.Tenant, Priority: turn.Priority}
	program.startTurn(turn, now)
	program.lastActivity = now
	program.softDeadline = turn.SoftDeadline
	table.recordIfLate(program, now)
}

// recordPause updates the average pause between turns.
func (stats *routeStats) recordPause(pause time.Duration) {
	if pause <= maxIdleTimeout {
		stats.averagePause += time.Duration(pauseWeight * float64(pause-stats.averagePause))
	}
}

// recordIfLate counts, once, a program with turns in flight after its soft deadline.
func (table *Table) recordIfLate(program *startedProgram, now time.Time) {
	if program.late || program.refusedBefore || program.softDeadline.IsZero() || now.Before(program.softDeadline) || len(program.openTurns) == 0 {
		return
	}
	program.late = true
	table.routes[program.route].late.add(1, now)
}

// RecordTurnEnd records the end of a turn. Unknown turns are ignored.
func (table *Table) RecordTurnEnd(name tenant.Program, requestID string, now time.Time) {
	program := table.programs[name]
	if program == nil {
		return
	}
	if _, open := program.openTurns[requestID]; !open {
		return
	}
	table.recordIfLate(program, now)
	program.endTurn(requestID, now)
	program.lastActivity = now
}

// RecordRefusal records that a program was refused.
func (table *Table) RecordRefusal(request Request, now time.Time) {
	table.statsFor(request.Route, request.Service, request.Priority).refused.add(1, now)
	table.refused[request.Program] = now
}

// Report returns the load of the programs, by route and by tenant.
func (table *Table) Report(now time.Time) (map[string]load.Route, map[load.TenantPriority]int) {
	maps.DeleteFunc(table.refused, func(_ tenant.Program, at time.Time) bool { return now.Sub(at) > refusalRetention })
	routes := make(map[string]load.Route, len(table.routes))
	tenants := map[load.TenantPriority]int{}
	for name, program := range table.programs {
		table.expire(name, program, now)
		table.recordIfLate(program, now)
		if !table.isActive(program, now) {
			continue
		}
		route := routes[program.route]
		route.Programs++
		route.Turns += len(program.openTurns)
		route.PromptTokens += program.promptTokens(table.routes[program.route].idleTimeout(), now)
		routes[program.route] = route
		tenants[program.tenant]++
	}
	for name, stats := range table.routes {
		route := routes[name]
		if route.Programs == 0 && stats.idle(now) {
			continue
		}
		route.Service = stats.service
		route.Priority = stats.priority
		route.ProgramsStarted = stats.started.valueAt(now)
		route.Refused = stats.refused.valueAt(now)
		route.Late = stats.late.valueAt(now)
		routes[name] = route
	}
	return routes, tenants
}

// isActive reports whether a program has turns in flight or has paused for less than its idle
// timeout.
func (table *Table) isActive(program *startedProgram, now time.Time) bool {
	return len(program.openTurns) > 0 || now.Sub(program.lastActivity) <= table.routes[program.route].idleTimeout()
}

// expire drops turns past their expiry, and programs idle for longer than programRetention.
func (table *Table) expire(name tenant.Program, program *startedProgram, now time.Time) {
	for requestID, turn := range program.openTurns {
		if now.After(turn.expiresAt) {
			program.endTurn(requestID, now)
		}
	}
	if len(program.openTurns) == 0 && now.Sub(program.lastActivity) > programRetention {
		delete(table.programs, name)
	}
}

// RemoveWhere removes the programs that satisfy a condition, because another node owns their
// shard.
func (table *Table) RemoveWhere(condition func(program tenant.Program) bool) {
	for name := range table.programs {
		if condition(name) {
			delete(table.programs, name)
		}
	}
}
