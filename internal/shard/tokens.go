package shard

import (
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

const (
	// bytesPerToken is low on purpose: an estimate has to bound the real count.
	bytesPerToken = 3
	// tokensPerMessage covers a message's role and separators.
	tokensPerMessage = 8
	// uncachedPromptWeight is the service of one computed prompt token relative
	// to one generated token: a prompt is computed in parallel.
	uncachedPromptWeight = 0.1
)

// EstimateTokens bounds the prompt tokens of messages from above.
func EstimateTokens(messages []*schedulerv1.Message) uint32 {
	total := 0
	for _, message := range messages {
		total += len(message.Content)/bytesPerToken + tokensPerMessage
	}
	return uint32(total)
}

// serviceTokens is the service that a finished call has attained.
func serviceTokens(promptTokens, cachedTokens, outputTokens uint32) float64 {
	uncached := float64(promptTokens) - float64(min(cachedTokens, promptTokens))
	return uncached*uncachedPromptWeight + float64(outputTokens)
}
