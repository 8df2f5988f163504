package keeper

import (
	"container/list"
	"time"

	"github.com/magpielug/magpielug/internal/queue"
)

// programState is the keeper's state of one program.
type programState struct {
	name  string
	shard uint32
	// hasShard is false while the shard is unknown.
	hasShard bool
	// prefixes has one entry for each engine that is known to cache the
	// program.
	prefixes []*prefix
	// rank is the rank of the program's latest call.
	rank queue.Rank
	// calls counts the waiting and running calls.
	calls       int
	preemptions int
	// lastCallAt is when a call of the program was last offered, lastListedAt
	// when a leader last listed the program as live.
	lastCallAt   time.Duration
	lastListedAt time.Duration
	// kind is nil if no call of the program was offered.
	kind *kindStats

	// returnExpectedBy is the time by which the next call is expected.
	returnExpectedBy time.Duration
	paused           bool
	pausedAt         time.Duration
	// keepTimer ends the keep duration of a paused program's prefixes; nil if
	// never set.
	keepTimer *timer
	// exportedTokens is the number of tokens exported and not imported again.
	exportedTokens int

	ended   bool
	endedAt time.Duration
	// element is the entry in programTable.recent.
	element *list.Element
	// endedElement is the entry in programTable.ended.
	endedElement *list.Element
}

// programTable holds a bounded number of programs. Above the limit, the least
// recently used program without calls is removed first.
type programTable struct {
	limit  int
	byName map[string]*programState
	// recent is ordered by last use, least recent first; ended by end time.
	recent *list.List
	ended  *list.List
	shards map[uint32]*shardState
}

// shardState holds the programs of one shard.
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

// touch returns the program, adding it if needed, as the most recently used
// one. A program marked as ended is revived: its leader has newer information.
func (table *programTable) touch(name string, now time.Duration) *programState {
	program := table.ensure(name)
	table.recent.MoveToBack(program.element)
	program.lastCallAt = now
	table.revive(program)
	return program
}

// ensure returns the program, adding it if needed, without marking it as used.
func (table *programTable) ensure(name string) *programState {
	program := table.byName[name]
	if program == nil {
		program = &programState{name: name, lastCallAt: neverCalled}
		program.element = table.recent.PushBack(program)
		table.byName[name] = program
		table.enforceLimit(program)
	}
	return program
}

// revive removes the ended mark of a program.
func (table *programTable) revive(program *programState) {
	if !program.ended {
		return
	}
	program.ended = false
	table.ended.Remove(program.endedElement)
	program.endedElement = nil
}

// end marks a program as ended. It is removed after EndedRetention.
func (table *programTable) end(program *programState, now time.Duration) {
	if program.ended {
		return
	}
	program.ended = true
	program.endedAt = now
	program.endedElement = table.ended.PushBack(program)
}

// assignShard records the shard of a program.
func (table *programTable) assignShard(program *programState, shard uint32) {
	if program.hasShard && program.shard == shard {
		return
	}
	table.removeFromShard(program)
	program.shard = shard
	program.hasShard = true
	table.shard(shard).programs[program] = struct{}{}
}

// shard returns the state of a shard, adding it if needed.
func (table *programTable) shard(number uint32) *shardState {
	state := table.shards[number]
	if state == nil {
		state = &shardState{programs: make(map[*programState]struct{})}
		table.shards[number] = state
	}
	return state
}

func (table *programTable) removeFromShard(program *programState) {
	if program.hasShard {
		delete(table.shards[program.shard].programs, program)
		program.hasShard = false
	}
}

// removeEnded removes programs that ended at or before a time. It stops at the
// first one that ended later or has calls.
func (table *programTable) removeEnded(before time.Duration) {
	for front := table.ended.Front(); front != nil; front = table.ended.Front() {
		program := front.Value.(*programState)
		if program.endedAt > before || program.calls > 0 {
			return
		}
		table.remove(program)
	}
}

// enforceLimit removes the least recently used programs above the limit.
// Programs with calls and the newest one are skipped and moved to the back, so
// that they are not visited again.
func (table *programTable) enforceLimit(newest *programState) {
	for attempts := table.recent.Len(); len(table.byName) > table.limit && attempts > 0; attempts-- {
		program := table.recent.Front().Value.(*programState)
		if program.calls > 0 || program == newest {
			table.recent.MoveToBack(program.element)
			continue
		}
		table.remove(program)
	}
}

// remove removes a program without calls and its prefixes.
func (table *programTable) remove(program *programState) {
	for len(program.prefixes) > 0 {
		program.prefixes[0].drop()
	}
	table.removeFromShard(program)
	table.revive(program)
	table.recent.Remove(program.element)
	delete(table.byName, program.name)
}
