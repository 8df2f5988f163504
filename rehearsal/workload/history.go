package workload

// History is the content of a program so far, as the chained hashes of its
// whole blocks. It only grows, so a prefix taken earlier stays valid. The zero
// value is not usable; see NewHistory.
type History struct {
	blockTokens int
	hashes      []uint64
	// chain is the hash of everything appended so far.
	chain uint64
	// partial counts the tokens past the last whole block.
	partial int
	tokens  int
}

// NewHistory returns an empty history cut into blocks of blockTokens tokens.
func NewHistory(blockTokens int) *History {
	return &History{blockTokens: blockTokens}
}

// Append adds a segment to the end.
func (history *History) Append(segment Segment) {
	for offset := 0; offset < segment.Tokens; {
		taken := min(history.blockTokens-history.partial, segment.Tokens-offset)
		history.chain = mix(mix(history.chain, segment.Seed), uint64(offset)<<32|uint64(taken))
		history.partial += taken
		offset += taken
		if history.partial == history.blockTokens {
			history.hashes = append(history.hashes, history.chain)
			history.partial = 0
		}
	}
	history.tokens += segment.Tokens
}

// Tokens returns the length.
func (history *History) Tokens() int { return history.tokens }

// Blocks returns the chained hashes of the whole blocks. Callers must not
// change them.
func (history *History) Blocks() []uint64 {
	return history.hashes[:len(history.hashes):len(history.hashes)]
}
