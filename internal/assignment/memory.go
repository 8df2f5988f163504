package assignment

import (
	"slices"
	"time"
)

const (
	// promptAge is how long after a line's last turn its prompt counts as held for it. A
	// program pauses for some tenths of a second.
	promptAge = 2 * time.Second
	// telling is how many prompts an owner's part of an engine's memory has to hold for
	// what it has assigned there to tell anything of the whole.
	telling = 2
	// roomyShare of its part may be taken at an engine that has room for sure.
	roomyShare = 0.5
)

// withMemory leaves the engines out whose memory is full of prompts, by what this owner has
// assigned to them, while others have half of theirs: what goes beyond an engine's memory
// drives out prompts that others go on with, and those are read again.
func (assigner *Assigner) withMemory(candidates []Candidate, prompt int, now time.Time) []Candidate {
	if slices.ContainsFunc(candidates, func(candidate Candidate) bool { return candidate.OwnerMemoryTokens <= telling*prompt }) {
		return candidates
	}
	held := assigner.promptsHeld(candidates, now)
	var fitting []Candidate
	roomy := false
	for _, candidate := range candidates {
		tokens := held[candidate.ID]
		if tokens+prompt <= candidate.OwnerMemoryTokens {
			fitting = append(fitting, candidate)
		}
		roomy = roomy || float64(tokens) <= roomyShare*float64(candidate.OwnerMemoryTokens)
	}
	if !roomy || len(fitting) == 0 {
		return candidates
	}
	return fitting
}

// promptsHeld sums the prompts of this owner's lines by engine, tokens. Those that an engine
// kept in an earlier life are gone.
func (assigner *Assigner) promptsHeld(candidates []Candidate, now time.Time) map[string]int {
	lives := make(map[string]int64, len(candidates))
	for index := range candidates {
		lives[candidates[index].ID] = candidates[index].Incarnation
	}
	held := map[string]int{}
	for _, session := range assigner.sessions {
		if now.Sub(session.used) <= promptAge && lives[session.engine] == session.life {
			held[session.engine] += session.prompt
		}
	}
	return held
}
