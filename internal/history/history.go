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

// Store is a size-bounded in-memory LRU cache of turns. It is safe for concurrent use.
type Store struct {
	mutex    sync.Mutex
	turns    map[Key]*list.Element
	lru      *list.List // of *entry, most recently used first
	bytes    int
	maxBytes int
	evicted  bool
}

// entry is a turn with the end of its retention.
type entry struct {
	turn      *Turn
	keepUntil time.Time
}

// NewStore returns an empty store of about maxBytes.
func NewStore(maxBytes int) *Store {
	return &Store{turns: map[Key]*list.Element{}, lru: list.New(), maxBytes: maxBytes}
}

// Add adds a turn and extends the retention of the chain before it. It does not replace
// a turn that is already stored.
func (store *Store) Add(turn *Turn) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if existing := store.turns[turn.Key()]; existing != nil {
		return
	}
	keepUntil := turn.EndedAt.Add(turn.Retention + retentionMargin)
	store.turns[turn.Key()] = store.lru.PushFront(&entry{turn: turn, keepUntil: keepUntil})
	store.bytes += turn.size()
	store.extendRetention(turn.previousKey(turn.Tenant), keepUntil)
	for store.bytes > store.maxBytes && store.lru.Len() > 1 {
		store.evicted = true
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
			store.remove(element)
		}
		element = previous
	}
}

// Evicted reports whether a turn has ever been evicted for lack of space. If so, a turn
// that is not stored may still exist.
func (store *Store) Evicted() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.evicted
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
