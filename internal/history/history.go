// Package history stores finished turns of agent programs. A turn is immutable,
// identified by its request's ID, and linked to its predecessor, forming a chain.
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
	// Tenant is the owner of the turn, empty if no tenants were configured.
	Tenant  string
	Program string
	// PreviousID is the ID of the turn that this one continues, empty at the start of
	// a chain.
	PreviousID string
	// Input is the caller's input and Output the model's, as they appear in the next
	// prompt.
	Input  []byte
	Output []byte
	// EndedAt is when the response was complete.
	EndedAt time.Time
	// Retention is how long after Ended the turn and its chain must be kept.
	Retention time.Duration
	// RecordedAt is when the turn was recorded again, as it was about to leave the log; zero if
	// EndedAt is when it was last recorded.
	RecordedAt time.Time
	// Zones are those whose nodes may fetch the turn from the node that served it. It is
	// not recorded in the log.
	Zones region.ZoneSet
}

// Key identifies a turn. Tenants may use the same ID for different turns.
type Key struct {
	// Tenant is empty for a call without a tenant.
	Tenant string
	ID     string
}

// Key returns the turn's key.
func (turn *Turn) Key() Key { return Key{Tenant: turn.Tenant, ID: turn.ID} }

// previousKey returns the key of the turn that this one continues, in a chain requested
// by a tenant.
func (turn *Turn) previousKey(tenant string) Key { return Key{Tenant: tenant, ID: turn.PreviousID} }

// lastRecorded returns when the turn was last known to be recorded.
func (turn *Turn) lastRecorded() time.Time {
	if turn.RecordedAt.After(turn.EndedAt) {
		return turn.RecordedAt
	}
	return turn.EndedAt
}

// size returns the turn's memory use in bytes.
func (turn *Turn) size() int {
	return len(turn.ID) + len(turn.Tenant) + len(turn.Program) + len(turn.PreviousID) + len(turn.Input) + len(turn.Output) + turnOverhead
}

const (
	// turnOverhead is the memory that the indexes need for a turn, in bytes.
	turnOverhead = 256
	// maxChain bounds the length of a chain, so that a corrupt record cannot cause
	// an endless loop.
	maxChain = 4096
	// retentionMargin is added to a turn's retention to allow for clock skew.
	retentionMargin = 10 * time.Second
)

// Store is a size-bounded in-memory LRU cache of turns. For the turns that it drops, it keeps where
// the log has them. It is safe for concurrent use.
type Store struct {
	mutex    sync.Mutex
	turns    map[Key]*list.Element
	lru      *list.List // of *entry, most recently used first
	bytes    int
	maxBytes int
	dropped  *recordIndex
	counts   DropCounts
}

// DropCounts counts the turns that a store has dropped.
type DropCounts struct {
	// Expired turns were dropped at the end of their retention, Evicted ones for lack of space.
	Expired, Evicted int
}

// entry is a turn with the end of its retention and, once it was read from the log, its location
// there.
type entry struct {
	turn      *Turn
	keepUntil time.Time
	location  Location
	located   bool
}

// indexShare is the share of a store's size for the locations of dropped turns, as a divisor.
const indexShare = 8

// NewStore returns an empty store of about maxBytes.
func NewStore(maxBytes int) *Store {
	return &Store{turns: map[Key]*list.Element{}, lru: list.New(), maxBytes: maxBytes, dropped: newRecordIndex(maxBytes / indexShare)}
}

// Add adds a turn and extends the retention of the chain before it. A turn that is already stored is
// replaced only by a copy that was recorded later.
func (store *Store) Add(turn *Turn) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.add(turn)
}

// AddRecorded is Add for a turn that was read from the log.
func (store *Store) AddRecorded(turn *Turn, location Location) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.add(turn).setLocation(location)
}

func (store *Store) add(turn *Turn) *entry {
	if existing := store.turns[turn.Key()]; existing != nil {
		stored := existing.Value.(*entry)
		if turn.lastRecorded().After(stored.turn.lastRecorded()) {
			stored.turn = turn
			stored.keepUntil = latest(stored.keepUntil, turn.keepUntil())
		}
		return stored
	}
	added := &entry{turn: turn, keepUntil: turn.keepUntil()}
	added.location, added.located = store.dropped.take(turn.Key())
	store.turns[turn.Key()] = store.lru.PushFront(added)
	store.bytes += turn.size()
	store.extendRetention(turn.previousKey(turn.Tenant), added.keepUntil)
	store.evict()
	return added
}

