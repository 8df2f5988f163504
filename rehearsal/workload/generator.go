package workload

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Generator makes the programs of a deployment. Program number n of a seed is
// the same whatever the load and the policy.
type Generator struct {
	deployment Deployment
	seed       uint64
	totalShare float64
}

// Streams keep the random draws of unlike uses apart.
const (
	streamProgram uint64 = iota + 1
	streamArrival
	streamSystemPrompt
)

// endlessTokenCap ends a program that loops without end.
const endlessTokenCap = 120_000

// NewGenerator returns a generator for the deployment.
func NewGenerator(deployment Deployment, seed uint64) *Generator {
	generator := &Generator{deployment: deployment, seed: seed}
	for _, kind := range deployment.Kinds {
		generator.totalShare += kind.Share
	}
	return generator
}

// Program makes program number of the deployment's mix, with no arrival time.
func (generator *Generator) Program(number int) *Program {
	random := generator.random(streamProgram, uint64(number))
	kind := generator.pickKind(random)
	return generator.make(random, kind, fmt.Sprintf("p%06d", number))
}

// ProgramOfKind makes program number with a given kind.
func (generator *Generator) ProgramOfKind(number int, kindName string) *Program {
	random := generator.random(streamProgram, uint64(number))
	kind, _ := generator.deployment.kind(kindName)
	return generator.make(random, kind, fmt.Sprintf("p%06d", number))
}

// EndlessProgram makes a program that repeats its turns until its cap.
func (generator *Generator) EndlessProgram(number int, kindName string) *Program {
	program := generator.ProgramOfKind(number, kindName)
	program.Endless = true
	program.TokenCap = endlessTokenCap
	return program
}

func (generator *Generator) random(stream, number uint64) *rand.Rand {
	return rand.New(rand.NewPCG(generator.seed, mix(stream, number)))
}

func (generator *Generator) pickKind(random *rand.Rand) Kind {
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
			Seed:   mix(streamSystemPrompt, uint64(kindIndex)),
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
