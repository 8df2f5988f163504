package history

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// Location is the position of a turn's record in the log.
type Location struct {
	// Shard is the number of the partition.
	Shard  int
	Offset int64
	// Size is that of the record in bytes.
	Size int
}

// indexEntryBytes is the memory that an index entry needs.
const indexEntryBytes = 192

// recordIndex holds where the log has the turns that a store has dropped, so that one of them costs
// a read of one record, and a turn that never existed costs none. It is bounded: the entries added
// first are forgotten first, as the log also drops their records first. It is not safe for concurrent
// use.
type recordIndex struct {
	entries    map[uint64]*list.Element
	order      *list.List // of *indexEntry, added first at the front
	maxEntries int
	// firstOffsets holds the oldest retained offset of each partition as last seen.
	firstOffsets map[int]int64
	// forgotten holds the highest offset of each partition whose entry was forgotten for lack of
	// space.
	forgotten map[int]int64
}

// indexEntry is the location of a turn's record.
type indexEntry struct {
	hash     uint64
	location Location
	// previous is the hash of the turn's predecessor, 0 at the start of a chain.
	previous uint64
}

func newRecordIndex(maxBytes int) *recordIndex {
	return &recordIndex{
		entries:      map[uint64]*list.Element{},
		order:        list.New(),
		maxEntries:   max(maxBytes/indexEntryBytes, 1),
		firstOffsets: map[int]int64{},
		forgotten:    map[int]int64{},
	}
}

// hash returns the key's hash, 0 for an empty id.
func (key Key) hash() uint64 {
	if key.ID == "" {
		return 0
	}
	return xxhash.Sum64String(key.Tenant + "\x00" + key.ID)
}

// add adds the location of a turn.
func (index *recordIndex) add(turn *Turn, location Location) {
	hash := turn.Key().hash()
	index.remove(hash)
	entry := &indexEntry{hash: hash, location: location, previous: turn.previousKey(turn.Tenant).hash()}
	index.entries[hash] = index.order.PushBack(entry)
	index.removeTrimmed()
	for len(index.entries) > index.maxEntries {
		index.forgetOldest()
	}
}

// removeTrimmed removes the oldest entries whose records the log has dropped.
func (index *recordIndex) removeTrimmed() {
	for front := index.order.Front(); front != nil; front = index.order.Front() {
		entry := front.Value.(*indexEntry)
		if entry.location.Offset >= index.firstOffsets[entry.location.Shard] {
			return
		}
		index.remove(entry.hash)
	}
}

func (index *recordIndex) forgetOldest() {
	entry := index.order.Front().Value.(*indexEntry)
	index.remove(entry.hash)
	shard := entry.location.Shard
	index.forgotten[shard] = max(index.forgotten[shard], entry.location.Offset+1)
}

func (index *recordIndex) remove(hash uint64) {
	element := index.entries[hash]
	if element == nil {
		return
	}
	index.order.Remove(element)
	delete(index.entries, hash)
}

// take removes and returns the location of a turn.
func (index *recordIndex) take(key Key) (Location, bool) {
	entry := index.find(key.hash())
	if entry == nil {
		return Location{}, false
	}
	index.remove(entry.hash)
	return entry.location, true
}

// find returns the entry of a turn, nil if there is none or if the log has dropped the record.
func (index *recordIndex) find(hash uint64) *indexEntry {
	element := index.entries[hash]
	if element == nil {
		return nil
	}
	entry := element.Value.(*indexEntry)
	if entry.location.Offset < index.firstOffsets[entry.location.Shard] {
		return nil
	}
	return entry
}

// chain returns the locations of the chain that ends with a tenant's turn, newest first, back to the
// first turn that is not indexed.
func (index *recordIndex) chain(key Key) []Location {
	entry := index.find(key.hash())
	if entry == nil && key.Tenant != "" {
		entry = index.find(Key{ID: key.ID}.hash())
	}
	var locations []Location
	for entry != nil && len(locations) < maxChain {
		locations = append(locations, entry.location)
		entry = index.find(entry.previous)
	}
	return locations
}

// observeFirstOffset updates the oldest retained offset of a partition.
func (index *recordIndex) observeFirstOffset(shard int, offset int64) {
	index.firstOffsets[shard] = max(index.firstOffsets[shard], offset)
}

// forgetful reports whether a partition may hold turns that the index has forgotten.
func (index *recordIndex) forgetful(shard int) bool {
	return index.forgotten[shard] > index.firstOffsets[shard]
}
