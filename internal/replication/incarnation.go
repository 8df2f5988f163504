package replication

import (
	"errors"
	"fmt"
	"math/rand"
	"strings"
)

// incarnationSeparator stands between the process and the random part.
const incarnationSeparator = "#"

// ErrAlreadyFounded says that this boot of the process has already founded a
// replica of the shard in the generation. A second one would have forgotten
// the votes of the first; the process has to join as a new incarnation.
var ErrAlreadyFounded = errors.New("replica already founded in this generation")

// ErrAbstained says that this boot of the process has promised a claimant to
// take no part in the generation.
var ErrAbstained = errors.New("process abstains from this generation")

// Incarnation names one life of one replica, as "process#random". It dies with
// the replica's memory and is never used again.
type Incarnation string

// NewIncarnation draws a fresh incarnation of a process. The random source must
// be seeded differently at every start of the process.
func NewIncarnation(process string, random *rand.Rand) Incarnation {
	return Incarnation(fmt.Sprintf("%s%s%016x", process, incarnationSeparator, random.Uint64()))
}

// Process returns the process that the incarnation is of.
func (i Incarnation) Process() string {
	process, _, _ := strings.Cut(string(i), incarnationSeparator)
	return process
}

// participation names a generation of a shard's group.
type participation struct {
	shard      uint32
	generation uint32
}

// Registry hands out the incarnations of one boot of a process and sees to it
// that none is used for two replicas of a shard. Its owner is the control
// goroutine.
type Registry struct {
	boot    Incarnation
	random  *rand.Rand
	founded map[participation]bool
	abstain map[participation]bool
}

// NewRegistry returns the registry of one boot of a process.
func NewRegistry(process string, random *rand.Rand) *Registry {
	return &Registry{
		boot:    NewIncarnation(process, random),
		random:  random,
		founded: map[participation]bool{},
		abstain: map[participation]bool{},
	}
}

// Boot is the incarnation to be named in claims by which this process founds a
// group.
func (r *Registry) Boot() Incarnation {
	return r.boot
}

// Founder returns the incarnation for a replica named in a group's claim. It
// may be taken once a shard and generation.
func (r *Registry) Founder(shard, generation uint32) (Incarnation, error) {
	key := participation{shard: shard, generation: generation}
	if r.abstain[key] {
		return "", ErrAbstained
	}
	if r.founded[key] {
		return "", ErrAlreadyFounded
	}
	r.founded[key] = true
	return r.boot, nil
}

// Joiner returns a fresh incarnation for a replica that joins a group.
func (r *Registry) Joiner(shard, generation uint32) (Incarnation, error) {
	if r.abstain[participation{shard: shard, generation: generation}] {
		return "", ErrAbstained
	}
	return NewIncarnation(r.boot.Process(), r.random), nil
}

// Abstain promises a claimant that this boot takes no part in a generation any
// more. Before it answers the claimant, the host retires a learner that it has
// there; with a voting replica it must not abstain at all.
func (r *Registry) Abstain(shard, generation uint32) {
	r.abstain[participation{shard: shard, generation: generation}] = true
}
