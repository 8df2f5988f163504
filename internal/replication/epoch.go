package replication

import "fmt"

// termBits is the width of the term within an epoch.
const termBits = 40

// Epoch is the fencing token of a shard's leaders; the higher epoch wins. Its upper
// 24 bits are the group's generation, which is raised only by a claim in the
// platform's log. Its lower 40 bits are the term, which is raised by elections
// within the group. A rebuilt group therefore outranks every leader of the previous
// group, including those whose election was never archived.
type Epoch uint64

// MakeEpoch combines a generation and a term.
func MakeEpoch(generation uint32, term uint64) Epoch {
	return Epoch(uint64(generation)<<termBits | term&(1<<termBits-1))
}

// Generation returns the group's generation.
func (e Epoch) Generation() uint32 {
	return uint32(e >> termBits)
}

// Term returns the election term within the generation.
func (e Epoch) Term() uint64 {
	return uint64(e) & (1<<termBits - 1)
}

// Next returns the epoch of the next election in the same generation.
func (e Epoch) Next() Epoch {
	return MakeEpoch(e.Generation(), e.Term()+1)
}

// String formats an epoch as "generation.term".
func (e Epoch) String() string {
	return fmt.Sprintf("%d.%d", e.Generation(), e.Term())
}
