package keeper

import (
	"container/list"
	"time"

	"github.com/magpielug/magpielug/internal/queue"
)

// programState is what the keeper remembers of one program.
type programState struct {
	name  string
	shard uint32
	// hasShard is false for a program known only from an engine's report.
	hasShard bool
	// prefixes are its cached prefixes, few: one an engine it has run on.
	prefixes []*prefix
	// rank is that of its latest call.
	rank queue.Rank
	// calls counts its waiting and running calls.
	calls       int
	preemptions int
	// seenAt is when a call of it was last offered; listedAt when a leader last
	// listed it as live.
	seenAt   time.Duration
	listedAt time.Duration
	// kind is nil for a program that no call was offered of.
	kind *kindRecord

	// returnBy is until when its next call is expected.
	returnBy time.Duration
	paused   bool
	pausedAt time.Duration
	// keepTimer runs while a paused program's prefix is kept; nil if it never was.
	keepTimer *timer
	// exportedTokens is what was exported and not yet imported again.
	exportedTokens int

	ended   bool
	endedAt time.Duration
	// element is the place in the table's list by last use.
	element *list.Element
	// endedElement is the place in the list of ended programs.
	endedElement *list.Element
}

// programTable holds the programs, bounded, with the least recently seen one
// without calls forgotten first.
type programTable struct {
	limit  int
	byName map[string]*programState
	// recent is by last use, the oldest in front; ended by end time.
	recent *list.List
	ended  *list.List
	shards map[uint32]*shardState
}

// shardState indexes the programs of one shard.
type shardState struct {
	programs map[*programState]struct{}
	// listed is true once a leader has listed the shard's live programs.
	listed bool
}

func newProgramTable(limit int) programTable {
	return programTable{
		limit:  limit,
		byName: make(map[string]*programState),
		recent: list.New(),
		ended:  list.New(),
		shards: make(map[uint32]*shardState),
	}
}

// see returns the program, made if needed, as seen now. A program that was
// taken for ended and is seen again is alive: its leader knows better.
func (table *programTable) see(name string, now time.Duration) *programState {
	program := table.ensure(name)
	table.recent.MoveToBack(program.element)
	program.seenAt = now
	table.revive(program)
	return program
}

// ensure returns the program, made if needed, without counting it as seen.
func (table *programTable) ensure(name string) *programState {
	program := table.byName[name]
	if program == nil {
		program = &programState{name: name, seenAt: neverSeen}
		program.element = table.recent.PushBack(program)
		table.byName[name] = program
		table.enforceLimit(program)
	}
	return program
}

// revive takes a program out of the ended ones.
func (table *programTable) revive(program *programState) {
	if !program.ended {
		return
	}
	program.ended = false
	table.ended.Remove(program.endedElement)
	program.endedElement = nil
}

// end marks a program as ended and remembers it for the sweep.
func (table *programTable) end(program *programState, now time.Duration) {
	if program.ended {
		return
	}
	program.ended = true
	program.endedAt = now
	program.endedElement = table.ended.PushBack(program)
}

// placeInShard records which shard a program belongs to.
func (table *programTable) placeInShard(program *programState, shard uint32) {
	if program.hasShard && program.shard == shard {
		return
	}
	table.leaveShard(program)
	program.shard = shard
	program.hasShard = true
	table.shard(shard).programs[program] = struct{}{}
}

// shard returns a shard's index, made if needed.
func (table *programTable) shard(number uint32) *shardState {
	state := table.shards[number]
	if state == nil {
		state = &shardState{programs: make(map[*programState]struct{})}
		table.shards[number] = state
	}
	return state
}

func (table *programTable) leaveShard(program *programState) {
	if program.hasShard {
		delete(table.shards[program.shard].programs, program)
		program.hasShard = false
	}
}

// forgetEnded drops programs that ended at or before a time.
func (table *programTable) forgetEnded(before time.Duration) {
	for front := table.ended.Front(); front != nil; front = table.ended.Front() {
		program := front.Value.(*programState)
		if program.endedAt > before || program.calls > 0 {
			return
		}
		table.forget(program)
	}
}

// enforceLimit forgets the least recently seen programs over the limit. The
// newest and those with calls are passed over, and moved to the back so as not
// to be met again.
func (table *programTable) enforceLimit(newest *programState) {
	for tries := table.recent.Len(); len(table.byName) > table.limit && tries > 0; tries-- {
		program := table.recent.Front().Value.(*programState)
		if program.calls > 0 || program == newest {
			table.recent.MoveToBack(program.element)
			continue
		}
		table.forget(program)
	}
}

// forget removes all trace of a program without calls.
func (table *programTable) forget(program *programState) {
	for len(program.prefixes) > 0 {
		program.prefixes[0].drop()
	}
	table.leaveShard(program)
	table.revive(program)
	table.recent.Remove(program.element)
	delete(table.byName, program.name)
}
