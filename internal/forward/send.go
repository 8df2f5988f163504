package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	"go.uber.org/zap"
)

// sendUntilAnswered tries engines until one answers, or nothing may be tried any
// more. It returns nil once the caller has its answer.
func (current *course) sendUntilAnswered(ctx context.Context) error {
	current.searching = time.Now()
	for {
		current.awaitViews(ctx)
		remaining := time.Until(current.end)
		if remaining < minimumWork || ctx.Err() != nil {
			return current.timedOut(ctx)
		}
		engine := current.pick()
		if engine == nil {
			failure := current.awaitEngine(ctx)
			if failure != nil {
				return failure
			}
			continue
		}
		done, failure := current.attempt(ctx, engine, remaining)
		if done {
			return failure
		}
	}
}

// pick chooses an engine, nil where none has room, others wait for one, or the call may
// not ask again.
func (current *course) pick() *backend.Engine {
	if !current.waited && current.service.WaitQueue.HasWaiters(current.serviceName) {
		return nil
	}
	if !current.asking.AcquireAttempt(&current.service.RetryBudget, time.Now()) {
		return nil
	}
	engine := current.pickAmong()
	if engine == nil {
		current.asking.ReleaseAttempt(&current.service.RetryBudget)
	}
	return engine
}

// pickAmong chooses among the engines that may get the call.
func (current *course) pickAmong() *backend.Engine {
	request := &backend.Request{Service: current.serviceName, Zone: current.service.Zone, Zones: current.zones, Tried: current.tried,
		Repeatable: current.route.Kind == routing.Safe}
	if current.route.Kind == routing.Streaming {
		request.Program = current.call.Program
		request.Session = current.call.Session
		request.Assigned = current.reservation.Engine
		request.Prompt = current.call.SharedPrompt
	}
	current.viewAge = current.service.ViewAge()
	current.usable = current.service.Engines.EligibleCount(current.serviceName)
	return current.service.Engines.Pick(request, time.Now())
}

// attempt sends the call to one engine. It returns true once the call is over.
func (current *course) attempt(ctx context.Context, engine *backend.Engine, remaining time.Duration) (bool, error) {
	current.tried = append(current.tried, engine.ID)
	current.lastEngine = engine.ID
	sending, cancel := context.WithCancel(ctx)
	defer cancel()
	outcome := backend.Abandoned
	began := time.Now()
	current.release = current.releaseOnce(engine, began)
	attempt := current.newAttempt(engine, remaining)
	stopWatch := current.watch(engine, attempt)
	defer func() {
		outcome = stopWatch(outcome)
		if outcome == backend.Failed && current.service.FreezeDetector.FrozenSince(began) {
			// The engine gave a node up that read nothing for long.
			outcome = backend.Abandoned
		}
		current.release(outcome)
		current.noteFailure(engine, outcome)
	}()
	stopRepeat := current.repeatWhereSilent(engine, cancel)
	defer stopRepeat()
	reply, err := current.service.Sender.Send(sending, attempt)
	if err != nil {
		outcome = outcomeOfSending(ctx, err)
		if errors.Is(err, backend.ErrProcessFrozen) {
			current.tried = current.tried[:len(current.tried)-1]
		}
		return current.afterSendFailure(ctx, err)
	}
	stopRepeat()
	current.via = reply.Via
	current.status = reply.Status
	defer func() { _ = reply.Body.Close() }()
	if reply.NotRun || reply.Misdirected {
		outcome = current.refusedBy(engine, reply, cancel)
		return false, nil
	}
	current.runs++
	if current.route.Kind == routing.Streaming && isSuccess(reply.Status) {
		outcome, err = current.relayStream(ctx, reply)
		return true, err
	}
	outcome, err = current.relayWhole(ctx, reply)
	outcome = outcomeOfStatus(outcome, reply.Status)
	if errors.Is(err, errBrokenOff) {
		return current.afterSendFailure(ctx, err)
	}
	return true, err
}

// refusedBy reads an engine's refusal to its end, and returns what it says of the engine.
func (current *course) refusedBy(engine *backend.Engine, reply *EngineResponse, giveUp context.CancelFunc) backend.Outcome {
	outcome := backend.Misdirected
	if !reply.Misdirected {
		outcome = backend.Full
		current.asking.RecordRefusal()
	}
	drain(reply, giveUp)
	current.service.Logger.Info("engine refused", zap.String("request", current.call.ID),
		zap.String("engine", engine.ID), zap.Int("status", reply.Status))
	return outcome
}

// releaseOnce returns what ends the attempt at its engine, once: the engine has a place free
// from then on, also where the call's answer still waits for its record.
func (current *course) releaseOnce(engine *backend.Engine, began time.Time) func(backend.Outcome) {
	released := false
	return func(outcome backend.Outcome) {
		if released {
			return
		}
		released = true
		current.endSilence()
		current.service.Engines.Finish(engine, outcome, time.Now())
		if outcome == backend.Succeeded {
			if !current.service.FreezeDetector.FrozenSince(began) {
				current.service.Engines.RecordDuration(current.serviceName, time.Since(began))
			}
			current.service.RetryBudget.RecordSuccess()
		}
		if outcome != backend.Full && outcome != backend.NoConnection {
			// After a refusal the next one waits for the queue's own pace.
			current.service.WaitQueue.WakeNext(current.serviceName)
		}
	}
}

// drain reads a refusal to its end, so that its connection can be kept: a new one for each
// ask after a refusal costs a full engine more than the ask.
func drain(reply *EngineResponse, giveUp context.CancelFunc) {
	timer := time.AfterFunc(refusalDrain, giveUp)
	defer timer.Stop()
	// Where it can't be read the connection is closed with the body.
	_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, refusalBytes))
}

