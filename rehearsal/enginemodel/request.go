package enginemodel

import "errors"

// Errors of Submit.
var (
	// ErrInvalidRequest is returned if a field of the request is out of bounds.
	ErrInvalidRequest = errors.New("enginemodel: invalid request")
	// ErrTooLarge is returned if prompt and output exceed the cache size.
	ErrTooLarge = errors.New("enginemodel: request larger than the cache")
)

// Request is one generation request.
type Request struct {
	ID      string
	Program string
	// Prefix holds the chained hashes of the prompt's full blocks, in order (see
	// ChainHash). Later blocks are hashed from OutputSeed or OutputBlocks.
	Prefix       []uint64
	PromptTokens int
	// OutputTokens is the exact number of tokens that the request generates.
	OutputTokens int
	// Priority orders the waiting queue and preemption; higher runs first.
	Priority int
	// OutputSeed is the content from which the blocks after Prefix are hashed;
	// see OutputPrefix.
	OutputSeed uint64
	// OutputBlocks, if not nil, holds the hashes of the blocks after Prefix and
	// replaces OutputSeed. Blocks after these are never reused.
	OutputBlocks []uint64
}

// Mixing constants of SplitMix64 (Steele, Lea and Flood, 2014).
const (
	mixIncrement = 0x9e3779b97f4a7c15
	mixFirst     = 0xbf58476d1ce4e5b9
	mixSecond    = 0x94d049bb133111eb
)

// ChainHash returns the hash of a block from its content and the hash of the
// previous block (0 for the first block). Blocks with equal hashes have equal
// prefixes.
func ChainHash(previous, content uint64) uint64 {
	value := previous ^ (content + mixIncrement)
	value += mixIncrement
	value = (value ^ (value >> 30)) * mixFirst
	value = (value ^ (value >> 27)) * mixSecond
	return value ^ (value >> 31)
}

// ExtendPrefix returns a copy of prefix, extended with blocks hashed from seed
// to cover all full blocks of the given number of tokens.
func ExtendPrefix(prefix []uint64, seed uint64, tokens, blockTokens int) []uint64 {
	fullBlocks := tokens / blockTokens
	extended := make([]uint64, len(prefix), max(fullBlocks, len(prefix)))
	copy(extended, prefix)
	for len(extended) < fullBlocks {
		extended = append(extended, ChainHash(lastHash(extended), seed))
	}
	return extended
}

// OutputPrefix returns the hashes of all full blocks of the request's prompt and
// output. A later request whose prompt begins with both uses it as its Prefix.
func OutputPrefix(request Request, blockTokens int) []uint64 {
	tokens := request.PromptTokens + request.OutputTokens
	if request.OutputBlocks == nil {
		return ExtendPrefix(request.Prefix, request.OutputSeed, tokens, blockTokens)
	}
	hashes := append(append([]uint64{}, request.Prefix...), request.OutputBlocks...)
	return hashes[:min(len(hashes), tokens/blockTokens)]
}

func lastHash(prefix []uint64) uint64 {
	if len(prefix) == 0 {
		return 0
	}
	return prefix[len(prefix)-1]
}

// validate returns an error if an engine of this config can never run the
// request.
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
