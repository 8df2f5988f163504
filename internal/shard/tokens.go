package shard

import (
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

const (
	// bytesPerToken is a low estimate, so that the token count is not underestimated.
	bytesPerToken = 3
	// tokensPerMessage accounts for a message's role and separators.
	tokensPerMessage = 8
	// uncachedPromptWeight is the service of one uncached prompt token relative to one
	// output token; prompt tokens are computed in parallel.
	uncachedPromptWeight = 0.1
)

// EstimateTokens returns a conservative (high) estimate of the prompt tokens of
// messages.
func EstimateTokens(messages []*schedulerv1.Message) uint32 {
	total := 0
	for _, message := range messages {
		total += len(message.Content)/bytesPerToken + tokensPerMessage
	}
	return uint32(total)
}

// serviceTokens returns the attained service of a finished call, in weighted tokens.
func serviceTokens(promptTokens, cachedTokens, outputTokens uint32) float64 {
	uncached := float64(promptTokens) - float64(min(cachedTokens, promptTokens))
	return uncached*uncachedPromptWeight + float64(outputTokens)
}
