package enginemodel

import "errors"

// Errors of Submit.
var (
	// ErrInvalidRequest says that a field of the request is out of bounds.
	ErrInvalidRequest = errors.New("enginemodel: invalid request")
	// ErrTooLarge says that prompt and output together exceed the whole cache.
	ErrTooLarge = errors.New("enginemodel: request larger than the cache")
)

// Request is one generation.
type Request struct {
	ID      string
	Program string
	// Prefix holds the chained hashes of the prompt's whole blocks, first block
	// first (see ChainHash). Blocks past it are chained from OutputSeed.
	Prefix       []uint64
	PromptTokens int
	// OutputTokens is exactly how many tokens the request generates.
	OutputTokens int
	// Priority orders the waiting queue and preemption; higher runs first.
	Priority int
	// OutputSeed chains the blocks after Prefix; see OutputPrefix.
	OutputSeed uint64
	// OutputBlocks, where not nil, replaces the chain from OutputSeed: the
	// hashes of the blocks after Prefix. Blocks past it are never shared.
	OutputBlocks []uint64
}

// Mixing constants of SplitMix64 (Steele, Lea and Flood, 2014).
const (
	mixIncrement = 0x9e3779b97f4a7c15
	mixFirst     = 0xbf58476d1ce4e5b9
	mixSecond    = 0x94d049bb133111eb
)

// ChainHash returns the hash of a block with the given content that follows the
// block hashed previous (0 for the first block). Equal chains mean equal
// prefixes.
func ChainHash(previous, content uint64) uint64 {
	value := previous ^ (content + mixIncrement)
	value += mixIncrement
	value = (value ^ (value >> 30)) * mixFirst
	value = (value ^ (value >> 27)) * mixSecond
	return value ^ (value >> 31)
}

// ExtendPrefix appends blocks chained from seed to prefix until it covers the
// whole blocks of tokens. It returns a new slice.
func ExtendPrefix(prefix []uint64, seed uint64, tokens, blockTokens int) []uint64 {
	whole := tokens / blockTokens
	extended := make([]uint64, len(prefix), max(whole, len(prefix)))
	copy(extended, prefix)
	for len(extended) < whole {
		extended = append(extended, ChainHash(lastHash(extended), seed))
	}
	return extended
}

// OutputPrefix returns the hashes of all whole blocks of the request's prompt
// and output together: the prefix with which a next turn that keeps both can
// find them in the cache.
func OutputPrefix(request Request, blockTokens int) []uint64 {
	tokens := request.PromptTokens + request.OutputTokens
	if request.OutputBlocks == nil {
		return ExtendPrefix(request.Prefix, request.OutputSeed, tokens, blockTokens)
	}
	whole := append(append([]uint64{}, request.Prefix...), request.OutputBlocks...)
	return whole[:min(len(whole), tokens/blockTokens)]
}

func lastHash(prefix []uint64) uint64 {
	if len(prefix) == 0 {
		return 0
	}
	return prefix[len(prefix)-1]
}

// validate tells whether the engine can ever run the request.
func (request Request) validate(config Config) error {
	if request.ID == "" || request.PromptTokens < 1 || request.OutputTokens < 1 {
		return ErrInvalidRequest
	}
	if len(request.Prefix) > request.PromptTokens/config.BlockTokens {
		return ErrInvalidRequest
	}
	if request.PromptTokens > config.Blocks*config.BlockTokens-request.OutputTokens {
		return ErrTooLarge
	}
	return nil
}
