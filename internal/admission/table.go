package admission

import (
	"maps"
	"time"

	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/tenant"
)

const (
	// remembered is how long after its last turn a program is still known to have
	// begun. It is as long as assignments of engines last.
	remembered = time.Minute
	// firstPause is taken for the usual pause between two turns until it is known: those
	// of agents that think and call tools last some tenths of a second.
	firstPause = 150 * time.Millisecond
	// pauseWeight is the weight of the newest pause in the usual one.
	pauseWeight = 0.05
	// pausesToEnd is after how many usual pauses a program counts as over. Of pauses
	// that vary like those between chance events 5 in 100 are longer; such a program
	// counts again from its next turn on.
	pausesToEnd = 3
	// leastSilence and mostSilence bound that. A program that counts for long after its
	// end hides how many have begun lately.
	leastSilence = 250 * time.Millisecond
	mostSilence  = 2 * time.Second
	// endMargin is how long after a turn's time its end may still come in.
	endMargin = time.Second
)

// Turn is a turn whose tokens were reserved.
type Turn struct {
	Program tenant.Program
	// RequestID is the key of its reservation.
	RequestID string
	Session   string
	Route     string
	Service   string
	Priority  int
	// PromptTokens is the length of its prompt, tokens.
	PromptTokens int64
	// ExpiresAt is when its time is over, also where its end is never heard of.
	ExpiresAt time.Time
	// SoftDeadline is when its program should be over, zero where it names no such time.
	SoftDeadline time.Time
	// FirstTurn is true for the first turn of a program.
	FirstTurn bool
}

// underWay is a program that has begun.
type underWay struct {
	route  string
	holder load.TenantPriority
	// main is the session of its first line of turns; lines are all that it has.
	main  string
	lines map[string]*line
	// open holds the turns under way, by their reservations.
	open map[string]openTurn
	// seen is when a turn last began or ended.
	seen time.Time
	aim  time.Time
	// late is true once the program was seen at work after its aim, returned where it was
	// refused before it began: it lost a part of its time then, and its being late says
	// nothing of the engines.
	late     bool
	returned bool
}

// line is one of a program's lines of turns.
type line struct {
	// prompt is the length of its newest prompt, tokens.
	prompt int64
	// open is the number of its turns under way, seen when one last began or ended.
	open int
	seen time.Time
}

// openTurn is a turn under way; its time is over at until.
type openTurn struct {
	session string
	until   time.Time
}

// tokens is how much of engines' memory a program's prompts use: its main line, and what
// each line of a sub-agent adds to that, for its prompt begins with the main line's. A
// sub-agent's line without a turn for as long as a program may pause is over, and dropped.
func (program *underWay) tokens(silence time.Duration, now time.Time) int64 {
	var first int64
	if main := program.lines[program.main]; main != nil {
		first = main.prompt
	}
	total := first
	for session, held := range program.lines {
		switch {
		case session == program.main:
		case held.open == 0 && now.Sub(held.seen) > silence:
			delete(program.lines, session)
		default:
			total += max(held.prompt-first, 0)
		}
	}
	return total
}

// begin notes a turn of a line.
func (program *underWay) begin(turn Turn, now time.Time) {
	if _, again := program.open[turn.RequestID]; !again {
		held := program.lines[turn.Session]
		if held == nil {
			held = &line{}
			program.lines[turn.Session] = held
		}
		held.open++
		held.prompt = turn.PromptTokens
		held.seen = now
	}
	program.open[turn.RequestID] = openTurn{session: turn.Session, until: turn.ExpiresAt.Add(endMargin)}
}

// end notes a turn's end.
func (program *underWay) end(request string, now time.Time) {
	turn := program.open[request]
	delete(program.open, request)
	if held := program.lines[turn.session]; held != nil {
		held.open--
		held.seen = now
	}
}

// routeCounts is what the table counts of a route.
type routeCounts struct {
	service string
	rank    int
	begun   fading
	refused fading
	late    fading
	// pause is the usual pause between two turns.
	pause time.Duration
}

// silence is how long a program of the route may pause without counting as over.
func (counts *routeCounts) silence() time.Duration {
	return min(max(pausesToEnd*counts.pause, leastSilence), mostSilence)
}

// leastCount is a count of recent events that is none any more.
const leastCount = 0.01

// idle tells whether nothing was counted lately.
func (counts *routeCounts) idle(now time.Time) bool {
	return counts.begun.read(now)+counts.refused.read(now)+counts.late.read(now) < leastCount
}

// Table holds the programs of an owner's shards. It is not safe for concurrent use.
type Table struct {
	programs map[tenant.Program]*underWay
	routes   map[string]*routeCounts
	// refused holds when programs were refused that have not begun.
	refused map[tenant.Program]time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{programs: map[tenant.Program]*underWay{}, routes: map[string]*routeCounts{}, refused: map[tenant.Program]time.Time{}}
}

