package shard

import (
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/ledger"
)

// price is what the call's tier paid for 1000 tokens when it was accepted.
func price(accepted *shardv1.CallAccepted) ledger.Price {
	return ledger.Price{
		Prompt: ledger.Micros(accepted.PromptPriceMicros),
		Output: ledger.Micros(accepted.OutputPriceMicros),
	}
}

// WorstCaseAlone bounds the cost of a call that has no history before it.
func WorstCaseAlone(accepted *shardv1.CallAccepted) uint64 {
	return uint64(price(accepted).Cost(EstimateTokens(accepted.Messages), accepted.MaxTokens))
}

// WorstCase bounds what a call would cost if it were accepted now, micro units:
// the whole prompt uncached and every token that the caller allows. Calls before
// it that are still open may lengthen the prompt by their messages and outputs.
func (program *Program) WorstCase(accepted *shardv1.CallAccepted) uint64 {
	promptTokens := program.record.HistoryTokens + EstimateTokens(accepted.Messages)
	for _, requestID := range program.record.Pending {
		open := program.calls[requestID].record.Accepted
		promptTokens += EstimateTokens(open.Messages) + open.MaxTokens + tokensPerMessage
	}
	return uint64(price(accepted).Cost(promptTokens, accepted.MaxTokens))
}

// PromptTokens estimates the call's whole prompt.
func (call *Call) PromptTokens() uint32 {
	return call.program.record.HistoryTokens + EstimateTokens(call.record.Accepted.Messages)
}
