package gateway

import (
	"context"
	"errors"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// chatRequest is the body of POST /v1/chat/completions, the fields that
// magpielug acts on.
type chatRequest struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	MaxTokens           *int64    `json:"max_tokens"`
	MaxCompletionTokens *int64    `json:"max_completion_tokens"`
	Choices             *int64    `json:"n"`
	Stream              bool      `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// completeChat serves POST /v1/chat/completions. With a program header, the
// messages are those that this call adds to the program's history; without
// one, they are the whole prompt of a program of one call.
func (gateway *Gateway) completeChat(exchange *exchange) error {
	content, err := exchange.readBody()
	if err != nil {
		return err
	}
	var body chatRequest
	if err := decodeLenient(content, &body); err != nil {
		return err
	}
	request, err := exchange.chatCall(&body)
	if err != nil {
		return err
	}
	cancelWithCaller, err := exchange.nameChat(request)
	if err != nil {
		return err
	}
	err = exchange.runCall(request, newCompletionAnswer(exchange, &body))
	if cancelWithCaller && errors.Is(err, errCallerGone) {
		gateway.cancelSingleCall(exchange)
	}
	return err
}

func (exchange *exchange) chatCall(body *chatRequest) (*schedulerv1.CallRequest, error) {
	if body.Choices != nil && *body.Choices != 1 {
		return nil, resultcode.New(resultcode.BadRequest, "n must be 1")
	}
	request, err := exchange.newCallRequest(schedulerv1.CallKind_CALL_KIND_MODEL, nil)
	if err != nil {
		return nil, err
	}
	if body.MaxCompletionTokens != nil {
		body.MaxTokens = body.MaxCompletionTokens
	}
	config := exchange.gateway.config
	if request.MaxTokens, err = config.outputTokens(body.MaxTokens); err != nil {
		return nil, err
	}
	if request.Messages, err = toMessages(body.Messages, config.MaxMessages); err != nil {
		return nil, err
	}
	request.Target, request.Adapter, err = resolveModel(exchange.configuration, body.Model)
	return request, err
}

// nameChat gives the call its program and request id. It reports whether the
// call is of no use once its caller has left: a single call that nobody can
// name again.
func (exchange *exchange) nameChat(request *schedulerv1.CallRequest) (cancelWithCaller bool, err error) {
	requestID, err := requestIDOf(exchange.request.Header)
	if err != nil {
		return false, err
	}
	exchange.requestID = requestID
	exchange.programID = exchange.request.Header.Get(headerProgram)
	request.SingleCall = exchange.programID == ""
	switch {
	case !request.SingleCall:
		if !validIdentifier(exchange.programID) {
			return false, unknownProgram()
		}
	case requestID == "":
		exchange.programID = newIdentifier()
		cancelWithCaller = true
	default:
		exchange.programID = derivedProgramID(purposeSingleCall, exchange.caller.Tenant, requestID)
	}
	exchange.completeName(request)
	return cancelWithCaller, nil
}

// completeName fills in the ids and the digest of a call whose other fields
// are set.
func (exchange *exchange) completeName(request *schedulerv1.CallRequest) {
	if exchange.requestID == "" {
		exchange.requestID = newIdentifier()
	}
	request.ProgramId = exchange.programID
	request.RequestId = exchange.requestID
	request.Digest = digestOf(request)
	exchange.nameCall()
}

// cancelSingleCall stops the program of a call whose answer nobody can fetch,
// so that the engine's work for it ends.
func (gateway *Gateway) cancelSingleCall(exchange *exchange) {
	order := &schedulerv1.EndProgramRequest{
		ProgramId: exchange.programID,
		Caller:    exchange.caller,
		Stop:      true,
		Reason:    errCallerGone.Error(),
	}
	// The order outlives the caller's connection; ask bounds its time.
	_, err := gateway.orderEnd(context.WithoutCancel(exchange.context), order)
	if err != nil && resultcode.CodeOf(err) != resultcode.UnknownProgram {
		gateway.dependencies.Logger.Warn("abandoned call not cancelled", exchange.errorFields(err)...)
	}
}
