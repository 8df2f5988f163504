package scheduler

import (
	"context"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
)

// Scheduler implements the Programs and Peer services: each request becomes an event, and the
// core's reply is returned.
var (
	_ schedulerv1.Programs = (*Scheduler)(nil)
	_ schedulerv1.Peer     = (*Scheduler)(nil)
)

// CreateProgram creates a program, or returns the one created by the same request.
func (scheduler *Scheduler) CreateProgram(ctx context.Context, request *schedulerv1.CreateProgramRequest) (*schedulerv1.ProgramReply, error) {
	return dispatch[*schedulerv1.ProgramReply](ctx, scheduler, func(replyTo ReplyID) Event {
		return CreateRequested{ReplyTo: replyTo, Request: request}
	})
}

// EndProgram ends or stops a program.
func (scheduler *Scheduler) EndProgram(ctx context.Context, request *schedulerv1.EndProgramRequest) (*schedulerv1.ProgramReply, error) {
	return dispatch[*schedulerv1.ProgramReply](ctx, scheduler, func(replyTo ReplyID) Event {
		return EndRequested{ReplyTo: replyTo, Request: request}
	})
}

// GetProgram returns a program's record.
func (scheduler *Scheduler) GetProgram(ctx context.Context, request *schedulerv1.GetProgramRequest) (*schedulerv1.ProgramReply, error) {
	return dispatch[*schedulerv1.ProgramReply](ctx, scheduler, func(replyTo ReplyID) Event {
		return GetRequested{ReplyTo: replyTo, Request: request}
	})
}

// ReadHistory returns a program's turns, which are decoded outside the control goroutine.
func (scheduler *Scheduler) ReadHistory(ctx context.Context, request *schedulerv1.ReadHistoryRequest) (*schedulerv1.ReadHistoryReply, error) {
	answer, err := scheduler.loop.Ask(ctx, func(replyTo ReplyID) Event {
		return HistoryRequested{ReplyTo: replyTo, Request: request}
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

// ListPrograms lists the programs of the shards led by this process.
func (scheduler *Scheduler) ListPrograms(ctx context.Context, request *schedulerv1.ListProgramsRequest) (*schedulerv1.ListProgramsReply, error) {
	return dispatch[*schedulerv1.ListProgramsReply](ctx, scheduler, func(replyTo ReplyID) Event {
		return ListRequested{ReplyTo: replyTo, Request: request}
	})
}

// ExplainCall returns the decisions about a call.
func (scheduler *Scheduler) ExplainCall(ctx context.Context, request *schedulerv1.ExplainCallRequest) (*schedulerv1.ExplainCallReply, error) {
	return dispatch[*schedulerv1.ExplainCallReply](ctx, scheduler, func(replyTo ReplyID) Event {
		return ExplainRequested{ReplyTo: replyTo, Request: request}
	})
}

// Exchange handles a peer's batch and replies with the batch for that peer.
func (scheduler *Scheduler) Exchange(ctx context.Context, batch *schedulerv1.PeerBatch) (*schedulerv1.PeerBatch, error) {
	return dispatch[*schedulerv1.PeerBatch](ctx, scheduler, func(replyTo ReplyID) Event {
		return PeerBatchReceived{ReplyTo: replyTo, Batch: batch}
	})
}

func dispatch[Reply any](ctx context.Context, scheduler *Scheduler, build func(ReplyID) Event) (Reply, error) {
	var none Reply
	answer, err := scheduler.loop.Ask(ctx, build)
	if err != nil {
		return none, err
	}
	return answer.message.(Reply), nil
}
