package keeper

import (
	"math"
	"time"

	"github.com/magpielug/magpielug/internal/queue"
)

// prefix is the estimate of what one engine has cached for one program. It is
// linked in its engine's list, by last use, and listed in its program.
type prefix struct {
	engine  *engineState
	program *programState
	// tokens is what a next call of the program would find; memory is the part
	// that it alone holds: a prompt's beginning that all programs of a kind share
	// is held once.
	tokens int
	memory int
	// pins counts the program's running calls on the engine: their memory is
	// counted with the calls, and the prefix can't be evicted.
	pins int
	// touchedAt is the keeper's own last use or order, and rules over late events.
	touchedAt time.Duration
	// released is true from a release order until the program runs here again.
	released bool

	older, newer *prefix
}

// prefixList is an engine's prefixes from the least to the most recently used.
type prefixList struct {
	oldest, newest *prefix
	// idleTokens sums the memory of the prefixes without pins.
	idleTokens int
}

// prefixOn returns the program's prefix on an engine, nil if there is none.
func (program *programState) prefixOn(engine *engineState) *prefix {
	for _, candidate := range program.prefixes {
		if candidate.engine == engine {
			return candidate
		}
	}
	return nil
}

// cachedOn returns the tokens thought to be cached for the program.
func (program *programState) cachedOn(engine *engineState) int {
	if found := program.prefixOn(engine); found != nil {
		return found.tokens
	}
	return 0
}

// ensurePrefix returns the program's prefix on an engine, made empty if needed,
// as the most recently used one.
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
	found.touchedAt = keeper.now
	return found
}

// neverTouched is the touchedAt of a prefix known only from reports: it is
// settled at once.
const neverTouched = -time.Hour

// adoptPrefix enters an empty prefix that the keeper knows only from a report.
// It counts as the least recently used: what the keeper has seen itself is
// never pushed out for it.
func adoptPrefix(program *programState, engine *engineState) *prefix {
	adopted := &prefix{engine: engine, program: program, touchedAt: neverTouched}
	program.prefixes = append(program.prefixes, adopted)
	engine.prefixes.linkOldest(adopted)
	return adopted
}

// crowded tells whether a call's memory would come out of idle prefixes whose
// programs are ranked before it and expected back. An engine that runs nothing
// is never crowded, so a pool can't stand still.
func (keeper *Keeper) crowded(engine *engineState, call *waitingCall) bool {
	if engine.memoryTokens == 0 || len(engine.running) == 0 {
		return false
	}
	free := engine.memoryTokens - engine.usedTokens - call.need
	if free >= engine.prefixes.idleTokens {
		return false
	}
	for index := range keeper.claims(engine) {
		claim := &engine.claims[index]
		if claim.program == call.program || keeper.now > claim.until {
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

// claim is the memory of one idle prefix, for as long as its program waits for
// a slot or is expected back.
type claim struct {
	program *programState
	rank    queue.Rank
	memory  int
	until   time.Duration
}

// untilGranted is the end of a claim whose program has calls.
const untilGranted = time.Duration(math.MaxInt64)

// claims lists an engine's claims. Walking the prefixes for each call tried
// would cost more than all else together, so the list is kept until a prefix
// of the engine, or a program of one, changes.
func (keeper *Keeper) claims(engine *engineState) []claim {
	if !engine.claimsStale {
		return engine.claims
	}
	engine.claimsStale = false
	engine.claims = engine.claims[:0]
	for held := engine.prefixes.newest; held != nil; held = held.older {
		until := held.program.returnBy
		if held.program.calls > 0 {
			until = untilGranted
		}
		if held.pins == 0 && held.memory > 0 && keeper.now <= until {
			engine.claims = append(engine.claims, claim{held.program, held.program.rank, held.memory, until})
		}
	}
	return engine.claims
}

// changeClaims marks the claims of every engine that has a prefix of the
// program as stale. It is called after each change of rank, calls or returnBy.
func (program *programState) changeClaims() {
	for _, held := range program.prefixes {
		held.engine.claimsStale = true
	}
}

// resize sets the estimate.
func (p *prefix) resize(tokens int) {
	p.engine.claimsStale = true
	memory := max(tokens-p.program.kindRecord().sharedTokens(), 0)
	if p.pins == 0 {
		p.engine.prefixes.idleTokens += memory - p.memory
	}
	p.tokens = tokens
	p.memory = memory
}

// pin marks one more running call of the program on the engine.
func (p *prefix) pin() {
	p.engine.claimsStale = true
	if p.pins == 0 {
		p.engine.prefixes.idleTokens -= p.memory
	}
	p.pins++
}

// unpin takes one running call back.
func (p *prefix) unpin() {
	p.engine.claimsStale = true
	p.pins--
	if p.pins == 0 {
		p.engine.prefixes.idleTokens += p.memory
	}
}

// drop forgets the prefix, on the engine's side and on the program's.
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

// oldestIdle returns the least recently used prefix without pins.
func (list *prefixList) oldestIdle() *prefix {
	for candidate := list.oldest; candidate != nil; candidate = candidate.newer {
		if candidate.pins == 0 {
			return candidate
		}
	}
	return nil
}

// dropAll forgets every prefix of the engine.
func (list *prefixList) dropAll() {
	for list.oldest != nil {
		list.oldest.drop()
	}
}
