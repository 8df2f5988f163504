package gateway

import (
	"context"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

// StopProgram stops a program of any tenant by an operator's order.
func (gateway *Gateway) StopProgram(ctx context.Context, program, reason string) error {
	order := &schedulerv1.EndProgramRequest{
		ProgramId:  program,
		Stop:       true,
		Reason:     reason,
		ByOperator: true,
	}
	_, err := ask(ctx, gateway.schedulers, program, true,
		func(ctx context.Context, service schedulerv1.Programs) (*schedulerv1.ProgramReply, error) {
			return service.EndProgram(ctx, order)
		})
	return err
}

// ExplainCall returns the last decisions that were taken for one call.
func (gateway *Gateway) ExplainCall(ctx context.Context, program, requestID string) (*schedulerv1.ExplainCallReply, error) {
	question := &schedulerv1.ExplainCallRequest{ProgramId: program, RequestId: requestID}
	return ask(ctx, gateway.schedulers, program, false,
		func(ctx context.Context, service schedulerv1.Programs) (*schedulerv1.ExplainCallReply, error) {
			return service.ExplainCall(ctx, question)
		})
}
