// Package assignment assigns an engine to each session of an agent program, chosen by the load
// at the time the session starts. The session stays on that engine.
//
// The owner of a program's shard assigns. It knows the load from the nodes, which report it
// with their requests to reserve tokens. A session stays on its engine because the engine's
// memory holds its prompt; a sub-agent's session follows its program unless that engine is
// full. After an engine has failed a turn, the turn's program moves to other engines.
package assignment

import (
	"slices"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/tenant"
)

const (
	// reportTTL is how long a node's report is valid.
	reportTTL = 2 * time.Second
	// recentAssignmentTTL is how long an assignment is counted in addition to the reports,
	// which may not include it yet.
	recentAssignmentTTL = 400 * time.Millisecond
	// retention is how long an assignment is kept after its last turn.
	retention = 60 * time.Second
	// crossZoneCost is the cost of an engine in another zone than the caller's, in requests.
	crossZoneCost = 0.5
	// spareSlots is the number of slots that must stay free for a further session of a program
	// to follow it, on engines with ample memory.
	spareSlots = 2
	// maxQueuedRequests is the number of requests beyond an engine's slots up to which a
	// further session follows its program where memory is scarce. On another engine, a copy of
	// its prompt would evict the prompts of other programs. With spareSlots instead, engines
	// that hold 2.3 prompts per slot prefilled half as many tokens again
	// (docs/design/shifted-work.md).
	maxQueuedRequests = 4
	// ampleMemoryPrompts is the number of prompts per slot from which an engine's memory is
	// ample: enough for the running program and those that pause. Sessions then gain nothing by
	// queueing on their program's engine: it paid at 2.3 prompts per slot and cost more than it
	// saved at 2.8 (docs/design/shifted-work.md).
	ampleMemoryPrompts = 2.5
	// failureTTL is how long a program avoids an engine that has failed one of its turns. It
	// covers the caller's retries; afterwards the engine has recovered, or all nodes know that
	// it has not.
	failureTTL = 5 * time.Second
	// maxSlowness is the slowness above which a session leaves its engine. Recomputing its
	// prompt elsewhere costs less than the next turn saves, which is at least 1.5 times its
	// usual duration.
	maxSlowness = 2.5
	// promptWeight is the weight of the latest turn in the moving average of prompt lengths.
	promptWeight = 0.01
)

// Candidate is an engine that may be assigned.
type Candidate struct {
	ID string
	// Incarnation distinguishes starts of an engine under one ID; prompts cached in an earlier
	// one are lost.
	Incarnation int64
	Zone        string
	Slots       int
	// MemoryTokens is the number of prompt tokens that the engine holds, 0 if unknown.
	MemoryTokens int
	// OwnerMemoryTokens is the part of MemoryTokens that sessions of this owner may use, 0 if
	// unlimited.
	OwnerMemoryTokens int
	// TieBreak decides between engines of equal cost, the highest first. It is the same for all
	// owners.
	TieBreak uint64
	// Slowness is the engine's latency relative to the usual one, 0 if unknown.
	Slowness float64
}

// slowness returns Slowness, or 1 if it is unknown.
func (candidate *Candidate) slowness() float64 {
	if candidate.Slowness <= 0 {
		return 1
	}
	return candidate.Slowness
}

// Session identifies a session, with the properties of its current turn.
type Session struct {
	Program tenant.Program
	ID      string
	// Zone is the zone in which the call arrived.
	Zone string
	// PromptTokens is the length of the turn's prompt in tokens, 0 if unknown.
	PromptTokens int
}

// key identifies the session among those of all tenants.
func (session Session) key() tenant.Program {
	return tenant.Program{Tenant: session.Program.Tenant, ID: session.ID}
}

type nodeReport struct {
	running map[string]int
	at      time.Time
}

type placement struct {
	engine      string
	incarnation int64
	lastUsed    time.Time
	// promptTokens is the length of a session's latest prompt.
	promptTokens int
}

// failure is an engine's failure of a turn.
type failure struct {
	engine string
	at     time.Time
}

type recentAssignment struct {
	engine string
	at     time.Time
}

