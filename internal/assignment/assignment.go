// Package assignment gives each line of a program's turns an engine that keeps
// it, chosen by what runs where at the moment the line begins.
//
// The owner of a program's shard assigns. It goes by what the nodes tell it with their
// requests for tokens. A line stays where it is for the sake of the engine's memory; a
// sub-agent's line follows its program unless that engine is full. A program of
// which an engine has failed a turn goes to other engines.
package assignment

import (
	"slices"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/tenant"
)

const (
	// reportAge is how long a node's report counts.
	reportAge = 2 * time.Second
	// recentAge is how long an assignment counts beside the reports, which may
	// not show it yet.
	recentAge = 400 * time.Millisecond
	// retention is how long an assignment outlasts its last turn.
	retention = 60 * time.Second
	// otherZoneCost is the cost of another zone than the caller's, in requests.
	otherZoneCost = 0.5
	// spareSlots is how many slots of an engine a further line of a program leaves free
	// where engines' memory has room for copies of prompts.
	spareSlots = 2
	// queuedLines is how many more requests than an engine runs at once may be there for
	// a further line to follow its program where memory binds. A copy of its prompt would
	// drive other programs' prompts out of another engine's memory: with lines that move
	// as soon as two slots are left, engines of 2.3 prompts a slot read 18.5 instead of
	// 12.6 million tokens in 35 s of 2,000 requests a second, and 14 instead of 2 in 100
	// programs were late.
	queuedLines = 4
	// roomyPrompts is how many prompts for each slot an engine's memory holds from which on
	// it does not bind: one that runs, and those of programs that pause. Lines that follow
	// their program then wait for nothing in return: with 6.1 a slot, 24 instead of 17 in
	// 100 programs were late or failed on an overloaded day, with 2.8 a slot 1.4 instead
	// of 0.5.
	roomyPrompts = 2.5
	// failedFor is how long a program stays away from an engine that has failed a turn of it.
	// Callers come back up to three times within two seconds; by the end of it the engine
	// has recovered, or all nodes know that it has not.
	failedFor = 5 * time.Second
	// leavingSlowness is how many times the usual time an engine takes that a line leaves.
	// Its prompt is computed again elsewhere: of 3,000 tokens that takes a tenth of a usual
	// turn, and it saves one and a half of them on the next turn.
	leavingSlowness = 2.5
	// promptWeight is the weight of the newest turn in the usual length of a prompt.
	promptWeight = 0.01
)

// Candidate is an engine that may be assigned.
type Candidate struct {
	ID string
	// Incarnation tells the engine's starts under one id apart: a line that it kept in an earlier
	// one finds nothing there.
	Incarnation int64
	Zone        string
	Slots       int
	// MemoryTokens is how many tokens of prompts the engine holds, 0 where that is not known.
	MemoryTokens int
	// OwnerMemoryTokens is the part of that which this owner's lines may take, 0 where nothing
	// bounds it.
	OwnerMemoryTokens int
	// TieBreak breaks ties, the highest first; alike for all owners.
	TieBreak uint64
	// Slowness is how many times the usual time the engine takes, 0 where that is not known.
	Slowness float64
}

// slowness is how many times the usual time the engine takes.
func (candidate *Candidate) slowness() float64 {
	if candidate.Slowness <= 0 {
		return 1
	}
	return candidate.Slowness
}

// Session names a line of turns.
type Session struct {
	Program tenant.Program
	ID      string
	// Zone is where the caller came in.
	Zone string
	// PromptTokens is the length of the turn's prompt, tokens; 0 where that is not known.
	PromptTokens int
}

// session names the line among all tenants' lines.
func (line Session) session() tenant.Program {
	return tenant.Program{Tenant: line.Program.Tenant, ID: line.ID}
}

type report struct {
	running map[string]int
	at      time.Time
}

type assigned struct {
	engine string
	life   int64
	used   time.Time
	// prompt is the length of a line's newest prompt, tokens.
	prompt int
}

// failure is an engine's failure of a program's turn.
type failure struct {
	engine string
	at     time.Time
}

type recent struct {
	engine string
	at     time.Time
}

// Assigner holds the assignments of an owner's programs. It is safe for
// concurrent use.
type Assigner struct {
	mutex   sync.Mutex
	reports map[string]report
	// sessions are lines of turns, each named by its session in place of the program.
	sessions map[tenant.Program]assigned
	programs map[tenant.Program]assigned
	// failures are engines' failures of programs, the oldest first.
	failures map[tenant.Program][]failure
	recents  []recent
	// prompt is the usual length of a prompt, tokens.
	prompt float64
}

// New returns an assigner that knows nothing.
func New() *Assigner {
	return &Assigner{reports: map[string]report{}, sessions: map[tenant.Program]assigned{}, programs: map[tenant.Program]assigned{},
		failures: map[tenant.Program][]failure{}}
}

// UpdateRunning takes in what a node has under way, by engine.
func (assigner *Assigner) UpdateRunning(node string, running map[string]int, now time.Time) {
	assigner.mutex.Lock()
	defer assigner.mutex.Unlock()
	assigner.reports[node] = report{running: running, at: now}
}

// RecordFailure notes that an engine has failed a turn of a line: its program goes to others.
func (assigner *Assigner) RecordFailure(line Session, engine string, now time.Time) {
	assigner.mutex.Lock()
	defer assigner.mutex.Unlock()
	assigner.failures[line.Program] = append(assigner.failures[line.Program], failure{engine: engine, at: now})
	if assigner.sessions[line.session()].engine == engine {
		delete(assigner.sessions, line.session())
	}
	if assigner.programs[line.Program].engine == engine {
		delete(assigner.programs, line.Program)
	}
}

