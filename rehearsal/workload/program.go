// Package workload generates agent programs from a seed: chains of dependent
// model calls, broken by tool pauses and by sub-agents. The programs are plain
// data, so the same ones drive the experiment tool on a virtual clock and real
// processes. Nothing here reads a clock or a global random source.
package workload

import (
	"fmt"
	"strings"
	"time"
)

// Program is one agent program, or a sub-agent that another program spawns.
type Program struct {
	// ID is unique within one generator; a sub-agent's starts with its parent's.
	ID   string
	Kind string
	Tier string
	Zone string
	// Arrival is when the first call is made, since the start of the run. It is
	// zero for sub-agents, which start when their turn of the parent ends.
	Arrival time.Duration
	// SystemPrompt seeds the content that all programs of the kind share.
	SystemPrompt Segment
	Turns        []Turn
	// Endless programs repeat their turns until TokenCap ends them.
	Endless bool
	// TokenCap ends the program before a turn that could pass it, tokens of
	// prompt and output over all calls, sub-agents included; 0 is no cap.
	TokenCap int
}

// Turn is one model call and what follows it.
type Turn struct {
	// NewPrompt is what the turn adds to the history before it is generated.
	NewPrompt Segment
	// Output is what the model generates; it joins the history afterwards.
	Output Segment
	// Pause is the tool's time after the output, before the next turn.
	Pause time.Duration
	// SubAgents are spawned by the output and must end before the next turn.
	// They run during the pause.
	SubAgents []*Program
}

// Segment is a stretch of content. Two segments with the same seed hold the
// same tokens.
type Segment struct {
	Seed   uint64
	Tokens int
}

// Text spells the segment out, with so many bytes a token.
func (segment Segment) Text(bytesPerToken int) string {
	word := fmt.Sprintf("%016x", segment.Seed)
	length := segment.Tokens * bytesPerToken
	return strings.Repeat(word, length/len(word)+1)[:length]
}

// TurnAt returns turn number index, counted from 0, and whether the program
// has it. An endless program has every turn.
func (program *Program) TurnAt(index int) (Turn, bool) {
	if index < len(program.Turns) {
		return program.Turns[index], true
	}
	if !program.Endless || len(program.Turns) == 0 {
		return Turn{}, false
	}
	turn := program.Turns[index%len(program.Turns)]
	turn.NewPrompt.Seed = mix(turn.NewPrompt.Seed, uint64(index))
	turn.Output.Seed = mix(turn.Output.Seed, uint64(index))
	return turn, true
}

// RemainingService returns the service tokens, weighed by promptFactor for
// prompt tokens, that the turns from index on still need, sub-agents included.
// Only the oracle baseline may ask for it. An endless program's is what it
// needs for one more round of its turns.
func (program *Program) RemainingService(index int, promptFactor float64) float64 {
	if program.Endless {
		index = 0
	}
	total := 0.0
	for _, turn := range program.Turns[min(index, len(program.Turns)):] {
		total += promptFactor*float64(turn.NewPrompt.Tokens) + float64(turn.Output.Tokens)
		for _, subAgent := range turn.SubAgents {
			total += subAgent.RemainingService(0, promptFactor)
		}
	}
	return total
}

// mix returns a well-spread hash of two values (the finalizer of splitmix64).
func mix(first, second uint64) uint64 {
	value := first ^ (second+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
