package scheduler

import (
	"context"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

// Scheduler serves the Programs and the Peer services of the schema: each
// request becomes an event, and the core's answer the reply.
var (
	_ schedulerv1.Programs = (*Scheduler)(nil)
	_ schedulerv1.Peer     = (*Scheduler)(nil)
)

// CreateProgram makes a program, or returns the one made by the same request.
func (scheduler *Scheduler) CreateProgram(ctx context.Context, request *schedulerv1.CreateProgramRequest) (*schedulerv1.ProgramReply, error) {
	return askFor[*schedulerv1.ProgramReply](ctx, scheduler, func(ask AskID) Event {
		return CreateAsked{Ask: ask, Request: request}
	})
}

// EndProgram ends or stops a program.
func (scheduler *Scheduler) EndProgram(ctx context.Context, request *schedulerv1.EndProgramRequest) (*schedulerv1.ProgramReply, error) {
	return askFor[*schedulerv1.ProgramReply](ctx, scheduler, func(ask AskID) Event {
		return EndAsked{Ask: ask, Request: request}
	})
}

// GetProgram returns a program's record.
func (scheduler *Scheduler) GetProgram(ctx context.Context, request *schedulerv1.GetProgramRequest) (*schedulerv1.ProgramReply, error) {
	return askFor[*schedulerv1.ProgramReply](ctx, scheduler, func(ask AskID) Event {
		return GetAsked{Ask: ask, Request: request}
	})
}

// ReadHistory returns a program's turns. They are decoded here, away from the
// control goroutine.
func (scheduler *Scheduler) ReadHistory(ctx context.Context, request *schedulerv1.ReadHistoryRequest) (*schedulerv1.ReadHistoryReply, error) {
	answer, err := scheduler.loop.Ask(ctx, func(ask AskID) Event {
		return HistoryAsked{Ask: ask, Request: request}
	})
	if err != nil {
		return nil, err
	}
	if refused, isReply := answer.message.(*schedulerv1.ReadHistoryReply); isReply {
		return refused, nil
	}
	reply := &schedulerv1.ReadHistoryReply{}
	for _, stored := range answer.turns {
		content, err := stored.Decode()
		if err != nil {
			return nil, err
		}
		reply.Turns = append(reply.Turns, content.Turn)
	}
	return reply, nil
}

// ListPrograms lists the programs that this process leads.
func (scheduler *Scheduler) ListPrograms(ctx context.Context, request *schedulerv1.ListProgramsRequest) (*schedulerv1.ListProgramsReply, error) {
	return askFor[*schedulerv1.ListProgramsReply](ctx, scheduler, func(ask AskID) Event {
		return ListAsked{Ask: ask, Request: request}
	})
}

// ExplainCall returns the decisions about a call.
func (scheduler *Scheduler) ExplainCall(ctx context.Context, request *schedulerv1.ExplainCallRequest) (*schedulerv1.ExplainCallReply, error) {
	return askFor[*schedulerv1.ExplainCallReply](ctx, scheduler, func(ask AskID) Event {
		return ExplainAsked{Ask: ask, Request: request}
	})
}

// Exchange takes a peer's batch and answers with what waits for that peer.
func (scheduler *Scheduler) Exchange(ctx context.Context, batch *schedulerv1.PeerBatch) (*schedulerv1.PeerBatch, error) {
	return askFor[*schedulerv1.PeerBatch](ctx, scheduler, func(ask AskID) Event {
		return PeerBatchReceived{Ask: ask, Batch: batch}
	})
}

func askFor[Reply any](ctx context.Context, scheduler *Scheduler, build func(AskID) Event) (Reply, error) {
	var none Reply
	answer, err := scheduler.loop.Ask(ctx, build)
	if err != nil {
		return none, err
	}
	return answer.message.(Reply), nil
}
