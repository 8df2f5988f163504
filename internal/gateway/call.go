package gateway

import (
	"net/http"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Names of the kinds of calls.
const (
	kindModel = "model"
	kindTool  = "tool"
)

func kindName(kind schedulerv1.CallKind) string {
	if kind == schedulerv1.CallKind_CALL_KIND_TOOL {
		return kindTool
	}
	return kindModel
}

// toolInputRole is the role of the one message that carries a tool's input.
const toolInputRole = "tool"

// callBody is the body of POST /v1/programs/{id}/calls.
type callBody struct {
	Kind string `json:"kind"`
	// Target is a model's name as in GET /v1/models, or a tool service's.
	Target string `json:"target"`
	// Messages are those that a model call adds to the program's history.
	Messages  []message `json:"messages"`
	MaxTokens *int64    `json:"max_tokens"`
	// Input is what a tool call hands to its service.
	Input      *string `json:"input"`
	Repeatable *bool   `json:"repeatable"`
	Stream     bool    `json:"stream"`
}

// callProgram serves POST /v1/programs/{id}/calls.
func (gateway *Gateway) callProgram(exchange *exchange) error {
	if err := exchange.programInPath(); err != nil {
		return err
	}
	content, err := exchange.readBody()
	if err != nil {
		return err
	}
	var body callBody
	if err := decodeStrict(content, &body); err != nil {
		return err
	}
	request, err := exchange.programCall(&body)
	if err != nil {
		return err
	}
	if exchange.requestID, err = requestIDOf(exchange.request.Header); err != nil {
		return err
	}
	exchange.completeName(request)
	return exchange.runCall(request, newCallAnswer(exchange, body.Stream))
}

func (exchange *exchange) programCall(body *callBody) (*schedulerv1.CallRequest, error) {
	switch body.Kind {
	case kindModel:
		return exchange.modelCall(body)
	case kindTool:
		return exchange.toolCall(body)
	default:
		return nil, resultcode.New(resultcode.BadRequest, "kind must be %s or %s", kindModel, kindTool)
	}
}

func (exchange *exchange) modelCall(body *callBody) (*schedulerv1.CallRequest, error) {
	if body.Input != nil {
		return nil, resultcode.New(resultcode.BadRequest, "input is for tool calls")
	}
	request, err := exchange.newCallRequest(schedulerv1.CallKind_CALL_KIND_MODEL, body.Repeatable)
	if err != nil {
		return nil, err
	}
	config := exchange.gateway.config
	if request.MaxTokens, err = config.outputTokens(body.MaxTokens); err != nil {
		return nil, err
	}
	if request.Messages, err = toMessages(body.Messages, config.MaxMessages); err != nil {
		return nil, err
	}
	request.Target, request.Adapter, err = resolveModel(exchange.configuration, body.Target)
	return request, err
}

func (exchange *exchange) toolCall(body *callBody) (*schedulerv1.CallRequest, error) {
	if body.Input == nil || body.Messages != nil || body.MaxTokens != nil {
		return nil, resultcode.New(resultcode.BadRequest, "a tool call takes input, and neither messages nor max_tokens")
	}
	if err := resolveTool(exchange.configuration, body.Target); err != nil {
		return nil, err
	}
	request, err := exchange.newCallRequest(schedulerv1.CallKind_CALL_KIND_TOOL, body.Repeatable)
	if err != nil {
		return nil, err
	}
	request.Target = body.Target
	request.Messages = []*schedulerv1.Message{{Role: toolInputRole, Content: *body.Input}}
	return request, nil
}

// resumeCall serves GET /v1/programs/{id}/calls/{request}/stream?after=N: the
// call's chunks from N+1 on, whether it still runs or has ended.
func (gateway *Gateway) resumeCall(exchange *exchange) error {
	if err := exchange.programInPath(); err != nil {
		return err
	}
	exchange.requestID = exchange.request.PathValue("request")
	if !validIdentifier(exchange.requestID) {
		return resultcode.New(resultcode.UnknownRequest, "the program has no call with this request id")
	}
	after, err := resumePoint(exchange.request)
	if err != nil {
		return err
	}
	exchange.nameCall()
	request := &schedulerv1.CallRequest{
		ProgramId:   exchange.programID,
		RequestId:   exchange.requestID,
		Caller:      exchange.caller,
		ResumeAfter: after,
		AttachOnly:  true,
	}
	return exchange.runCall(request, newCallAnswer(exchange, true))
}

// resumePoint reads the last chunk that the caller holds, from the query or
// from the header that event stream clients send by themselves.
func resumePoint(request *http.Request) (uint64, error) {
	const bits = 64
	value := request.URL.Query().Get("after")
	if value == "" {
		value = request.Header.Get(headerLastEventID)
	}
	return numberOf("after", value, bits, 0)
}
