// Package history keeps turns of agent programs: facts that never change, each
// named by its request's id, chained by their predecessors.
package history

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/region"
)

// Turn is one finished turn.
type Turn struct {
	ID string
	// Tenant is whose turn it is, empty where no tenants were configured.
	Tenant  string
	Program string
	// PreviousID is the id of the turn that this one goes on from, empty at the
	// start of a line.
	PreviousID string
	// Input is what the caller sent, Output what it was given, as the next
	// prompt repeats them.
	Input  []byte
	Output []byte
	// Ended is the end of the answer.
	Ended time.Time
	// Retention is how long the turn, with its chain, must be kept from then on.
	Retention time.Duration
	// Zones are those in which nodes may get the turn from the one that served it; it is
	// not recorded.
	Zones region.ZoneSet
}

// Key names a turn: another tenant's turn is none, also under the same id.
type Key struct {
	// Tenant is empty for a call without a tenant.
	Tenant string
	ID     string
}

// Key returns the turn's name.
func (turn *Turn) Key() Key { return Key{Tenant: turn.Tenant, ID: turn.ID} }

// before names the turn that this one goes on from, for a line that a tenant asks for.
func (turn *Turn) before(asker string) Key { return Key{Tenant: asker, ID: turn.PreviousID} }

// size is what the turn holds in memory, bytes.
func (turn *Turn) size() int {
	return len(turn.ID) + len(turn.Tenant) + len(turn.Program) + len(turn.PreviousID) + len(turn.Input) + len(turn.Output) + turnOverhead
}

const (
	// turnOverhead is a turn's share of the indexes, bytes.
	turnOverhead = 256
	// maxChain bounds the length of a chain, so that a damaged record can't
	// make a loop.
	maxChain = 4096
	// retentionMargin is added to a turn's retention for clocks that differ.
	retentionMargin = 10 * time.Second
)

// Store holds turns in memory within a bound; the least recently used go first.
// It is safe for concurrent use.
type Store struct {
	mutex    sync.Mutex
	turns    map[Key]*list.Element
	recent   *list.List // of *entry, most recently used first
	bytes    int
	maxBytes int
	evicted  bool
}

// entry is a turn with the time until which it must be kept.
type entry struct {
	turn *Turn
	keep time.Time
}

// NewStore returns an empty store that holds about maxBytes.
func NewStore(maxBytes int) *Store {
	return &Store{turns: map[Key]*list.Element{}, recent: list.New(), maxBytes: maxBytes}
}

// Add keeps a turn and, as long as it, the chain before it. A turn that is
// known already is left as it is.
func (store *Store) Add(turn *Turn) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if known := store.turns[turn.Key()]; known != nil {
		return
	}
	keep := turn.Ended.Add(turn.Retention + retentionMargin)
	store.turns[turn.Key()] = store.recent.PushFront(&entry{turn: turn, keep: keep})
	store.bytes += turn.size()
	store.extend(turn.before(turn.Tenant), keep)
	for store.bytes > store.maxBytes && store.recent.Len() > 1 {
		store.evicted = true
		store.drop(store.recent.Back())
	}
}

// find returns what the store holds of a tenant's turn, nil for nothing. A turn that
// was recorded before there were tenants belongs to whoever names it.
func (store *Store) find(key Key) *list.Element {
	if element := store.turns[key]; element != nil {
		return element
	}
	return store.turns[Key{ID: key.ID}]
}

// extend keeps the chain that ends with a turn at least until keep.
func (store *Store) extend(key Key, keep time.Time) {
	for length := 0; length < maxChain; length++ {
		element := store.find(key)
		if element == nil {
			return
		}
		held := element.Value.(*entry)
		if !held.keep.Before(keep) {
			return
		}
		held.keep = keep
		key = held.turn.before(key.Tenant)
	}
}

func (store *Store) drop(element *list.Element) {
	held := store.recent.Remove(element).(*entry)
	delete(store.turns, held.turn.Key())
	store.bytes -= held.turn.size()
}

// Chain returns the turns of the line that ends with a turn, the oldest first. It
// returns false, with the first turn that is missing, where one is not held.
func (store *Store) Chain(key Key) (chain []*Turn, missing Key, complete bool) {
	line, missing := store.walk(key)
	if missing.ID != "" {
		return nil, missing, false
	}
	return line, Key{}, true
}

// PartialChain returns the turns of the line that ends with a turn as far back as they are
// held, the oldest first.
func (store *Store) PartialChain(key Key) []*Turn {
	line, _ := store.walk(key)
	return line
}

// walk goes back from a turn to the start of its line, or to the first turn that is
// missing.
func (store *Store) walk(key Key) (line []*Turn, missing Key) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for key.ID != "" && len(line) < maxChain {
		element := store.find(key)
		if element == nil {
			missing = key
			break
		}
		store.recent.MoveToFront(element)
		turn := element.Value.(*entry).turn
		line = append(line, turn)
		key = turn.before(key.Tenant)
	}
	slices.Reverse(line)
	return line, missing
}

// Expire drops turns whose retention is over at now.
func (store *Store) Expire(now time.Time) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for element := store.recent.Back(); element != nil; {
		before := element.Prev()
		if now.After(element.Value.(*entry).keep) {
			store.drop(element)
		}
		element = before
	}
}

// Evicted tells whether a turn ever went for want of room, so that a turn that
// is not held may have existed.
func (store *Store) Evicted() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.evicted
}

// Size returns the number of turns held and their bytes.
func (store *Store) Size() (turns, bytes int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.recent.Len(), store.bytes
}

// BuildPrompt returns the chain's inputs and outputs in order, then the new input.
func BuildPrompt(chain []*Turn, input []byte) []byte {
	length := len(input)
	for _, turn := range chain {
		length += len(turn.Input) + len(turn.Output)
	}
	prompt := make([]byte, 0, length)
	for _, turn := range chain {
		prompt = append(prompt, turn.Input...)
		prompt = append(prompt, turn.Output...)
	}
	return append(prompt, input...)
}
