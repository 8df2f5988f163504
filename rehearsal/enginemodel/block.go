package enginemodel

import "time"

// none marks the end of a block list.
const none = int32(-1)

// block is one cache block. Blocks are addressed by index in the pool's slice.
type block struct {
	hash uint64
	// owner is the program that used the block last.
	owner string
	// position is the block's place in its prefix, from 0.
	position int32
	// references counts the running requests that use the block.
	references int32
	// previous and next link the idle blocks, least recently used first; next
	// also links the free blocks.
	previous, next int32
	heldSince      time.Duration
	idleSince      time.Duration
	// shared is true once the block can be found by its hash.
	shared bool
	reused bool
}

// pool is the bounded block cache. A block is free, or referenced by running
// requests, or idle: kept for reuse until it is evicted or released.
type pool struct {
	blocks    []block
	byHash    map[uint64]int32
	owned     map[string]int
	freeHead  int32
	free      int
	idleFirst int32
	idleLast  int32
	idle      int
	evictions uint64
	usage     usage
}

func newPool(size int) *pool {
	cache := &pool{
		blocks:    make([]block, size),
		byHash:    make(map[uint64]int32, size),
		owned:     make(map[string]int),
		freeHead:  none,
		idleFirst: none,
		idleLast:  none,
		free:      size,
	}
	for index := size - 1; index >= 0; index-- {
		cache.blocks[index].next = cache.freeHead
		cache.freeHead = int32(index)
	}
	return cache
}

// available is how many blocks allocate can hand out.
func (cache *pool) available() int { return cache.free + cache.idle }

// allocate takes a free block, evicting the least recently used idle one where
// none is free, and references it once. It returns none when every block is
// referenced.
func (cache *pool) allocate(now time.Duration, owner string, position int) int32 {
	if cache.free == 0 {
		if cache.idleFirst == none {
			return none
		}
		cache.evictions++
		cache.drop(now, cache.idleFirst)
	}
	index := cache.freeHead
	cache.freeHead = cache.blocks[index].next
	cache.free--
	cache.blocks[index] = block{
		owner:      owner,
		position:   int32(position),
		references: 1,
		previous:   none,
		next:       none,
		heldSince:  now,
	}
	cache.owned[owner]++
	cache.usage.hold(now)
	return index
}

// share makes a computed block findable by its hash. A block whose hash is
// already there stays private to its request.
func (cache *pool) share(index int32, hash uint64) {
	if _, found := cache.byHash[hash]; found {
		return
	}
	cache.byHash[hash] = index
	cache.blocks[index].hash = hash
	cache.blocks[index].shared = true
}

// reference adds a user to a shared block and moves it to the user's program.
// countReuse is false for a request that finds its own blocks again.
func (cache *pool) reference(index int32, owner string, countReuse bool) {
	entry := &cache.blocks[index]
	if entry.references == 0 {
		cache.unlinkIdle(index)
		cache.usage.leaveIdle(entry.idleSince)
	}
	entry.references++
	cache.setOwner(entry, owner)
	if countReuse && !entry.reused {
		entry.reused = true
		cache.usage.markReused(entry.heldSince)
	}
}

// dereference removes a user. A shared block without users becomes idle; a
// private one is freed.
func (cache *pool) dereference(now time.Duration, index int32) {
	entry := &cache.blocks[index]
	entry.references--
	if entry.references > 0 {
		return
	}
	entry.idleSince = now
	cache.usage.enterIdle(now)
	cache.linkIdle(index)
	if !entry.shared {
		cache.drop(now, index)
	}
}

// drop frees an idle block.
func (cache *pool) drop(now time.Duration, index int32) {
	entry := &cache.blocks[index]
	cache.unlinkIdle(index)
	cache.usage.free(now, entry)
	if entry.shared {
		delete(cache.byHash, entry.hash)
	}
	cache.disown(entry.owner)
	entry.shared = false
	entry.owner = ""
	entry.next = cache.freeHead
	cache.freeHead = index
	cache.free++
}

// release frees the idle blocks that program owns and returns their number.
func (cache *pool) release(now time.Duration, program string) int {
	if cache.owned[program] == 0 {
		return 0
	}
	freed := 0
	for index := cache.idleFirst; index != none; {
		next := cache.blocks[index].next
		if cache.blocks[index].owner == program {
			cache.drop(now, index)
			freed++
		}
		index = next
	}
	return freed
}

func (cache *pool) setOwner(entry *block, owner string) {
	if entry.owner == owner {
		return
	}
	cache.disown(entry.owner)
	entry.owner = owner
	cache.owned[owner]++
}

func (cache *pool) disown(owner string) {
	cache.owned[owner]--
	if cache.owned[owner] == 0 {
		delete(cache.owned, owner)
	}
}

func (cache *pool) linkIdle(index int32) {
	entry := &cache.blocks[index]
	entry.previous = cache.idleLast
	entry.next = none
	if cache.idleLast == none {
		cache.idleFirst = index
	} else {
		cache.blocks[cache.idleLast].next = index
	}
	cache.idleLast = index
	cache.idle++
}

func (cache *pool) unlinkIdle(index int32) {
	entry := &cache.blocks[index]
	if entry.previous == none {
		cache.idleFirst = entry.next
	} else {
		cache.blocks[entry.previous].next = entry.next
	}
	if entry.next == none {
		cache.idleLast = entry.previous
	} else {
		cache.blocks[entry.next].previous = entry.previous
	}
	entry.previous = none
	entry.next = none
	cache.idle--
}