// Assigner holds the assignments of an owner's programs. It is safe for concurrent use.
type Assigner struct {
	mutex   sync.Mutex
	reports map[string]nodeReport
	// sessions are the placements of sessions, by Session.key.
	sessions map[tenant.Program]placement
	programs map[tenant.Program]placement
	// failures are the engine failures of each program, the oldest first.
	failures          map[tenant.Program][]failure
	recentAssignments []recentAssignment
	// meanPromptTokens is the moving average of prompt lengths, 0 before the first prompt.
	meanPromptTokens float64
}

// New returns an assigner without assignments or reports.
func New() *Assigner {
	return &Assigner{reports: map[string]nodeReport{}, sessions: map[tenant.Program]placement{}, programs: map[tenant.Program]placement{},
		failures: map[tenant.Program][]failure{}}
}

// UpdateRunning replaces a node's report of its requests in flight, by engine.
func (assigner *Assigner) UpdateRunning(node string, running map[string]int, now time.Time) {
	assigner.mutex.Lock()
	defer assigner.mutex.Unlock()
	assigner.reports[node] = nodeReport{running: running, at: now}
}

// RecordFailure records that an engine has failed a turn of a session. The session's program
// avoids the engine for failureTTL.
func (assigner *Assigner) RecordFailure(session Session, engine string, now time.Time) {
	assigner.mutex.Lock()
	defer assigner.mutex.Unlock()
	assigner.failures[session.Program] = append(assigner.failures[session.Program], failure{engine: engine, at: now})
	if assigner.sessions[session.key()].engine == engine {
		delete(assigner.sessions, session.key())
	}
	if assigner.programs[session.Program].engine == engine {
		delete(assigner.programs, session.Program)
	}
}

// withoutFailures returns the candidates that have not failed the program within failureTTL, or
// all candidates if there are no others.
func (assigner *Assigner) withoutFailures(session Session, candidates []Candidate, now time.Time) []Candidate {
	failures := assigner.failures[session.Program]
	if len(failures) == 0 {
		return candidates
	}
	remaining := slices.DeleteFunc(slices.Clone(candidates), func(candidate Candidate) bool {
		return slices.ContainsFunc(failures, func(failed failure) bool {
			return failed.engine == candidate.ID && now.Sub(failed.at) <= failureTTL
		})
	})
	if len(remaining) == 0 {
		return candidates
	}
	return remaining
}

// Assign returns the engine of a session, empty if there are no candidates.
func (assigner *Assigner) Assign(session Session, candidates []Candidate, now time.Time) string {
	assigner.mutex.Lock()
	defer assigner.mutex.Unlock()
	if len(candidates) == 0 {
		return ""
	}
	candidates = assigner.withoutFailures(session, candidates, now)
	assigner.updateMeanPromptTokens(session.PromptTokens)
	requests := assigner.requestsByEngine(now)
	engine, found := assigner.existingAssignment(session, candidates, requests)
	if !found {
		engine = cheapest(assigner.withFreeMemory(candidates, session.PromptTokens, now), requests, session.Zone)
		assigner.recentAssignments = append(assigner.recentAssignments, recentAssignment{engine: engine.ID, at: now})
	}
	assigner.sessions[session.key()] = placement{engine: engine.ID, incarnation: engine.Incarnation, lastUsed: now, promptTokens: session.PromptTokens}
	if _, known := assigner.programs[session.Program]; !known || session.ID == session.Program.ID {
		assigner.programs[session.Program] = placement{engine: engine.ID, incarnation: engine.Incarnation, lastUsed: now}
	}
	return engine.ID
}

// existingAssignment returns the engine to which the session, or else its program, is already
// assigned, false if there is none that it should use.
func (assigner *Assigner) existingAssignment(session Session, candidates []Candidate, requests map[string]int) (*Candidate, bool) {
	if placed, known := assigner.sessions[session.key()]; known {
		if candidate := findPlaced(candidates, placed); candidate != nil && candidate.slowness() <= maxSlowness {
			return candidate, true
		}
	}
	placed, known := assigner.programs[session.Program]
	if !known {
		return nil, false
	}
	candidate := findPlaced(candidates, placed)
	if candidate == nil || candidate.slowness() > maxSlowness || (candidate.Slots > 0 && requests[candidate.ID] >= assigner.maxRequestsToFollow(candidate)) {
		return nil, false
	}
	return candidate, true
}

