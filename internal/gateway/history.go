package gateway

import (
	"context"
	"net/http"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// historyBody is one page of a program's history, in turn order.
type historyBody struct {
	Turns []turnBody `json:"turns"`
	// Next is the first turn of the next page; absent if this page is not full.
	Next uint32 `json:"next,omitempty"`
}

// turnBody is one finished call.
type turnBody struct {
	Number       uint32        `json:"number"`
	RequestID    string        `json:"request_id"`
	Kind         string        `json:"kind"`
	Target       string        `json:"target"`
	Messages     []messageBody `json:"messages"`
	Output       string        `json:"output"`
	FinishReason string        `json:"finish_reason"`
	Usage        usageBody     `json:"usage"`
}

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// usageBody holds a call's token counts and its cost in micro units of the
// operator's currency.
type usageBody struct {
	PromptTokens uint32 `json:"prompt_tokens"`
	CachedTokens uint32 `json:"cached_tokens"`
	OutputTokens uint32 `json:"output_tokens"`
	CostMicros   uint64 `json:"cost_micros"`
}

func newUsageBody(usage *schedulerv1.Usage) usageBody {
	return usageBody{
		PromptTokens: usage.GetPromptTokens(),
		CachedTokens: usage.GetCachedTokens(),
		OutputTokens: usage.GetOutputTokens(),
		CostMicros:   usage.GetCostMicros(),
	}
}

func newTurnBody(turn *schedulerv1.Turn) turnBody {
	messages := make([]messageBody, 0, len(turn.GetMessages()))
	for _, message := range turn.GetMessages() {
		messages = append(messages, messageBody{Role: message.GetRole(), Content: message.GetContent()})
	}
	return turnBody{
		Number:       turn.GetNumber(),
		RequestID:    turn.GetRequestId(),
		Kind:         kindName(turn.GetKind()),
		Target:       turn.GetTarget(),
		Messages:     messages,
		Output:       turn.GetOutput(),
		FinishReason: turn.GetFinishReason(),
		Usage:        newUsageBody(turn.GetUsage()),
	}
}

// readHistory serves GET /v1/programs/{id}/history?from=&limit=.
func (gateway *Gateway) readHistory(exchange *exchange) error {
	if err := exchange.parseProgramID(); err != nil {
		return err
	}
	query := exchange.request.URL.Query()
	from, err := parseQueryNumber(query, "from", 0)
	if err != nil {
		return err
	}
	limit, err := parseQueryNumber(query, "limit", gateway.config.DefaultHistoryLimit)
	if err != nil {
		return err
	}
	if limit < 1 || limit > gateway.config.MaxHistoryLimit {
		return resultcode.New(resultcode.BadRequest, "limit must be 1 to %d", gateway.config.MaxHistoryLimit)
	}
	request := &schedulerv1.ReadHistoryRequest{
		ProgramId: exchange.programID,
		Caller:    exchange.caller,
		FromTurn:  from,
		Limit:     limit,
	}
	reply, err := sendUnary(exchange.context, gateway.schedulers, request.ProgramId, false,
		func(ctx context.Context, service schedulerv1.Programs) (*schedulerv1.ReadHistoryReply, error) {
			return service.ReadHistory(ctx, request)
		})
	if err != nil {
		return err
	}
	return exchange.writeJSON(http.StatusOK, newHistoryBody(reply, limit))
}

func newHistoryBody(reply *schedulerv1.ReadHistoryReply, limit uint32) historyBody {
	body := historyBody{Turns: make([]turnBody, 0, len(reply.GetTurns()))}
	for _, turn := range reply.GetTurns() {
		body.Turns = append(body.Turns, newTurnBody(turn))
	}
	if count := len(body.Turns); count > 0 && count >= int(limit) {
		body.Next = body.Turns[count-1].Number + 1
	}
	return body
}
