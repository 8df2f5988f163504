package replication

import (
	"errors"
	"fmt"
	"math/rand"
	"strings"
)

// incarnationSeparator separates the process from the random part.
const incarnationSeparator = "#"

// ErrAlreadyFounded means that this boot of the process has already created a
// founding replica of the shard in the generation. A second one would not know the
// votes of the first, so the process must join as a new incarnation.
var ErrAlreadyFounded = errors.New("founding replica already created in this generation")

// ErrAbstained means that this boot of the process has promised a claimant not to
// participate in the generation.
var ErrAbstained = errors.New("process has abstained from this generation")

// Incarnation identifies one lifetime of a replica as "process#random". It is never
// reused after the replica's memory is lost.
type Incarnation string

// NewIncarnation generates a new incarnation of a process. The random source must be
// seeded differently each time the process starts.
func NewIncarnation(process string, random *rand.Rand) Incarnation {
	return Incarnation(fmt.Sprintf("%s%s%016x", process, incarnationSeparator, random.Uint64()))
}

// Process returns the process of the incarnation.
func (i Incarnation) Process() string {
	process, _, _ := strings.Cut(string(i), incarnationSeparator)
	return process
}

// shardGeneration identifies a generation of a shard's group.
type shardGeneration struct {
	shard      uint32
	generation uint32
}

// Registry allocates the incarnations of one boot of a process and prevents the
// reuse of one for two replicas of a shard. It must be used only by the control
// goroutine.
type Registry struct {
	boot    Incarnation
	random  *rand.Rand
	founded map[shardGeneration]bool
	abstain map[shardGeneration]bool
}

// NewRegistry returns a registry for one boot of a process.
func NewRegistry(process string, random *rand.Rand) *Registry {
	return &Registry{
		boot:    NewIncarnation(process, random),
		random:  random,
		founded: map[shardGeneration]bool{},
		abstain: map[shardGeneration]bool{},
	}
}

// Boot returns the incarnation that identifies this process in claims.
func (r *Registry) Boot() Incarnation {
	return r.boot
}

// Founder returns the incarnation for a founding replica named in a claim. It
// succeeds once per shard and generation.
func (r *Registry) Founder(shard, generation uint32) (Incarnation, error) {
	key := shardGeneration{shard: shard, generation: generation}
	if r.abstain[key] {
		return "", ErrAbstained
	}
	if r.founded[key] {
		return "", ErrAlreadyFounded
	}
	r.founded[key] = true
	return r.boot, nil
}

// Joiner returns a new incarnation for a replica that joins a group.
func (r *Registry) Joiner(shard, generation uint32) (Incarnation, error) {
	if r.abstain[shardGeneration{shard: shard, generation: generation}] {
		return "", ErrAbstained
	}
	return NewIncarnation(r.boot.Process(), r.random), nil
}

// Abstain excludes this boot from a generation, as promised to a claimant. Before it
// responds to the claimant, the host must retire any learner of that generation. It
// must not abstain while it has a voting replica of it.
func (r *Registry) Abstain(shard, generation uint32) {
	r.abstain[shardGeneration{shard: shard, generation: generation}] = true
}
