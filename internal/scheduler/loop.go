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

// Loop is the control goroutine: it owns the core, feeds it events one at a
// time and has the effects carried out by traffic goroutines.
type Loop struct {
	core    *Core
	traffic *traffic
	logger  *zap.Logger
	started time.Time
	events  chan Event
	asks    map[AskID]chan<- callAnswer
	nextAsk AskID
	asking  chan askRegistration
}

// callAnswer is what an asker gets back.
type callAnswer struct {
	message proto.Message
	turn    uint32
	buffer  *stream.Buffer
	failure *schedulerv1.Error
	stats   Stats
	turns   []shard.StoredTurn
}

// askRegistration is an event that wants an answer.
type askRegistration struct {
	build  func(AskID) Event
	answer chan<- callAnswer
}

func newLoop(core *Core, logger *zap.Logger) *Loop {
	return &Loop{
		core:    core,
		logger:  logger,
		started: time.Now(),
		events:  make(chan Event, eventQueueLength),
		asks:    make(map[AskID]chan<- callAnswer),
		asking:  make(chan askRegistration, eventQueueLength),
	}
}

// now reads the monotonic clock.
func (loop *Loop) now() time.Duration { return time.Since(loop.started) }

// Run drives the core until the context ends.
func (loop *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-loop.events:
			loop.step(event)
		case registration := <-loop.asking:
			loop.ask(registration)
		case <-ticker.C:
			loop.step(Tick{})
		}
	}
}

// Post hands an event to the control goroutine.
func (loop *Loop) Post(ctx context.Context, event Event) {
	select {
	case loop.events <- event:
	case <-ctx.Done():
	}
}

// Ask hands an event over and waits for its answer.
func (loop *Loop) Ask(ctx context.Context, build func(AskID) Event) (callAnswer, error) {
	return loop.askWhile(ctx, build, func() error { return nil })
}

// askWhile is Ask that calls quiet each aliveInterval until the answer comes.
func (loop *Loop) askWhile(ctx context.Context, build func(AskID) Event, quiet func() error) (callAnswer, error) {
	answer := make(chan callAnswer, 1)
	select {
	case loop.asking <- askRegistration{build: build, answer: answer}:
	case <-ctx.Done():
		return callAnswer{}, ctx.Err()
	}
	timer := time.NewTimer(aliveInterval)
	defer timer.Stop()
	for {
		select {
		case got := <-answer:
			return got, nil
		case <-ctx.Done():
			return callAnswer{}, ctx.Err()
		case <-timer.C:
			if err := quiet(); err != nil {
				return callAnswer{}, err
			}
			timer.Reset(aliveInterval)
		}
	}
}

func (loop *Loop) ask(registration askRegistration) {
	loop.nextAsk++
	loop.asks[loop.nextAsk] = registration.answer
	loop.step(registration.build(loop.nextAsk))
}

func (loop *Loop) step(event Event) {
	for _, effect := range loop.core.Step(loop.now(), event) {
		loop.carryOut(effect)
	}
}

func (loop *Loop) carryOut(effect Effect) {
	switch effect := effect.(type) {
	case Answer:
		loop.answer(effect.Ask, callAnswer{message: effect.Message})
	case Follow:
		loop.answer(effect.Ask, callAnswer{turn: effect.Turn, buffer: effect.Buffer})
	case Decline:
		loop.answer(effect.Ask, callAnswer{failure: effect.Error})
	case TurnsTaken:
		loop.answer(effect.Ask, callAnswer{turns: effect.Turns})
	case StatsTaken:
		loop.answer(effect.Ask, callAnswer{stats: effect.Stats})
	case Logged:
		loop.log(effect)
	default:
		loop.traffic.carryOut(effect)
	}
}

func (loop *Loop) answer(ask AskID, answer callAnswer) {
	waiting := loop.asks[ask]
	if waiting == nil {
		return
	}
	delete(loop.asks, ask)
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

// unavailable is the answer of a process whose control loop does not answer.
func unavailable() *schedulerv1.Error {
	return wireError(resultcode.New(resultcode.NoLeader, "the scheduler is stopping").After(leaderRetryAfter))
}
