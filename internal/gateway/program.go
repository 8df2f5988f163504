package gateway

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/membership"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// programBody is a program in the callers' API. Amounts are in micro units of
// the operator's currency.
type programBody struct {
	ID             string `json:"id"`
	Tier           string `json:"tier"`
	Kind           string `json:"kind"`
	Parent         string `json:"parent,omitempty"`
	State          string `json:"state"`
	Turns          uint32 `json:"turns"`
	SpentMicros    uint64 `json:"spent_micros"`
	ReservedMicros uint64 `json:"reserved_micros"`
	CapMicros      uint64 `json:"cap_micros"`
}

func newProgramBody(program *schedulerv1.Program) programBody {
	return programBody{
		ID:             program.GetId(),
		Tier:           program.GetTier(),
		Kind:           program.GetKind(),
		Parent:         program.GetParentId(),
		State:          program.GetState(),
		Turns:          program.GetTurns(),
		SpentMicros:    program.GetSpentMicros(),
		ReservedMicros: program.GetReservedMicros(),
		CapMicros:      program.GetCapMicros(),
	}
}

// createBody is the body of POST /v1/programs.
type createBody struct {
	Kind      string `json:"kind"`
	Parent    string `json:"parent"`
	CapMicros uint64 `json:"cap_micros"`
}

// createProgram serves POST /v1/programs. A retry with the same request id
// returns the program that the first request created.
func (gateway *Gateway) createProgram(exchange *exchange) error {
	content, err := exchange.readBody()
	if err != nil {
		return err
	}
	var body createBody
	if err := decodeStrict(content, &body); err != nil {
		return err
	}
	if !isValidIdentifier(body.Kind) {
		return resultcode.New(resultcode.BadRequest, "kind must name a program kind")
	}
	if body.Parent != "" && !isValidIdentifier(body.Parent) {
		return unknownProgramError()
	}
	if err := exchange.assignProgramID(body.Parent); err != nil {
		return err
	}
	request := &schedulerv1.CreateProgramRequest{
		ProgramId: exchange.programID,
		Caller:    exchange.caller,
		Kind:      body.Kind,
		ParentId:  body.Parent,
		CapMicros: body.CapMicros,
	}
	created, err := sendUnary(exchange.context, gateway.schedulers, request.ProgramId, true,
		func(ctx context.Context, service schedulerv1.Programs) (*schedulerv1.ProgramReply, error) {
			return service.CreateProgram(ctx, request)
		})
	if err != nil {
		return err
	}
	return exchange.writeJSON(http.StatusCreated, newProgramBody(created.GetProgram()))
}

// assignProgramID sets the new program's id. A sub-agent's id begins with its
// parent's id, which places the whole family in one shard.
func (exchange *exchange) assignProgramID(parent string) error {
	requestID, err := parseRequestID(exchange.request.Header)
	if err != nil {
		return err
	}
	exchange.requestID = requestID
	exchange.programID = newIdentifier()
	if requestID != "" {
		exchange.programID = derivedProgramID(purposeProgram, exchange.caller.Tenant, requestID)
	}
	if parent == "" {
		return nil
	}
	exchange.programID = parent + membership.SubAgentSeparator + exchange.programID
	if !isValidIdentifier(exchange.programID) {
		return resultcode.New(resultcode.BadRequest, "sub-agents are nested too deeply")
	}
	return nil
}

// parseProgramID reads the program id from the path. An invalid id gets the
// same error as an unknown program.
func (exchange *exchange) parseProgramID() error {
	identifier := exchange.request.PathValue("id")
	if !isValidIdentifier(identifier) {
		return unknownProgramError()
	}
	exchange.programID = identifier
	return nil
}

// getProgram serves GET /v1/programs/{id}.
func (gateway *Gateway) getProgram(exchange *exchange) error {
	if err := exchange.parseProgramID(); err != nil {
		return err
	}
	request := &schedulerv1.GetProgramRequest{ProgramId: exchange.programID, Caller: exchange.caller}
	found, err := sendUnary(exchange.context, gateway.schedulers, request.ProgramId, false,
		func(ctx context.Context, service schedulerv1.Programs) (*schedulerv1.ProgramReply, error) {
			return service.GetProgram(ctx, request)
		})
	if err != nil {
		return err
	}
	return exchange.writeJSON(http.StatusOK, newProgramBody(found.GetProgram()))
}

// endProgram serves POST /v1/programs/{id}/end, which rejects further calls.
func (gateway *Gateway) endProgram(exchange *exchange) error {
	return gateway.endOrStopProgram(exchange, false, "ended by its caller")
}

// stopProgram serves POST /v1/programs/{id}/stop, which also cancels running
// calls.
func (gateway *Gateway) stopProgram(exchange *exchange) error {
	return gateway.endOrStopProgram(exchange, true, "stopped by its caller")
}

func (gateway *Gateway) endOrStopProgram(exchange *exchange, stop bool, reason string) error {
	if err := exchange.parseProgramID(); err != nil {
		return err
	}
	ended, err := gateway.sendEndProgram(exchange.context, &schedulerv1.EndProgramRequest{
		ProgramId: exchange.programID,
		Caller:    exchange.caller,
		Stop:      stop,
		Reason:    reason,
	})
	if err != nil {
		return err
	}
	return exchange.writeJSON(http.StatusOK, newProgramBody(ended.GetProgram()))
}

func (gateway *Gateway) sendEndProgram(ctx context.Context, request *schedulerv1.EndProgramRequest) (*schedulerv1.ProgramReply, error) {
	return sendUnary(ctx, gateway.schedulers, request.ProgramId, true,
		func(ctx context.Context, service schedulerv1.Programs) (*schedulerv1.ProgramReply, error) {
			return service.EndProgram(ctx, request)
		})
}

// parseNumber parses an unsigned integer of the given size in bits; an empty
// value yields fallback.
func parseNumber(name, value string, bits int, fallback uint64) (uint64, error) {
	if value == "" {
		return fallback, nil
	}
	number, err := strconv.ParseUint(value, 10, bits)
	if err != nil {
		return 0, resultcode.New(resultcode.BadRequest, "%s must be a non-negative integer", name)
	}
	return number, nil
}

func parseQueryNumber(query url.Values, name string, fallback uint32) (uint32, error) {
	const bits = 32
	number, err := parseNumber(name, query.Get(name), bits, uint64(fallback))
	return uint32(number), err
}