// newAttempt makes an attempt of the call at an engine.
func (current *course) newAttempt(engine *backend.Engine, remaining time.Duration) *Attempt {
	chosen := time.Now()
	return &Attempt{
		Frozen:         func() bool { return current.service.FreezeDetector.FrozenSince(chosen) },
		Call:           current.call,
		Engine:         engine.Instance,
		Body:           current.body,
		Remaining:      max(remaining-answerMargin, time.Millisecond),
		Streaming:      current.route.Kind == routing.Streaming,
		Priority:       current.urgency(),
		MaxConnections: current.maxConnections(),
		// A quarter for each: few nodes send to an engine for all others.
		MaxSharedConnections: current.definition.MaxConnections / sharedConnections,
	}
}

// outcomeOfSending tells what a failed sending says of the engine.
func outcomeOfSending(ctx context.Context, err error) backend.Outcome {
	switch {
	case ctx.Err() != nil:
		return backend.Abandoned
	case errors.Is(err, backend.ErrProcessFrozen):
		return backend.Abandoned
	case errors.Is(err, backend.ErrTooManyConnections):
		return backend.NoConnection
	case errors.Is(err, backend.ErrNotSent):
		return backend.Unreachable
	case errors.Is(err, backend.ErrNodeLost):
		return backend.Abandoned
	}
	return backend.Failed
}

// outcomeOfStatus tells an engine's own failure from an answer.
func outcomeOfStatus(outcome backend.Outcome, status int) backend.Outcome {
	if outcome == backend.Succeeded && status >= http.StatusInternalServerError {
		return backend.EngineError
	}
	return outcome
}

// noteFailure keeps the engine that ran a call and failed it, for the owner of its program.
func (current *course) noteFailure(engine *backend.Engine, outcome backend.Outcome) {
	switch outcome {
	case backend.EngineError, backend.Failed, backend.FailedRemotely, backend.NoResponse:
		current.failedEngine = engine.ID
	}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// sharedConnections is how many nodes may share what an engine takes of connections
// where they send for all others: more than do at a time, so that a change of them and
// the nodes that send themselves find room.
const sharedConnections = 4

// maxConnections is this node's share of what an engine takes.
func (current *course) maxConnections() int {
	if current.definition.MaxConnections == 0 {
		return 0
	}
	const least = 4
	return max(current.definition.MaxConnections/max(current.service.Nodes(), 1), least)
}

// afterSendFailure tells whether another engine may be tried.
func (current *course) afterSendFailure(ctx context.Context, err error) (bool, error) {
	current.service.Logger.Info("send failed", zap.String("request", current.call.ID),
		zap.String("engine", current.lastEngine), zap.Duration("after", time.Since(current.call.Received)), logging.Cause(err))
	if errors.Is(err, backend.ErrNotSent) {
		return false, nil
	}
	if !errors.Is(err, errBrokenOff) {
		current.runs++
	}
	if ctx.Err() != nil {
		return true, current.timedOut(ctx)
	}
	if current.route.Kind == routing.Safe && current.runs < max(current.route.MaxAttempts, 1) {
		return false, nil
	}
	return true, current.outcomeUnknown()
}

func (current *course) outcomeUnknown() error {
	return resultcode.New(resultcode.OutcomeUnknown, "engine %s got the request and gave no whole answer", current.lastEngine)
}

// timedOut is the answer once the call's time is over.
func (current *course) timedOut(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errCallerGone
	}
	if current.runs > 0 || current.begun {
		return resultcode.New(resultcode.ToolTimeout, "no answer in the time allowed")
	}
	return resultcode.New(resultcode.NoBackEnd, "no engine took the request in the time allowed").After(fullRetry)
}

var (
	errCallerGone = errors.New("the caller is gone")
	errBrokenOff  = errors.New("the engine broke its answer off")
)

// relayWhole holds an answer until it is whole, so that a broken one can be
// told as such or tried elsewhere. Of one over heldBytes the beginning is passed
// on before its end has come.
func (current *course) relayWhole(ctx context.Context, reply *EngineResponse) (backend.Outcome, error) {
	content, whole, err := current.hold(reply.Body)
	defer current.service.HeldResponses.Release(int64(cap(content)))
	current.heard()
	if err != nil {
		return current.brokenAnswer(ctx, errBrokenOff)
	}
	current.begun = true
	err = current.answer.Begin(reply.Status, reply.Header)
	if err == nil && len(content) > 0 {
		err = current.answer.Write(content)
	}
	if err != nil {
		return backend.Succeeded, errCallerGone
	}
	if !whole {
		outcome, failure := current.relayRest(ctx, reply)
		if failure != nil {
			return outcome, failure
		}
	}
	current.answer.End()
	return backend.Succeeded, nil
}

// relayRest passes on what follows the held beginning of a long answer.
func (current *course) relayRest(ctx context.Context, reply *EngineResponse) (backend.Outcome, error) {
	buffer := make([]byte, restBytes)
	for {
		count, err := reply.Body.Read(buffer)
		if count > 0 && current.answer.Write(buffer[:count]) != nil {
			return backend.Abandoned, errCallerGone
		}
		if errors.Is(err, io.EOF) {
			return backend.Succeeded, nil
		}
		if err != nil {
			return current.brokenAnswer(ctx, current.outcomeUnknown())
		}
	}
}

// brokenAnswer tells an engine's failure from the end of the call's time.
func (current *course) brokenAnswer(ctx context.Context, failure error) (backend.Outcome, error) {
	if ctx.Err() != nil {
		return backend.Abandoned, current.timedOut(ctx)
	}
	return backend.Failed, failure
}
