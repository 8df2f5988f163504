package gateway

import (
	"net/http"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Call kinds in the callers' API.
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

// toolInputRole is the role of the single message that carries a tool call's
// input.
const toolInputRole = "tool"

// callBody is the body of POST /v1/programs/{id}/calls.
type callBody struct {
	Kind string `json:"kind"`
	// Target is a model name as listed by GET /v1/models, or the name of a tool
	// service.
	Target string `json:"target"`
	// Messages are appended to the program's history by a model call.
	Messages  []message `json:"messages"`
	MaxTokens *int64    `json:"max_tokens"`
	// Input is the input of a tool call.
	Input      *string `json:"input"`
	Repeatable *bool   `json:"repeatable"`
	Stream     bool    `json:"stream"`
}

// createCall serves POST /v1/programs/{id}/calls.
func (gateway *Gateway) createCall(exchange *exchange) error {
	if err := exchange.parseProgramID(); err != nil {
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
	request, err := exchange.newProgramCallRequest(&body)
	if err != nil {
		return err
	}
	if exchange.requestID, err = parseRequestID(exchange.request.Header); err != nil {
		return err
	}
	exchange.assignCallIDs(request)
	return exchange.runCall(request, newProgramCallResponse(exchange, body.Stream))
}

func (exchange *exchange) newProgramCallRequest(body *callBody) (*schedulerv1.CallRequest, error) {
	switch body.Kind {
	case kindModel:
		return exchange.newModelCallRequest(body)
	case kindTool:
		return exchange.newToolCallRequest(body)
	default:
		return nil, resultcode.New(resultcode.BadRequest, "kind must be %s or %s", kindModel, kindTool)
	}
}

func (exchange *exchange) newModelCallRequest(body *callBody) (*schedulerv1.CallRequest, error) {
	if body.Input != nil {
		return nil, resultcode.New(resultcode.BadRequest, "input is only allowed in tool calls")
	}
	request, err := exchange.newCallRequest(schedulerv1.CallKind_CALL_KIND_MODEL, body.Repeatable)
	if err != nil {
		return nil, err
	}
	config := exchange.gateway.config
	if request.MaxTokens, err = config.resolveMaxTokens(body.MaxTokens); err != nil {
		return nil, err
	}
	if request.Messages, err = toMessages(body.Messages, config.MaxMessages); err != nil {
		return nil, err
	}
	request.Target, request.Adapter, err = resolveModel(exchange.configuration, body.Target)
	return request, err
}

func (exchange *exchange) newToolCallRequest(body *callBody) (*schedulerv1.CallRequest, error) {
	if body.Input == nil || body.Messages != nil || body.MaxTokens != nil {
		return nil, resultcode.New(resultcode.BadRequest, "a tool call requires input and does not allow messages or max_tokens")
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

// resumeCall serves GET /v1/programs/{id}/calls/{request}/stream?after=N: it
// streams the chunks after sequence number N of a running or finished call.
func (gateway *Gateway) resumeCall(exchange *exchange) error {
	if err := exchange.parseProgramID(); err != nil {
		return err
	}
	exchange.requestID = exchange.request.PathValue("request")
	if !isValidIdentifier(exchange.requestID) {
		return resultcode.New(resultcode.UnknownRequest, "the program has no call with this request id")
	}
	after, err := parseResumeAfter(exchange.request)
	if err != nil {
		return err
	}
	exchange.setCallHeaders()
	request := &schedulerv1.CallRequest{
		ProgramId:   exchange.programID,
		RequestId:   exchange.requestID,
		Caller:      exchange.caller,
		ResumeAfter: after,
		AttachOnly:  true,
	}
	return exchange.runCall(request, newProgramCallResponse(exchange, true))
}

// parseResumeAfter returns the sequence number of the last chunk that the
// caller has, from the query or, as event stream clients send it on
// reconnecting, from the Last-Event-ID header.
func parseResumeAfter(request *http.Request) (uint64, error) {
	const bits = 64
	value := request.URL.Query().Get("after")
	if value == "" {
		value = request.Header.Get(headerLastEventID)
	}
	return parseNumber("after", value, bits, 0)
}