// HasStarted tells whether a program has begun.
func (table *Table) HasStarted(program tenant.Program) bool { return table.programs[program] != nil }

func (table *Table) countsOf(name, service string, rank int) *routeCounts {
	counts := table.routes[name]
	if counts == nil {
		counts = &routeCounts{pause: firstPause}
		table.routes[name] = counts
	}
	counts.service = service
	counts.rank = rank
	return counts
}

// RecordTurnStart notes a turn.
func (table *Table) RecordTurnStart(turn Turn, now time.Time) {
	name := RouteName(turn.Route, turn.Service, turn.Priority)
	counts := table.countsOf(name, turn.Service, turn.Priority)
	program := table.programs[turn.Program]
	if program == nil {
		program = &underWay{main: turn.Session, lines: map[string]*line{}, open: map[string]openTurn{}}
		_, program.returned = table.refused[turn.Program]
		delete(table.refused, turn.Program)
		table.programs[turn.Program] = program
	} else if len(program.open) == 0 {
		counts.notePause(now.Sub(program.seen))
	}
	if turn.FirstTurn {
		counts.begun.add(1, now)
	}
	program.route = name
	program.holder = load.TenantPriority{Tenant: turn.Program.Tenant, Priority: turn.Priority}
	program.begin(turn, now)
	program.seen = now
	program.aim = turn.SoftDeadline
	table.noteLate(program, now)
}

// notePause learns how long programs pause.
func (counts *routeCounts) notePause(pause time.Duration) {
	if pause <= mostSilence {
		counts.pause += time.Duration(pauseWeight * float64(pause-counts.pause))
	}
}

// noteLate counts a program that is at work after its aim, once.
func (table *Table) noteLate(program *underWay, now time.Time) {
	if program.late || program.returned || program.aim.IsZero() || now.Before(program.aim) || len(program.open) == 0 {
		return
	}
	program.late = true
	table.routes[program.route].late.add(1, now)
}

// RecordTurnEnd notes the end of a turn.
func (table *Table) RecordTurnEnd(name tenant.Program, request string, now time.Time) {
	program := table.programs[name]
	if program == nil {
		return
	}
	if _, open := program.open[request]; !open {
		return
	}
	table.noteLate(program, now)
	program.end(request, now)
	program.seen = now
}

// RecordRefusal notes that a program was refused.
func (table *Table) RecordRefusal(order Request, now time.Time) {
	table.countsOf(order.Route, order.Service, order.Priority).refused.add(1, now)
	table.refused[order.Program] = now
}

// Report returns what the programs have under way, by route and by tenant.
func (table *Table) Report(now time.Time) (map[string]load.Route, map[load.TenantPriority]int) {
	maps.DeleteFunc(table.refused, func(_ tenant.Program, at time.Time) bool { return now.Sub(at) > returnSpan })
	routes := make(map[string]load.Route, len(table.routes))
	tenants := map[load.TenantPriority]int{}
	for name, program := range table.programs {
		table.expire(name, program, now)
		table.noteLate(program, now)
		if !table.counts(program, now) {
			continue
		}
		route := routes[program.route]
		route.Programs++
		route.Turns += len(program.open)
		route.PromptTokens += program.tokens(table.routes[program.route].silence(), now)
		routes[program.route] = route
		tenants[program.holder]++
	}
	for name, counts := range table.routes {
		route := routes[name]
		if route.Programs == 0 && counts.idle(now) {
			continue
		}
		route.Service = counts.service
		route.Priority = counts.rank
		route.ProgramsStarted = counts.begun.read(now)
		route.Refused = counts.refused.read(now)
		route.Late = counts.late.read(now)
		routes[name] = route
	}
	return routes, tenants
}

// counts tells whether a program is under way.
func (table *Table) counts(program *underWay, now time.Time) bool {
	return len(program.open) > 0 || now.Sub(program.seen) <= table.routes[program.route].silence()
}

// expire drops turns whose end was never heard of, and a program that is long over.
func (table *Table) expire(name tenant.Program, program *underWay, now time.Time) {
	for request, turn := range program.open {
		if now.After(turn.until) {
			program.end(request, now)
		}
	}
	if len(program.open) == 0 && now.Sub(program.seen) > remembered {
		delete(table.programs, name)
	}
}

// RemoveWhere forgets the programs for which a condition holds: their shard is owned by
// another node.
func (table *Table) RemoveWhere(condition func(program tenant.Program) bool) {
	for name := range table.programs {
		if condition(name) {
			delete(table.programs, name)
		}
	}
}
