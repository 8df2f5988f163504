package gateway

import (
	"context"
	"errors"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// chatRequest is the supported part of the body of POST /v1/chat/completions.
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
// messages are appended to that program's history; otherwise they are the whole
// prompt of a new single-call program.
func (gateway *Gateway) completeChat(exchange *exchange) error {
	content, err := exchange.readBody()
	if err != nil {
		return err
	}
	var body chatRequest
	if err := decodeLenient(content, &body); err != nil {
		return err
	}
	request, err := exchange.newChatCallRequest(&body)
	if err != nil {
		return err
	}
	cancelWithCaller, err := exchange.assignChatIDs(request)
	if err != nil {
		return err
	}
	err = exchange.runCall(request, newCompletionResponse(exchange, &body))
	if cancelWithCaller && errors.Is(err, errCallerDisconnected) {
		gateway.cancelSingleCall(exchange)
	}
	return err
}

func (exchange *exchange) newChatCallRequest(body *chatRequest) (*schedulerv1.CallRequest, error) {
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
	if request.MaxTokens, err = config.resolveMaxTokens(body.MaxTokens); err != nil {
		return nil, err
	}
	if request.Messages, err = toMessages(body.Messages, config.MaxMessages); err != nil {
		return nil, err
	}
	request.Target, request.Adapter, err = resolveModel(exchange.configuration, body.Model)
	return request, err
}

// assignChatIDs sets the call's program and request ids. It reports whether the
// call is to be cancelled when its caller disconnects: a single call without a
// request id can't be resumed.
func (exchange *exchange) assignChatIDs(request *schedulerv1.CallRequest) (cancelWithCaller bool, err error) {
	requestID, err := parseRequestID(exchange.request.Header)
	if err != nil {
		return false, err
	}
	exchange.requestID = requestID
	exchange.programID = exchange.request.Header.Get(headerProgram)
	request.SingleCall = exchange.programID == ""
	switch {
	case !request.SingleCall:
		if !isValidIdentifier(exchange.programID) {
			return false, unknownProgramError()
		}
	case requestID == "":
		exchange.programID = newIdentifier()
		cancelWithCaller = true
	default:
		exchange.programID = derivedProgramID(purposeSingleCall, exchange.caller.Tenant, requestID)
	}
	exchange.assignCallIDs(request)
	return cancelWithCaller, nil
}

// assignCallIDs sets the ids and the digest of a call whose other fields are
// set.
func (exchange *exchange) assignCallIDs(request *schedulerv1.CallRequest) {
	if exchange.requestID == "" {
		exchange.requestID = newIdentifier()
	}
	request.ProgramId = exchange.programID
	request.RequestId = exchange.requestID
	request.Digest = requestDigest(request)
	exchange.setCallHeaders()
}

// cancelSingleCall stops the program of a call that can't be resumed, so that
// its engine stops generating.
func (gateway *Gateway) cancelSingleCall(exchange *exchange) {
	request := &schedulerv1.EndProgramRequest{
		ProgramId: exchange.programID,
		Caller:    exchange.caller,
		Stop:      true,
		Reason:    errCallerDisconnected.Error(),
	}
	// The request must outlive the caller's connection; sendUnary bounds its
	// duration.
	_, err := gateway.sendEndProgram(context.WithoutCancel(exchange.context), request)
	if err != nil && resultcode.CodeOf(err) != resultcode.UnknownProgram {
		gateway.dependencies.Logger.Warn("failed to cancel the call of a disconnected caller", exchange.errorFields(err)...)
	}
}
