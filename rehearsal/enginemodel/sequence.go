package enginemodel

import "container/heap"

// sequence is the state of one waiting or running request.
type sequence struct {
	request Request
	// order is the submission number; it breaks ties of priority.
	order uint64
	// heapIndex is the index in the waiting queue, -1 while running.
	heapIndex int
	// blocks are the cache blocks in prefix order. The first registeredBlocks of
	// them are computed; lastHash is the hash of the last registered one.
	blocks           []int32
	registeredBlocks int
	lastHash         uint64
	// computedTokens is the number of tokens whose KV entries are in blocks.
	computedTokens int
	// producedTokens is the number of output tokens returned so far.
	producedTokens int
	// plannedTokens is the number of tokens that the current step computes.
	plannedTokens int
	// cachedTokens is the number of prompt tokens found in the cache at the
	// first admission.
	cachedTokens int
	admitted     bool
	preempted    bool
}

// targetTokens returns the number of tokens that must be computed before the
// next one can be produced.
func (seq *sequence) targetTokens() int { return seq.request.PromptTokens + seq.producedTokens }

// decoding reports whether only the last produced token remains to be computed.
func (seq *sequence) decoding() bool {
	return seq.producedTokens > 0 && seq.targetTokens()-seq.computedTokens == 1
}

// blockHash returns the hash of the block at position, given the hash of the
// block before it. It returns false if the block can't be reused by other
// requests.
func (seq *sequence) blockHash(position int, previous uint64) (uint64, bool) {
	prefix := seq.request.Prefix
	if position < len(prefix) {
		return prefix[position], true
	}
	if seq.request.OutputBlocks == nil {
		return ChainHash(previous, seq.request.OutputSeed), true
	}
	offset := position - len(prefix)
	if offset < len(seq.request.OutputBlocks) {
		return seq.request.OutputBlocks[offset], true
	}
	return 0, false
}

// precedes reports whether seq is scheduled before other: by priority, then by
// submission order.
func (seq *sequence) precedes(other *sequence) bool {
	if seq.request.Priority != other.request.Priority {
		return seq.request.Priority > other.request.Priority
	}
	return seq.order < other.order
}

// waitingQueue is a heap of waiting sequences in scheduling order.
type waitingQueue []*sequence

// Len implements heap.Interface.
func (queue waitingQueue) Len() int { return len(queue) }

// Less implements heap.Interface.
func (queue waitingQueue) Less(left, right int) bool { return queue[left].precedes(queue[right]) }

// Swap implements heap.Interface.
func (queue waitingQueue) Swap(left, right int) {
	queue[left], queue[right] = queue[right], queue[left]
	queue[left].heapIndex = left
	queue[right].heapIndex = right
}

// Push implements heap.Interface.
func (queue *waitingQueue) Push(value any) {
	added := value.(*sequence)
	added.heapIndex = len(*queue)
	*queue = append(*queue, added)
}

// Pop implements heap.Interface.
func (queue *waitingQueue) Pop() any {
	last := len(*queue) - 1
	seq := (*queue)[last]
	(*queue)[last] = nil
	*queue = (*queue)[:last]
	seq.heapIndex = -1
	return seq
}

func (queue *waitingQueue) add(seq *sequence) { heap.Push(queue, seq) }

func (queue *waitingQueue) remove(seq *sequence) { heap.Remove(queue, seq.heapIndex) }
