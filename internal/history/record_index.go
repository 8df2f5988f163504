package history

import (
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

// indexEntryBytes is the memory that an index entry needs, with its place in the order.
const indexEntryBytes = 96

// recordIndex holds where the log has the turns that a store has dropped, so that one of them costs
// a read of one record, and a turn that never existed costs none. It is bounded: the entries added
// first are forgotten first, as the log also drops their records first. It is not safe for concurrent
// use.
type recordIndex struct {
	// entries holds the entries by the hash of the turn's key.
	entries map[uint64]indexEntry
	// order holds the additions, oldest first from position head on. An addition is stale if its entry
	// was removed or added again since.
	order      []indexAddition
	head       int
	additions  uint32
	maxEntries int
	// firstOffsets holds the oldest retained offset of each partition as last seen.
	firstOffsets map[int]int64
	// forgotten holds for each partition the offset after the highest one whose entry was forgotten for
	// lack of space.
	forgotten map[int]int64
}

// indexEntry is the location of a turn's record, in few bytes.
type indexEntry struct {
	// previous is the hash of the turn's predecessor, 0 at the start of a chain.
	previous uint64
	offset   int64
	size     uint32
	addition uint32
	shard    uint32
}

// indexAddition is the addition of an entry.
type indexAddition struct {
	hash     uint64
	addition uint32
}

func (entry indexEntry) location() Location {
	return Location{Shard: int(entry.shard), Offset: entry.offset, Size: int(entry.size)}
}

func newRecordIndex(maxBytes int) *recordIndex {
	return &recordIndex{
		entries:      map[uint64]indexEntry{},
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
	index.additions++
	index.entries[hash] = indexEntry{
		previous: turn.previousKey(turn.Tenant).hash(),
		offset:   location.Offset,
		size:     uint32(location.Size),
		addition: index.additions,
		shard:    uint32(location.Shard),
	}
	index.order = append(index.order, indexAddition{hash: hash, addition: index.additions})
	index.removeOldest()
}

// removeOldest removes the oldest entries whose records the log has dropped, and those that exceed the
// bound.
func (index *recordIndex) removeOldest() {
	for index.head < len(index.order) {
		oldest := index.order[index.head]
		entry, found := index.entries[oldest.hash]
		current := found && entry.addition == oldest.addition
		switch {
		case !current:
		case index.trimmed(entry):
			delete(index.entries, oldest.hash)
		case len(index.entries) > index.maxEntries:
			delete(index.entries, oldest.hash)
			shard := int(entry.shard)
			index.forgotten[shard] = max(index.forgotten[shard], entry.offset+1)
		default:
			index.compactOrder()
			return
		}
		index.head++
	}
	index.compactOrder()
}

// compactOrder drops the additions that are stale once they are the most.
func (index *recordIndex) compactOrder() {
	const minOrder = 1024
	if len(index.order) < max(2*len(index.entries), minOrder) {
		return
	}
	kept := make([]indexAddition, 0, len(index.entries)+len(index.entries)/2)
	for _, addition := range index.order[index.head:] {
		if index.entries[addition.hash].addition == addition.addition {
			kept = append(kept, addition)
		}
	}
	index.order = kept
	index.head = 0
}

// trimmed reports whether the log has dropped an entry's record.
func (index *recordIndex) trimmed(entry indexEntry) bool {
	return entry.offset < index.firstOffsets[int(entry.shard)]
}

// take removes and returns the location of a turn.
func (index *recordIndex) take(key Key) (Location, bool) {
	hash := key.hash()
	entry, found := index.find(hash)
	if !found {
		return Location{}, false
	}
	delete(index.entries, hash)
	return entry.location(), true
}

// find returns the entry of a turn, false if there is none or if the log has dropped the record.
func (index *recordIndex) find(hash uint64) (indexEntry, bool) {
	entry, found := index.entries[hash]
	return entry, found && !index.trimmed(entry)
}

// chain returns the locations of the chain that ends with a tenant's turn, newest first, back to the
// first turn that is not indexed.
func (index *recordIndex) chain(key Key) []Location {
	entry, found := index.find(key.hash())
	if !found && key.Tenant != "" {
		entry, found = index.find(Key{ID: key.ID}.hash())
	}
	var locations []Location
	for found && len(locations) < maxChain {
		locations = append(locations, entry.location())
		entry, found = index.find(entry.previous)
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
