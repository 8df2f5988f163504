package shard

import (
	"math/bits"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

const (
	// bytesPerToken is low on purpose: an estimate has to bound the real count.
	bytesPerToken = 3
	// tokensPerMessage covers a message's role and separators.
	tokensPerMessage = 8
	// tokensPerPrice is the unit that prices are given for.
	tokensPerPrice = 1000
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

// cost returns the price of a call in micro units, rounded up. It saturates
// instead of wrapping, so an absurd price can't become a small one.
func cost(promptTokens, outputTokens uint32, promptPrice, outputPrice uint64) uint64 {
	prompt := saturatingProduct(uint64(promptTokens), promptPrice)
	output := saturatingProduct(uint64(outputTokens), outputPrice)
	sum, carry := bits.Add64(prompt, output, 0)
	if carry != 0 {
		return maximumMicros
	}
	return sum/tokensPerPrice + min(sum%tokensPerPrice, 1)
}

const maximumMicros = ^uint64(0)

func saturatingProduct(left, right uint64) uint64 {
	high, low := bits.Mul64(left, right)
	if high != 0 {
		return maximumMicros
	}
	return low
}

// serviceTokens is the service that a finished call has attained.
func serviceTokens(promptTokens, cachedTokens, outputTokens uint32) float64 {
	uncached := float64(promptTokens) - float64(min(cachedTokens, promptTokens))
	return uncached*uncachedPromptWeight + float64(outputTokens)
}