// sound returns the candidates that have not failed the program of late, or all where
// there are no others.
func (assigner *Assigner) sound(line Session, candidates []Candidate, now time.Time) []Candidate {
	failures := assigner.failures[line.Program]
	if len(failures) == 0 {
		return candidates
	}
	left := slices.DeleteFunc(slices.Clone(candidates), func(candidate Candidate) bool {
		return slices.ContainsFunc(failures, func(failed failure) bool {
			return failed.engine == candidate.ID && now.Sub(failed.at) <= failedFor
		})
	})
	if len(left) == 0 {
		return candidates
	}
	return left
}

// Assign returns the engine of a line, empty where there is no candidate.
func (assigner *Assigner) Assign(line Session, candidates []Candidate, now time.Time) string {
	assigner.mutex.Lock()
	defer assigner.mutex.Unlock()
	if len(candidates) == 0 {
		return ""
	}
	candidates = assigner.sound(line, candidates, now)
	assigner.notePrompt(line.PromptTokens)
	requests := assigner.requests(now)
	engine, held := assigner.present(line, candidates, requests)
	if !held {
		engine = least(assigner.withMemory(candidates, line.PromptTokens, now), requests, line.Zone)
		assigner.recents = append(assigner.recents, recent{engine: engine.ID, at: now})
	}
	assigner.sessions[line.session()] = assigned{engine: engine.ID, life: engine.Incarnation, used: now, prompt: line.PromptTokens}
	if _, known := assigner.programs[line.Program]; !known || line.ID == line.Program.ID {
		assigner.programs[line.Program] = assigned{engine: engine.ID, life: engine.Incarnation, used: now}
	}
	return engine.ID
}

// present returns the engine that the line, or else its program, has already.
func (assigner *Assigner) present(line Session, candidates []Candidate, requests map[string]int) (*Candidate, bool) {
	if session, known := assigner.sessions[line.session()]; known {
		if candidate := find(candidates, session); candidate != nil && candidate.slowness() <= leavingSlowness {
			return candidate, true
		}
	}
	program, known := assigner.programs[line.Program]
	if !known {
		return nil, false
	}
	candidate := find(candidates, program)
	if candidate == nil || candidate.slowness() > leavingSlowness || (candidate.Slots > 0 && requests[candidate.ID] >= assigner.mostToFollow(candidate)) {
		return nil, false
	}
	return candidate, true
}

// mostToFollow is how many requests may be at an engine for a further line of a program to
// follow it there.
func (assigner *Assigner) mostToFollow(candidate *Candidate) int {
	if float64(candidate.MemoryTokens) < roomyPrompts*assigner.prompt*float64(candidate.Slots) && candidate.MemoryTokens > 0 {
		return candidate.Slots + queuedLines
	}
	return candidate.Slots - spareSlots
}

// notePrompt learns how long prompts are.
func (assigner *Assigner) notePrompt(tokens int) {
	switch {
	case tokens <= 0:
	case assigner.prompt == 0:
		assigner.prompt = float64(tokens)
	default:
		assigner.prompt += promptWeight * (float64(tokens) - assigner.prompt)
	}
}

// find returns the candidate that an assignment names, nil where it is none, or has begun a
// new life since.
func find(candidates []Candidate, made assigned) *Candidate {
	for index := range candidates {
		if candidates[index].ID == made.engine && candidates[index].Incarnation == made.life {
			return &candidates[index]
		}
	}
	return nil
}

// requests returns the requests at the engines, those on their way included.
func (assigner *Assigner) requests(now time.Time) map[string]int {
	sum := assigner.reported(now)
	assigner.recents = slices.DeleteFunc(assigner.recents, func(made recent) bool { return now.Sub(made.at) > recentAge })
	for _, made := range assigner.recents {
		sum[made.engine]++
	}
	return sum
}

// reported sums the reports that still count.
func (assigner *Assigner) reported(now time.Time) map[string]int {
	sum := map[string]int{}
	for node, reported := range assigner.reports {
		if now.Sub(reported.at) > reportAge {
			delete(assigner.reports, node)
			continue
		}
		for engine, running := range reported.running {
			sum[engine] += running
		}
	}
	return sum
}

// least returns the candidate that costs least.
func least(candidates []Candidate, requests map[string]int, zone string) *Candidate {
	best := &candidates[0]
	for index := range candidates {
		best = cheaper(best, &candidates[index], requests, zone)
	}
	return best
}

// cheaper returns that of two candidates which costs less, or comes first in the order.
func cheaper(left, right *Candidate, requests map[string]int, zone string) *Candidate {
	leftCost, rightCost := cost(left, requests, zone), cost(right, requests, zone)
	if rightCost < leftCost || (rightCost == leftCost && right.TieBreak > left.TieBreak) {
		return right
	}
	return left
}

// cost compares engines by how long a turn takes there, a usual one at an idle engine being
// 1. One with free slots is as fast as its speed; once all are in use, turns wait the longer
// the slower it is. A slow engine therefore gets work when the faster ones are about full.
func cost(candidate *Candidate, running map[string]int, zone string) float64 {
	requests := float64(running[candidate.ID])
	if candidate.Zone != zone {
		requests += otherZoneCost
	}
	return candidate.slowness() * (1 + requests/float64(max(candidate.Slots, 1)))
}

// Expire drops assignments that were not used for a while.
func (assigner *Assigner) Expire(now time.Time) {
	assigner.mutex.Lock()
	defer assigner.mutex.Unlock()
	for _, table := range []map[tenant.Program]assigned{assigner.sessions, assigner.programs} {
		for key, made := range table {
			if now.Sub(made.used) > retention {
				delete(table, key)
			}
		}
	}
	for program, failures := range assigner.failures {
		if now.Sub(failures[len(failures)-1].at) > failedFor {
			delete(assigner.failures, program)
		}
	}
}
