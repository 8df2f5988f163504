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

// programBody is a program as callers see it. Amounts are in micro units of
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

func programOf(program *schedulerv1.Program) programBody {
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

// createProgram serves POST /v1/programs. With a request id, sending the
// request again finds the program made by the first.
func (gateway *Gateway) createProgram(exchange *exchange) error {
	content, err := exchange.readBody()
	if err != nil {
		return err
	}
	var body createBody
	if err := decodeStrict(content, &body); err != nil {
		return err
	}
	if !validIdentifier(body.Kind) {
		return resultcode.New(resultcode.BadRequest, "kind must name a program kind")
	}
	if body.Parent != "" && !validIdentifier(body.Parent) {
		return unknownProgram()
	}
	if err := exchange.nameNewProgram(body.Parent); err != nil {
		return err
	}
	order := &schedulerv1.CreateProgramRequest{
		ProgramId: exchange.programID,
		Caller:    exchange.caller,
		Kind:      body.Kind,
		ParentId:  body.Parent,
		CapMicros: body.CapMicros,
	}
	created, err := ask(exchange.context, gateway.schedulers, order.ProgramId, true,
		func(ctx context.Context, service schedulerv1.Programs) (*schedulerv1.ProgramReply, error) {
			return service.CreateProgram(ctx, order)
		})
	if err != nil {
		return err
	}
	return exchange.answerJSON(http.StatusCreated, programOf(created.GetProgram()))
}

// nameNewProgram gives the program its id. A sub-agent's begins with its
// parent's, so that the whole family belongs to one shard.
func (exchange *exchange) nameNewProgram(parent string) error {
	requestID, err := requestIDOf(exchange.request.Header)
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
	exchange.programID = parent + membership.FamilySeparator + exchange.programID
	if !validIdentifier(exchange.programID) {
		return resultcode.New(resultcode.BadRequest, "sub-agents are nested too deep")
	}
	return nil
}

// programInPath reads the program's id from the path. One that can't be an id
// is answered as one that does not exist.
func (exchange *exchange) programInPath() error {
	identifier := exchange.request.PathValue("id")
	if !validIdentifier(identifier) {
		return unknownProgram()
	}
	exchange.programID = identifier
	return nil
}

// getProgram serves GET /v1/programs/{id}.
func (gateway *Gateway) getProgram(exchange *exchange) error {
	if err := exchange.programInPath(); err != nil {
		return err
	}
	question := &schedulerv1.GetProgramRequest{ProgramId: exchange.programID, Caller: exchange.caller}
	found, err := ask(exchange.context, gateway.schedulers, question.ProgramId, false,
		func(ctx context.Context, service schedulerv1.Programs) (*schedulerv1.ProgramReply, error) {
			return service.GetProgram(ctx, question)
		})
	if err != nil {
		return err
	}
	return exchange.answerJSON(http.StatusOK, programOf(found.GetProgram()))
}

// endProgram serves POST /v1/programs/{id}/end: no further calls.
func (gateway *Gateway) endProgram(exchange *exchange) error {
	return gateway.concludeProgram(exchange, false, "ended by its caller")
}

// stopProgram serves POST /v1/programs/{id}/stop: calls under way are
// cancelled as well.
func (gateway *Gateway) stopProgram(exchange *exchange) error {
	return gateway.concludeProgram(exchange, true, "stopped by its caller")
}

func (gateway *Gateway) concludeProgram(exchange *exchange, stop bool, reason string) error {
	if err := exchange.programInPath(); err != nil {
		return err
	}
	ended, err := gateway.orderEnd(exchange.context, &schedulerv1.EndProgramRequest{
		ProgramId: exchange.programID,
		Caller:    exchange.caller,
		Stop:      stop,
		Reason:    reason,
	})
	if err != nil {
		return err
	}
	return exchange.answerJSON(http.StatusOK, programOf(ended.GetProgram()))
}

func (gateway *Gateway) orderEnd(ctx context.Context, order *schedulerv1.EndProgramRequest) (*schedulerv1.ProgramReply, error) {
	return ask(ctx, gateway.schedulers, order.ProgramId, true,
		func(ctx context.Context, service schedulerv1.Programs) (*schedulerv1.ProgramReply, error) {
			return service.EndProgram(ctx, order)
		})
}

// numberOf reads a whole number of the query, or of other text; fallback
// stands in where it is empty.
func numberOf(name, value string, bits int, fallback uint64) (uint64, error) {
	if value == "" {
		return fallback, nil
	}
	number, err := strconv.ParseUint(value, 10, bits)
	if err != nil {
		return 0, resultcode.New(resultcode.BadRequest, "%s must be a whole number from 0", name)
	}
	return number, nil
}

// queryNumber reads a whole number of 32 bits from the query.
func queryNumber(query url.Values, name string, fallback uint32) (uint32, error) {
	const bits = 32
	number, err := numberOf(name, query.Get(name), bits, uint64(fallback))
	return uint32(number), err
}
