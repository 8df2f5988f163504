package workload

// History represents a program's content as the chained hashes of its full
// blocks. It is append-only, so that a slice returned by Blocks stays valid. Use
// NewHistory; the zero value is not usable.
type History struct {
	blockTokens int
	hashes      []uint64
	// chain is the hash of everything appended so far.
	chain uint64
	// partial is the number of tokens after the last full block.
	partial int
	tokens  int
}

// NewHistory returns an empty history with blocks of blockTokens tokens.
func NewHistory(blockTokens int) *History {
	return &History{blockTokens: blockTokens}
}

// Append appends a segment.
func (history *History) Append(segment Segment) {
	for offset := 0; offset < segment.Tokens; {
		taken := min(history.blockTokens-history.partial, segment.Tokens-offset)
		history.chain = mixHash(mixHash(history.chain, segment.Seed), uint64(offset)<<32|uint64(taken))
		history.partial += taken
		offset += taken
		if history.partial == history.blockTokens {
			history.hashes = append(history.hashes, history.chain)
			history.partial = 0
		}
	}
	history.tokens += segment.Tokens
}

// Tokens returns the history's length in tokens.
func (history *History) Tokens() int { return history.tokens }

// Blocks returns the chained hashes of the full blocks. The caller must not
// modify them.
func (history *History) Blocks() []uint64 {
	return history.hashes[:len(history.hashes):len(history.hashes)]
}
