package enginemodel

import "container/heap"

// sequence is one request inside the engine, waiting or running.
type sequence struct {
	request Request
	// order is the submission order and breaks ties of priority.
	order uint64
	// place is the index in the waiting heap, -1 while running.
	place int
	// blocks are the cache blocks in prefix order; the first shared ones have
	// been computed and offered for reuse, and hash is the last one's.
	blocks []int32
	shared int
	hash   uint64
	// computed counts the tokens whose KV entries stand in blocks.
	computed int
	// produced counts the output tokens already given out. The next token can
	// be produced once computed reaches prompt + produced.
	produced int
	// planned is how many tokens the step under way computes.
	planned int
	// cached is what the first admission found in the cache, in tokens.
	cached   int
	admitted bool
	removed  bool
}

// goal is how many tokens must be computed before the next one is produced.
func (item *sequence) goal() int { return item.request.PromptTokens + item.produced }

// decoding tells that only the token produced last is left to compute.
func (item *sequence) decoding() bool {
	return item.produced > 0 && item.goal()-item.computed == 1
}

// blockHash returns the hash of the block at position, which follows the one
// hashed previous; false when that block can't be shared.
func (item *sequence) blockHash(position int, previous uint64) (uint64, bool) {
	prefix := item.request.Prefix
	if position < len(prefix) {
		return prefix[position], true
	}
	if item.request.OutputBlocks == nil {
		return ChainHash(previous, item.request.OutputSeed), true
	}
	place := position - len(prefix)
	if place < len(item.request.OutputBlocks) {
		return item.request.OutputBlocks[place], true
	}
	return 0, false
}

// before tells whether item runs before other: priority, then submission.
func (item *sequence) before(other *sequence) bool {
	if item.request.Priority != other.request.Priority {
		return item.request.Priority > other.request.Priority
	}
	return item.order < other.order
}

// waitingQueue is a heap of waiting sequences, the next to run first.
type waitingQueue []*sequence

// Len implements heap.Interface.
func (queue waitingQueue) Len() int { return len(queue) }

// Less implements heap.Interface.
func (queue waitingQueue) Less(left, right int) bool { return queue[left].before(queue[right]) }

// Swap implements heap.Interface.
func (queue waitingQueue) Swap(left, right int) {
	queue[left], queue[right] = queue[right], queue[left]
	queue[left].place = left
	queue[right].place = right
}

// Push implements heap.Interface.
func (queue *waitingQueue) Push(item any) {
	added := item.(*sequence)
	added.place = len(*queue)
	*queue = append(*queue, added)
}

// Pop implements heap.Interface.
func (queue *waitingQueue) Pop() any {
	last := len(*queue) - 1
	item := (*queue)[last]
	(*queue)[last] = nil
	*queue = (*queue)[:last]
	item.place = -1
	return item
}

func (queue *waitingQueue) add(item *sequence) { heap.Push(queue, item) }

func (queue *waitingQueue) remove(item *sequence) { heap.Remove(queue, item.place) }