// keepUntil returns when the turn's retention ends unless a later turn of its chain extends it.
func (turn *Turn) keepUntil() time.Time {
	return turn.lastRecorded().Add(turn.Retention + retentionMargin)
}

func latest(left, right time.Time) time.Time {
	if left.After(right) {
		return left
	}
	return right
}

// setLocation sets the location, unless a later record of the same partition is known.
func (stored *entry) setLocation(location Location) {
	if stored.located && stored.location.Shard == location.Shard && stored.location.Offset > location.Offset {
		return
	}
	stored.location = location
	stored.located = true
}

// evict removes the least recently used turns while the store is too large.
func (store *Store) evict() {
	for store.bytes > store.maxBytes && store.lru.Len() > 1 {
		store.counts.Evicted++
		store.remove(store.lru.Back())
	}
}

// find returns the element of a tenant's turn, nil if it is not stored. A turn that was
// recorded without a tenant is visible to every tenant.
func (store *Store) find(key Key) *list.Element {
	if element := store.turns[key]; element != nil {
		return element
	}
	return store.turns[Key{ID: key.ID}]
}

// extendRetention extends the retention of the chain that ends with a turn.
func (store *Store) extendRetention(key Key, keepUntil time.Time) {
	for length := 0; length < maxChain; length++ {
		element := store.find(key)
		if element == nil {
			return
		}
		stored := element.Value.(*entry)
		if !stored.keepUntil.Before(keepUntil) {
			return
		}
		stored.keepUntil = keepUntil
		key = stored.turn.previousKey(key.Tenant)
	}
}

func (store *Store) remove(element *list.Element) {
	removed := store.lru.Remove(element).(*entry)
	delete(store.turns, removed.turn.Key())
	store.bytes -= removed.turn.size()
	if removed.located {
		store.dropped.add(removed.turn, removed.location)
	}
}

// droppedChain returns the locations of the chain that ends with a turn, newest first, back to the
// first turn that the store has not dropped.
func (store *Store) droppedChain(key Key) []Location {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.dropped.chain(key)
}

// observeFirstOffset updates the oldest retained offset of a partition.
func (store *Store) observeFirstOffset(shard int, offset int64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.dropped.observeFirstOffset(shard, offset)
}

// forgetful reports whether a partition may hold turns that were dropped and whose locations were
// dropped too.
func (store *Store) forgetful(shard int) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.dropped.forgetful(shard)
}

// Chain returns the chain that ends with a turn, oldest first. If the chain is not
// complete, it returns false and the newest turn that is missing.
func (store *Store) Chain(key Key) (chain []*Turn, missing Key, complete bool) {
	found, missing := store.walk(key)
	if missing.ID != "" {
		return nil, missing, false
	}
	return found, Key{}, true
}

// PartialChain returns the stored part of the chain that ends with a turn, back to the
// newest turn that is missing, oldest first.
func (store *Store) PartialChain(key Key) []*Turn {
	chain, _ := store.walk(key)
	return chain
}

// walk follows a chain backwards to its start or to a turn that is missing.
func (store *Store) walk(key Key) (chain []*Turn, missing Key) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for key.ID != "" && len(chain) < maxChain {
		element := store.find(key)
		if element == nil {
			missing = key
			break
		}
		store.lru.MoveToFront(element)
		turn := element.Value.(*entry).turn
		chain = append(chain, turn)
		key = turn.previousKey(key.Tenant)
	}
	if len(chain) == maxChain {
		missing = key
	}
	slices.Reverse(chain)
	return chain, missing
}

// Expire removes the turns whose retention has ended.
func (store *Store) Expire(now time.Time) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for element := store.lru.Back(); element != nil; {
		previous := element.Prev()
		if now.After(element.Value.(*entry).keepUntil) {
			store.counts.Expired++
			store.remove(element)
		}
		element = previous
	}
}

// Dropped returns how many turns the store has dropped.
func (store *Store) Dropped() DropCounts {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.counts
}

// DroppedLocations returns of how many dropped turns the store knows where the log has them.
func (store *Store) DroppedLocations() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return len(store.dropped.entries)
}

// Size returns the number of turns stored and their size in bytes.
func (store *Store) Size() (turns, bytes int) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.lru.Len(), store.bytes
}

// BuildPrompt concatenates the chain's inputs and outputs in order and the new input.
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