// maxRequestsToFollow returns the number of requests at an engine from which a further session
// of a program does not follow the program there.
func (assigner *Assigner) maxRequestsToFollow(candidate *Candidate) int {
	if float64(candidate.MemoryTokens) < ampleMemoryPrompts*assigner.meanPromptTokens*float64(candidate.Slots) && candidate.MemoryTokens > 0 {
		return candidate.Slots + maxQueuedRequests
	}
	return candidate.Slots - spareSlots
}

// updateMeanPromptTokens adds a prompt's length to the moving average.
func (assigner *Assigner) updateMeanPromptTokens(tokens int) {
	switch {
	case tokens <= 0:
	case assigner.meanPromptTokens == 0:
		assigner.meanPromptTokens = float64(tokens)
	default:
		assigner.meanPromptTokens += promptWeight * (float64(tokens) - assigner.meanPromptTokens)
	}
}

// findPlaced returns the candidate of a placement, nil if the engine is not a candidate or
// has restarted since.
func findPlaced(candidates []Candidate, placed placement) *Candidate {
	for index := range candidates {
		if candidates[index].ID == placed.engine && candidates[index].Incarnation == placed.incarnation {
			return &candidates[index]
		}
	}
	return nil
}

// requestsByEngine returns the number of requests at the engines, including recently assigned
// ones.
func (assigner *Assigner) requestsByEngine(now time.Time) map[string]int {
	sum := assigner.reportedRunning(now)
	assigner.recentAssignments = slices.DeleteFunc(assigner.recentAssignments, func(placed recentAssignment) bool { return now.Sub(placed.at) > recentAssignmentTTL })
	for _, placed := range assigner.recentAssignments {
		sum[placed.engine]++
	}
	return sum
}

// reportedRunning returns the running requests by engine, summed over the reports that have not
// expired.
func (assigner *Assigner) reportedRunning(now time.Time) map[string]int {
	sum := map[string]int{}
	for node, reported := range assigner.reports {
		if now.Sub(reported.at) > reportTTL {
			delete(assigner.reports, node)
			continue
		}
		for engine, running := range reported.running {
			sum[engine] += running
		}
	}
	return sum
}

// cheapest returns the candidate of the lowest cost.
func cheapest(candidates []Candidate, requests map[string]int, zone string) *Candidate {
	best := &candidates[0]
	for index := range candidates {
		best = cheaper(best, &candidates[index], requests, zone)
	}
	return best
}

// cheaper returns the candidate of the lower cost, or the one that the tie-break selects.
func cheaper(left, right *Candidate, requests map[string]int, zone string) *Candidate {
	leftCost, rightCost := cost(left, requests, zone), cost(right, requests, zone)
	if rightCost < leftCost || (rightCost == leftCost && right.TieBreak > left.TieBreak) {
		return right
	}
	return left
}

// cost estimates the duration of a turn at an engine, relative to a usual one at an idle
// engine. It grows with the engine's load in proportion to its slowness, so that slow engines
// are chosen only when faster ones are nearly full.
func cost(candidate *Candidate, running map[string]int, zone string) float64 {
	requests := float64(running[candidate.ID])
	if candidate.Zone != zone {
		requests += crossZoneCost
	}
	return candidate.slowness() * (1 + requests/float64(max(candidate.Slots, 1)))
}

// Expire drops assignments and failures that have exceeded their retention.
func (assigner *Assigner) Expire(now time.Time) {
	assigner.mutex.Lock()
	defer assigner.mutex.Unlock()
	for _, table := range []map[tenant.Program]placement{assigner.sessions, assigner.programs} {
		for key, placed := range table {
			if now.Sub(placed.lastUsed) > retention {
				delete(table, key)
			}
		}
	}
	for program, failures := range assigner.failures {
		if now.Sub(failures[len(failures)-1].at) > failureTTL {
			delete(assigner.failures, program)
		}
	}
}
