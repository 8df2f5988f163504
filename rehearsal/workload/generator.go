package workload

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Generator generates the programs of a deployment. Program and ProgramOfKind
// depend only on the seed, the program's number and its kind, so that runs under
// different loads and policies use the same programs.
type Generator struct {
	deployment Deployment
	seed       uint64
	totalShare float64
}

// Random streams; each use draws from its own, so that they are independent.
const (
	streamProgram uint64 = iota + 1
	streamArrival
	streamSystemPrompt
)

// endlessTokenCap is the TokenCap of endless programs.
const endlessTokenCap = 120_000

// NewGenerator returns a generator for the deployment.
func NewGenerator(deployment Deployment, seed uint64) *Generator {
	generator := &Generator{deployment: deployment, seed: seed}
	for _, kind := range deployment.Kinds {
		generator.totalShare += kind.Share
	}
	return generator
}

// Program generates the program with the given number, of a kind drawn by the
// kinds' shares. Its Arrival is 0.
func (generator *Generator) Program(number int) *Program {
	random := generator.newRandom(streamProgram, uint64(number))
	kind := generator.sampleKind(random)
	return generator.make(random, kind, fmt.Sprintf("p%06d", number))
}

// ProgramOfKind generates the program with the given number and kind. Its
// Arrival is 0.
func (generator *Generator) ProgramOfKind(number int, kindName string) *Program {
	random := generator.newRandom(streamProgram, uint64(number))
	kind, _ := generator.deployment.kind(kindName)
	return generator.make(random, kind, fmt.Sprintf("p%06d", number))
}

// EndlessProgram generates a program that repeats its turns until its TokenCap.
func (generator *Generator) EndlessProgram(number int, kindName string) *Program {
	program := generator.ProgramOfKind(number, kindName)
	program.Endless = true
	program.TokenCap = endlessTokenCap
	return program
}

func (generator *Generator) newRandom(stream, number uint64) *rand.Rand {
	return rand.New(rand.NewPCG(generator.seed, mixHash(stream, number)))
}

func (generator *Generator) sampleKind(random *rand.Rand) Kind {
	left := random.Float64() * generator.totalShare
	for _, kind := range generator.deployment.Kinds {
		left -= kind.Share
		if left < 0 {
			return kind
		}
	}
	return generator.deployment.Kinds[0]
}

func (generator *Generator) make(random *rand.Rand, kind Kind, id string) *Program {
	zones := generator.deployment.Zones
	_, kindIndex := generator.deployment.kind(kind.Name)
	program := &Program{
		ID:   id,
		Kind: kind.Name,
		Tier: kind.Tier,
		Zone: zones[random.IntN(len(zones))],
		SystemPrompt: Segment{
			Seed:   mixHash(streamSystemPrompt, uint64(kindIndex)),
			Tokens: kind.SystemTokens,
		},
	}
	turns := max(kind.Turns.SampleCount(random), 1)
	for index := range turns {
		program.Turns = append(program.Turns, generator.makeTurn(random, kind, program, index))
	}
	return program
}

func (generator *Generator) makeTurn(random *rand.Rand, kind Kind, program *Program, index int) Turn {
	turn := Turn{
		NewPrompt: Segment{Seed: random.Uint64(), Tokens: kind.NewPrompt.SampleCount(random)},
		Output:    Segment{Seed: random.Uint64(), Tokens: max(kind.Output.SampleCount(random), 1)},
		Pause:     time.Duration(kind.Pause.Sample(random) * float64(time.Millisecond)),
	}
	if kind.Spawn.Kind == "" || random.Float64() >= kind.Spawn.Chance {
		return turn
	}
	childKind, _ := generator.deployment.kind(kind.Spawn.Kind)
	for child := range kind.Spawn.Count.SampleCount(random) {
		id := fmt.Sprintf("%s.%d.%d", program.ID, index, child)
		subAgent := generator.make(random, childKind, id)
		subAgent.Zone = program.Zone
		turn.SubAgents = append(turn.SubAgents, subAgent)
	}
	return turn
}
