package assignment

import (
	"slices"
	"time"
)

const (
	// promptTTL is how long after a session's last turn its prompt counts as resident in the
	// engine's memory. It exceeds the pauses between turns.
	promptTTL = 2 * time.Second
	// minPromptsForEstimate is the number of prompts that an owner's part of an engine's memory
	// must exceed for the owner's assignments to indicate the memory's usage.
	minPromptsForEstimate = 2
	// ampleMemoryFraction is the used fraction of Candidate.OwnerMemoryTokens up to which an
	// engine has ample memory.
	ampleMemoryFraction = 0.5
)

// withFreeMemory excludes engines whose memory, judged by this owner's assignments, cannot hold
// the prompt, while another engine has ample memory. Beyond its memory an engine evicts prompts
// of running programs, which must then be recomputed.
func (assigner *Assigner) withFreeMemory(candidates []Candidate, promptTokens int, now time.Time) []Candidate {
	if slices.ContainsFunc(candidates, func(candidate Candidate) bool {
		return candidate.OwnerMemoryTokens <= minPromptsForEstimate*promptTokens
	}) {
		return candidates
	}
	resident := assigner.residentTokens(candidates, now)
	var fitting []Candidate
	anyAmple := false
	for _, candidate := range candidates {
		tokens := resident[candidate.ID]
		if tokens+promptTokens <= candidate.OwnerMemoryTokens {
			fitting = append(fitting, candidate)
		}
		anyAmple = anyAmple || float64(tokens) <= ampleMemoryFraction*float64(candidate.OwnerMemoryTokens)
	}
	if !anyAmple || len(fitting) == 0 {
		return candidates
	}
	return fitting
}

// residentTokens sums the prompt tokens of this owner's sessions by engine, without those of an
// engine's earlier incarnations.
func (assigner *Assigner) residentTokens(candidates []Candidate, now time.Time) map[string]int {
	incarnations := make(map[string]int64, len(candidates))
	for index := range candidates {
		incarnations[candidates[index].ID] = candidates[index].Incarnation
	}
	resident := map[string]int{}
	for _, session := range assigner.sessions {
		if now.Sub(session.lastUsed) <= promptTTL && incarnations[session.engine] == session.incarnation {
			resident[session.engine] += session.promptTokens
		}
	}
	return resident
}
