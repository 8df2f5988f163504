package keeper

import (
	"math"
	"time"

	"github.com/magpielug/magpielug/internal/queue"
)

// prefix is the estimated cache of one program on one engine. It is an element
// of its engine's LRU list and is listed in its program.
type prefix struct {
	engine  *engineState
	program *programState
	// tokens is how many cached tokens the program's next call would find;
	// memory is the part not shared with other programs of the kind.
	tokens int
	memory int
	// pins counts the program's running calls on the engine. The memory of a
	// pinned prefix is counted with the calls, and it cannot be evicted.
	pins int
	// updatedAt is the keeper's own last update. Events that may be older than
	// it are ignored.
	updatedAt time.Duration
	// released is true from a release command until the program runs here
	// again.
	released bool

	older, newer *prefix
}

// prefixList is the LRU list of an engine's prefixes.
type prefixList struct {
	oldest, newest *prefix
	// idleTokens is the total memory of the prefixes without pins.
	idleTokens int
}

// prefixOn returns the program's prefix on an engine, or nil if there is none.
func (program *programState) prefixOn(engine *engineState) *prefix {
	for _, candidate := range program.prefixes {
		if candidate.engine == engine {
			return candidate
		}
	}
	return nil
}

// cachedOn returns the estimated number of cached tokens of the program on an
// engine.
func (program *programState) cachedOn(engine *engineState) int {
	if found := program.prefixOn(engine); found != nil {
		return found.tokens
	}
	return 0
}

// ensurePrefix returns the program's prefix on an engine, adding an empty one
// if needed, and marks it as most recently used.
func (keeper *Keeper) ensurePrefix(program *programState, engine *engineState) *prefix {
	found := program.prefixOn(engine)
	if found == nil {
		found = &prefix{engine: engine, program: program}
		program.prefixes = append(program.prefixes, found)
	} else {
		engine.prefixes.unlink(found)
	}
	engine.prefixes.linkNewest(found)
	found.released = false
	found.updatedAt = keeper.now
	return found
}

// neverUpdated is the updatedAt of a prefix known only from reports, so that
// reports can correct it at once.
const neverUpdated = -time.Hour

// addReportedPrefix adds an empty prefix known only from a report. It is the
// least recently used one, so that it is dropped before prefixes that the
// keeper has seen in use.
func addReportedPrefix(program *programState, engine *engineState) *prefix {
	added := &prefix{engine: engine, program: program, updatedAt: neverUpdated}
	program.prefixes = append(program.prefixes, added)
	engine.prefixes.linkOldest(added)
	return added
}

// evictsHigherRanked reports whether the call would evict idle prefixes of
// higher-ranked programs that are expected to return. It is false for an engine
// without running calls, so that the pool always makes progress.
func (keeper *Keeper) evictsHigherRanked(engine *engineState, call *waitingCall) bool {
	if engine.memoryTokens == 0 || len(engine.running) == 0 {
		return false
	}
	free := engine.memoryTokens - engine.usedTokens - call.kvTokens
	if free >= engine.prefixes.idleTokens {
		return false
	}
	for index := range keeper.claims(engine) {
		claim := &engine.claims[index]
		if claim.program == call.program || keeper.now > claim.expiresAt {
			continue
		}
		if claim.rank.Before(call.rank) {
			free -= claim.memory
		}
		if free < 0 {
			return true
		}
	}
	return false
}

// claim is the memory of an idle prefix whose program has waiting calls or is
// expected to return by expiresAt.
type claim struct {
	program   *programState
	rank      queue.Rank
	memory    int
	expiresAt time.Duration
}

// noExpiry is the expiresAt of a program with waiting or running calls.
const noExpiry = time.Duration(math.MaxInt64)

// claims returns the engine's claims. They are cached until a prefix of the
// engine or a program of one changes, because a walk of the prefixes for every
// tried call would dominate the cost of a step.
func (keeper *Keeper) claims(engine *engineState) []claim {
	if !engine.claimsStale {
		return engine.claims
	}
	engine.claimsStale = false
	engine.claims = engine.claims[:0]
	for p := engine.prefixes.newest; p != nil; p = p.older {
		expiresAt := p.program.returnExpectedBy
		if p.program.calls > 0 {
			expiresAt = noExpiry
		}
		if p.pins == 0 && p.memory > 0 && keeper.now <= expiresAt {
			engine.claims = append(engine.claims, claim{p.program, p.program.rank, p.memory, expiresAt})
		}
	}
	return engine.claims
}

// invalidateClaims marks the claims of every engine with a prefix of the
// program as stale. It must be called after each change of rank, calls or
// returnExpectedBy.
func (program *programState) invalidateClaims() {
	for _, p := range program.prefixes {
		p.engine.claimsStale = true
	}
}

// resize sets the estimated number of cached tokens.
func (p *prefix) resize(tokens int) {
	p.engine.claimsStale = true
	memory := max(tokens-p.program.kindStats().sharedTokens(), 0)
	if p.pins == 0 {
		p.engine.prefixes.idleTokens += memory - p.memory
	}
	p.tokens = tokens
	p.memory = memory
}

// pin adds a running call of the program on the engine.
func (p *prefix) pin() {
	p.engine.claimsStale = true
	if p.pins == 0 {
		p.engine.prefixes.idleTokens -= p.memory
	}
	p.pins++
}

// unpin removes a running call.
func (p *prefix) unpin() {
	p.engine.claimsStale = true
	p.pins--
	if p.pins == 0 {
		p.engine.prefixes.idleTokens += p.memory
	}
}

// drop removes the prefix from its engine and its program.
func (p *prefix) drop() {
	p.engine.claimsStale = true
	if p.pins == 0 {
		p.engine.prefixes.idleTokens -= p.memory
	}
	p.engine.prefixes.unlink(p)
	for index, candidate := range p.program.prefixes {
		if candidate == p {
			last := len(p.program.prefixes) - 1
			copy(p.program.prefixes[index:], p.program.prefixes[index+1:])
			p.program.prefixes[last] = nil
			p.program.prefixes = p.program.prefixes[:last]
			return
		}
	}
}

func (list *prefixList) linkNewest(p *prefix) {
	p.older = list.newest
	p.newer = nil
	if list.newest != nil {
		list.newest.newer = p
	} else {
		list.oldest = p
	}
	list.newest = p
}

func (list *prefixList) linkOldest(p *prefix) {
	p.newer = list.oldest
	p.older = nil
	if list.oldest != nil {
		list.oldest.older = p
	} else {
		list.newest = p
	}
	list.oldest = p
}

func (list *prefixList) unlink(p *prefix) {
	if p.older != nil {
		p.older.newer = p.newer
	} else {
		list.oldest = p.newer
	}
	if p.newer != nil {
		p.newer.older = p.older
	} else {
		list.newest = p.older
	}
	p.older, p.newer = nil, nil
}

// oldestIdle returns the least recently used prefix without pins, or nil.
func (list *prefixList) oldestIdle() *prefix {
	for candidate := list.oldest; candidate != nil; candidate = candidate.newer {
		if candidate.pins == 0 {
			return candidate
		}
	}
	return nil
}

// dropAll drops every prefix of the engine.
func (list *prefixList) dropAll() {
	for list.oldest != nil {
		list.oldest.drop()
	}
}
