package gateway

import (
	"context"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

// StopProgram stops a program of any tenant on behalf of an operator.
func (gateway *Gateway) StopProgram(ctx context.Context, program, reason string) error {
	request := &schedulerv1.EndProgramRequest{
		ProgramId:  program,
		Stop:       true,
		Reason:     reason,
		ByOperator: true,
	}
	_, err := sendUnary(ctx, gateway.schedulers, program, true,
		func(ctx context.Context, service schedulerv1.Programs) (*schedulerv1.ProgramReply, error) {
			return service.EndProgram(ctx, request)
		})
	return err
}

// ExplainCall returns the latest scheduling decisions for a call.
func (gateway *Gateway) ExplainCall(ctx context.Context, program, requestID string) (*schedulerv1.ExplainCallReply, error) {
	request := &schedulerv1.ExplainCallRequest{ProgramId: program, RequestId: requestID}
	return sendUnary(ctx, gateway.schedulers, program, false,
		func(ctx context.Context, service schedulerv1.Programs) (*schedulerv1.ExplainCallReply, error) {
			return service.ExplainCall(ctx, request)
		})
}
