package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/shard"
	"github.com/magpielug/magpielug/internal/stream"
)

const (
	eventQueueLength = 4096
	tickInterval     = 25 * time.Millisecond
)

// Loop is the control goroutine. It owns the core, passes it one event at a time, and hands the
// effects to the executor.
type Loop struct {
	core        *Core
	executor    *executor
	logger      *zap.Logger
	started     time.Time
	events      chan Event
	replies     map[ReplyID]chan<- replyValue
	lastReplyID ReplyID
	requests    chan requestRegistration
}

// replyValue is the reply to a request.
type replyValue struct {
	message proto.Message
	turn    uint32
	buffer  *stream.Buffer
	failure *schedulerv1.Error
	stats   Stats
	turns   []shard.StoredTurn
}

// requestRegistration is an event that expects a reply.
type requestRegistration struct {
	build func(ReplyID) Event
	reply chan<- replyValue
}

func newLoop(core *Core, logger *zap.Logger) *Loop {
	return &Loop{
		core:     core,
		logger:   logger,
		started:  time.Now(),
		events:   make(chan Event, eventQueueLength),
		replies:  make(map[ReplyID]chan<- replyValue),
		requests: make(chan requestRegistration, eventQueueLength),
	}
}

// now returns the time since the loop was created, on the monotonic clock.
func (loop *Loop) now() time.Duration { return time.Since(loop.started) }

// Run drives the core until the context is done.
func (loop *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-loop.events:
			loop.step(event)
		case registration := <-loop.requests:
			loop.register(registration)
		case <-ticker.C:
			loop.step(Tick{})
		}
	}
}

// Post passes an event to the control goroutine.
func (loop *Loop) Post(ctx context.Context, event Event) {
	select {
	case loop.events <- event:
	case <-ctx.Done():
	}
}

// Ask passes an event to the control goroutine and waits for its reply.
func (loop *Loop) Ask(ctx context.Context, build func(ReplyID) Event) (replyValue, error) {
	return loop.askWithKeepalive(ctx, build, func() error { return nil })
}

// askWithKeepalive is like Ask, and calls onIdle every keepaliveInterval until the reply
// arrives.
func (loop *Loop) askWithKeepalive(ctx context.Context, build func(ReplyID) Event, onIdle func() error) (replyValue, error) {
	answer := make(chan replyValue, 1)
	select {
	case loop.requests <- requestRegistration{build: build, reply: answer}:
	case <-ctx.Done():
		return replyValue{}, ctx.Err()
	}
	timer := time.NewTimer(keepaliveInterval)
	defer timer.Stop()
	for {
		select {
		case got := <-answer:
			return got, nil
		case <-ctx.Done():
			return replyValue{}, ctx.Err()
		case <-timer.C:
			if err := onIdle(); err != nil {
				return replyValue{}, err
			}
			timer.Reset(keepaliveInterval)
		}
	}
}

func (loop *Loop) register(registration requestRegistration) {
	loop.lastReplyID++
	loop.replies[loop.lastReplyID] = registration.reply
	loop.step(registration.build(loop.lastReplyID))
}

func (loop *Loop) step(event Event) {
	for _, effect := range loop.core.Step(loop.now(), event) {
		loop.execute(effect)
	}
}

func (loop *Loop) execute(effect Effect) {
	switch effect := effect.(type) {
	case Reply:
		loop.reply(effect.To, replyValue{message: effect.Message})
	case Follow:
		loop.reply(effect.ReplyTo, replyValue{turn: effect.Turn, buffer: effect.Buffer})
	case Decline:
		loop.reply(effect.ReplyTo, replyValue{failure: effect.Error})
	case TurnsReply:
		loop.reply(effect.ReplyTo, replyValue{turns: effect.Turns})
	case StatsReply:
		loop.reply(effect.ReplyTo, replyValue{stats: effect.Stats})
	case Logged:
		loop.log(effect)
	default:
		loop.executor.execute(effect)
	}
}

func (loop *Loop) reply(replyTo ReplyID, answer replyValue) {
	waiting := loop.replies[replyTo]
	if waiting == nil {
		return
	}
	delete(loop.replies, replyTo)
	waiting <- answer
}

func (loop *Loop) log(logged Logged) {
	fields := []zap.Field{zap.Uint32("shard", logged.Shard)}
	if logged.Program != "" {
		fields = append(fields, zap.String("program", logged.Program))
	}
	if logged.Request != "" {
		fields = append(fields, zap.String("request", logged.Request))
	}
	if logged.Detail != "" {
		fields = append(fields, zap.String("detail", logged.Detail))
	}
	loop.logger.Info(logged.Event, fields...)
}

// unavailable is the error returned if the control loop does not answer.
func unavailable() *schedulerv1.Error {
	return wireError(resultcode.New(resultcode.NoLeader, "the scheduler is stopping").WithRetryAfter(leaderRetryAfter))
}
