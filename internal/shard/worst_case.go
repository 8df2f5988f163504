package shard

import (
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/ledger"
)

// price returns the tier's token prices at the time when the call was accepted.
func price(accepted *shardv1.CallAccepted) ledger.Price {
	return ledger.Price{
		Prompt: ledger.Micros(accepted.PromptPriceMicros),
		Output: ledger.Micros(accepted.OutputPriceMicros),
	}
}

// WorstCaseCostWithoutHistory returns the worst-case cost, in micros, of a call without history.
func WorstCaseCostWithoutHistory(accepted *shardv1.CallAccepted) uint64 {
	return uint64(price(accepted).Cost(EstimateTokens(accepted.Messages), accepted.MaxTokens))
}

// WorstCaseCost returns the worst-case cost, in micros, of a call accepted now: no prompt
// token is cached and the output reaches MaxTokens. The messages and outputs of open
// calls count as part of the prompt.
func (program *Program) WorstCaseCost(accepted *shardv1.CallAccepted) uint64 {
	promptTokens := program.record.HistoryTokens + EstimateTokens(accepted.Messages)
	for _, requestID := range program.record.Pending {
		open := program.calls[requestID].record.Accepted
		promptTokens += EstimateTokens(open.Messages) + open.MaxTokens + tokensPerMessage
	}
	return uint64(price(accepted).Cost(promptTokens, accepted.MaxTokens))
}

// PromptTokens returns an estimate of the tokens of the call's full prompt.
func (call *Call) PromptTokens() uint32 {
	return call.program.record.HistoryTokens + EstimateTokens(call.record.Accepted.Messages)
}
