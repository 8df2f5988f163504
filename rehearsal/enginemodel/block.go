package enginemodel

import "time"

// noBlock marks the end of a block list and a failed allocation.
const noBlock = int32(-1)

// block is one KV cache block, addressed by its index in blockCache.blocks.
type block struct {
	hash uint64
	// owner is the program that used the block last.
	owner string
	// position is the index of the block in its prefix, from 0.
	position int32
	// refCount is the number of running requests that use the block.
	refCount int32
	// previous and next link the idle blocks in LRU order; next also links the
	// free list.
	previous, next int32
	heldSince      time.Duration
	idleSince      time.Duration
	// registered is true while the block is in blockCache.byHash.
	registered bool
	reused     bool
}

// blockCache is a KV cache of a fixed number of blocks. A block is either free,
// referenced by running requests, or idle: unreferenced, but kept for reuse
// until it is evicted or released.
type blockCache struct {
	blocks        []block
	byHash        map[uint64]int32
	blocksByOwner map[string]int
	freeHead      int32
	freeCount     int
	idleHead      int32
	idleTail      int32
	idleCount     int
	evictions     uint64
	usage         blockUsage
}

func newBlockCache(size int) *blockCache {
	cache := &blockCache{
		blocks:        make([]block, size),
		byHash:        make(map[uint64]int32, size),
		blocksByOwner: make(map[string]int),
		freeHead:      noBlock,
		idleHead:      noBlock,
		idleTail:      noBlock,
		freeCount:     size,
	}
	for index := size - 1; index >= 0; index-- {
		cache.blocks[index].next = cache.freeHead
		cache.freeHead = int32(index)
	}
	return cache
}

// available returns the number of blocks that allocate can return.
func (cache *blockCache) available() int { return cache.freeCount + cache.idleCount }

// allocate returns a free block with a reference count of 1. If no block is
// free, it evicts the least recently used idle block. It returns noBlock when
// every block is referenced.
func (cache *blockCache) allocate(now time.Duration, owner string, position int) int32 {
	if cache.freeCount == 0 {
		if cache.idleHead == noBlock {
			return noBlock
		}
		cache.evictions++
		cache.freeBlock(now, cache.idleHead)
	}
	index := cache.freeHead
	cache.freeHead = cache.blocks[index].next
	cache.freeCount--
	cache.blocks[index] = block{
		owner:     owner,
		position:  int32(position),
		refCount:  1,
		previous:  noBlock,
		next:      noBlock,
		heldSince: now,
	}
	cache.blocksByOwner[owner]++
	cache.usage.allocated(now)
	return index
}

// registerHash makes a computed block available for reuse under its hash. If
// another block is registered under that hash, this one stays private to its
// request.
func (cache *blockCache) registerHash(index int32, hash uint64) {
	if _, found := cache.byHash[hash]; found {
		return
	}
	cache.byHash[hash] = index
	cache.blocks[index].hash = hash
	cache.blocks[index].registered = true
}

// addReference increments the block's reference count and makes owner its
// owner. countReuse is false if the block must not count as reused, as for a
// preempted request that finds its own blocks.
func (cache *blockCache) addReference(index int32, owner string, countReuse bool) {
	entry := &cache.blocks[index]
	if entry.refCount == 0 {
		cache.unlinkIdle(index)
		cache.usage.reusedFromIdle(entry.idleSince)
	}
	entry.refCount++
	cache.setOwner(entry, owner)
	if countReuse && !entry.reused {
		entry.reused = true
		cache.usage.markReused(entry.heldSince)
	}
}

// removeReference decrements the block's reference count. At zero, a registered
// block becomes idle and an unregistered one is freed.
func (cache *blockCache) removeReference(now time.Duration, index int32) {
	entry := &cache.blocks[index]
	entry.refCount--
	if entry.refCount > 0 {
		return
	}
	entry.idleSince = now
	cache.usage.becameIdle(now)
	cache.linkIdle(index)
	if !entry.registered {
		cache.freeBlock(now, index)
	}
}

// freeBlock moves an idle block to the free list.
func (cache *blockCache) freeBlock(now time.Duration, index int32) {
	entry := &cache.blocks[index]
	cache.unlinkIdle(index)
	cache.usage.freed(now, entry)
	if entry.registered {
		delete(cache.byHash, entry.hash)
	}
	cache.decrementOwned(entry.owner)
	entry.registered = false
	entry.owner = ""
	entry.next = cache.freeHead
	cache.freeHead = index
	cache.freeCount++
}

// freeIdleOf frees the idle blocks that program owns and returns their number.
func (cache *blockCache) freeIdleOf(now time.Duration, program string) int {
	if cache.blocksByOwner[program] == 0 {
		return 0
	}
	freed := 0
	for index := cache.idleHead; index != noBlock; {
		next := cache.blocks[index].next
		if cache.blocks[index].owner == program {
			cache.freeBlock(now, index)
			freed++
		}
		index = next
	}
	return freed
}

func (cache *blockCache) setOwner(entry *block, owner string) {
	if entry.owner == owner {
		return
	}
	cache.decrementOwned(entry.owner)
	entry.owner = owner
	cache.blocksByOwner[owner]++
}

func (cache *blockCache) decrementOwned(owner string) {
	cache.blocksByOwner[owner]--
	if cache.blocksByOwner[owner] == 0 {
		delete(cache.blocksByOwner, owner)
	}
}

func (cache *blockCache) linkIdle(index int32) {
	entry := &cache.blocks[index]
	entry.previous = cache.idleTail
	entry.next = noBlock
	if cache.idleTail == noBlock {
		cache.idleHead = index
	} else {
		cache.blocks[cache.idleTail].next = index
	}
	cache.idleTail = index
	cache.idleCount++
}

func (cache *blockCache) unlinkIdle(index int32) {
	entry := &cache.blocks[index]
	if entry.previous == noBlock {
		cache.idleHead = entry.next
	} else {
		cache.blocks[entry.previous].next = entry.next
	}
	if entry.next == noBlock {
		cache.idleTail = entry.previous
	} else {
		cache.blocks[entry.next].previous = entry.previous
	}
	entry.previous = noBlock
	entry.next = noBlock
	cache.idleCount--
}
