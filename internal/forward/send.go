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

// sendWithRetries tries engines until the caller has a response, or no further attempt is
// allowed. It returns nil if the response is complete.
func (inflight *inflightCall) sendWithRetries(ctx context.Context) error {
	inflight.searchStarted = time.Now()
	for {
		inflight.awaitFreshViews(ctx)
		remaining := time.Until(inflight.deadline)
		if remaining < minRemaining || ctx.Err() != nil {
			return inflight.timeoutError(ctx)
		}
		failure := inflight.checkQuarantine(ctx)
		if failure == nil {
			failure = inflight.checkVersionServed()
		}
		if failure != nil {
			return failure
		}
		engine := inflight.pickEngine()
		if engine == nil {
			failure = inflight.waitForEngine(ctx)
			if failure != nil {
				return failure
			}
			continue
		}
		admitted, failure := inflight.announceAttempt(ctx, engine)
		if failure != nil {
			return failure
		}
		if !admitted {
			continue
		}
		done, failure := inflight.tryEngine(ctx, engine, remaining)
		if done {
			return failure
		}
	}
}

// pickEngine chooses an engine and takes an attempt from the retry budget. It returns nil if no
// engine has capacity, other calls are queued, or the call may not attempt again now.
func (inflight *inflightCall) pickEngine() *backend.Engine {
	if !inflight.hasWaited && inflight.requiredVersion == nil && inflight.service.WaitQueue.HasWaiters(inflight.serviceName) {
		return nil
	}
	if !inflight.refusalState.AcquireAttempt(&inflight.service.RetryBudget, time.Now()) {
		return nil
	}
	engine := inflight.selectEngine()
	if engine == nil {
		inflight.refusalState.ReleaseAttempt(&inflight.service.RetryBudget)
	}
	return engine
}

// selectEngine chooses one of the engines that are eligible for the call.
func (inflight *inflightCall) selectEngine() *backend.Engine {
	inflight.engineViewAge = inflight.service.ViewAge()
	inflight.eligibleEngines = inflight.service.Engines.EligibleCount(inflight.serviceName)
	engine := inflight.service.Engines.Pick(inflight.engineRequest(), time.Now())
	if engine != nil {
		inflight.instance = inflight.service.Engines.InstanceOf(engine)
	}
	return engine
}

// engineRequest returns the properties of the call that determine the choice of its engine.
func (inflight *inflightCall) engineRequest() *backend.Request {
	request := &backend.Request{Service: inflight.serviceName, Zone: inflight.service.Zone, Zones: inflight.zones, Tried: inflight.triedEngines,
		Repeatable: inflight.route.Kind == routing.Safe, Version: inflight.requiredVersion}
	if inflight.route.Kind == routing.Streaming {
		request.Program = inflight.call.Program
		request.Session = inflight.call.Session
		request.Assigned = inflight.reservation.Engine
		request.Prompt = inflight.call.SharedPrompt
	}
	placement := inflight.placement()
	if placement.Engine != "" {
		request.Assigned = placement.Engine
		request.Avoid = placement.Avoid
	}
	return request
}

// tryEngine sends the call to one engine. It returns true when the call is finished.
func (inflight *inflightCall) tryEngine(ctx context.Context, engine *backend.Engine, remaining time.Duration) (bool, error) {
	instance := inflight.instance
	inflight.triedEngines = append(inflight.triedEngines, instance.ID)
	inflight.lastEngine = instance.ID
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcome := backend.Abandoned
	began := time.Now()
	end := attemptEnd{engine: instance, began: began, attempt: inflight.beginAttempt(instance, began, remaining)}
	inflight.releaseEngine = inflight.newEngineRelease(engine, began)
	attempt := inflight.newAttempt(instance, remaining)
	attempt.Identity = end.attempt.Identity
	stopFirstByteWatch := inflight.watchFirstByte(engine, attempt)
	defer func() {
		outcome = stopFirstByteWatch(outcome)
		if outcome == backend.Failed && inflight.service.FreezeDetector.FrozenSince(began) {
			// The engine may have closed the connection because this node read nothing during the
			// freeze.
			outcome = backend.Abandoned
		}
		inflight.releaseEngine(outcome)
		inflight.recordFailedEngine(instance, outcome)
		end.outcome = outcome
		end.abandoned = sendCtx.Err() != nil
		inflight.recordAttempt(end)
	}()
	stopRetryTimer := inflight.startRetryTimer(instance, cancel)
	defer stopRetryTimer()
	response, err := inflight.service.Sender.Send(sendCtx, attempt)
	end.sent = !errors.Is(err, backend.ErrNotSent) && !errors.Is(err, backend.ErrNodeLost)
	end.nodeLost = errors.Is(err, backend.ErrNodeLost)
	end.refused = backend.IsRefused(err)
	end.answered = err == nil && !response.Misdirected
	if err != nil {
		outcome = sendOutcome(ctx, err)
		if errors.Is(err, backend.ErrProcessFrozen) {
			inflight.triedEngines = inflight.triedEngines[:len(inflight.triedEngines)-1]
		}
		return inflight.handleSendFailure(ctx, err)
	}
	stopRetryTimer()
	inflight.via = response.Via
	inflight.lastStatus = response.Status
	defer func() { _ = response.Body.Close() }()
	if response.NotRun || response.Misdirected {
		outcome = inflight.handleRefusal(response, cancel)
		return false, nil
	}
	inflight.executions++
	if inflight.route.Kind == routing.Streaming && isSuccess(response.Status) {
		inflight.recordStreamVersion(instance)
		outcome, err = inflight.relayStream(ctx, response)
		return true, err
	}
	outcome, err = inflight.relayBuffered(ctx, response)
	outcome = statusOutcome(outcome, response.Status)
	if errors.Is(err, errResponseInterrupted) {
		return inflight.handleSendFailure(ctx, err)
	}
	return true, err
}

// handleRefusal reads an engine's refusal and returns the outcome of the attempt.
func (inflight *inflightCall) handleRefusal(response *EngineResponse, cancel context.CancelFunc) backend.Outcome {
	outcome := backend.Misdirected
	if !response.Misdirected {
		outcome = backend.Full
		inflight.refusalState.RecordRefusal()
	}
	drainRefusal(response, cancel)
	inflight.service.Logger.Info("engine refused", zap.String("request", inflight.call.ID),
		zap.String("engine", inflight.lastEngine), zap.Int("status", response.Status))
	return outcome
}

// newEngineRelease returns a function that ends the attempt at its engine; only the first call has
// an effect. The engine's slot is free from then on, even if the turn has yet to be recorded.
func (inflight *inflightCall) newEngineRelease(engine *backend.Engine, began time.Time) func(backend.Outcome) {
	released := false
	return func(outcome backend.Outcome) {
		if released {
			return
		}
		released = true
		inflight.endFirstByteWait()
		inflight.service.Engines.Finish(engine, outcome, time.Now())
		if outcome == backend.Succeeded {
			if !inflight.service.FreezeDetector.FrozenSince(began) {
				inflight.service.Engines.RecordDuration(inflight.serviceName, time.Since(began))
			}
			inflight.service.RetryBudget.RecordSuccess()
		}
		if outcome != backend.Full && outcome != backend.NoConnection {
			// After a refusal the queue wakes the next waiter at its own interval.
			inflight.service.WaitQueue.WakeNext(inflight.serviceName)
		}
	}
}

// drainRefusal reads the body of a refusal so that the connection can be reused: accepting a new
// connection costs an overloaded engine more than refusing a request. If the body is not read in
// time, closing it closes the connection.
func drainRefusal(response *EngineResponse, cancel context.CancelFunc) {
	timer := time.AfterFunc(refusalDrainTimeout, cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes))
}

func (inflight *inflightCall) newAttempt(engine backend.Instance, remaining time.Duration) *Attempt {
	chosen := time.Now()
	return &Attempt{
		Frozen:               func() bool { return inflight.service.FreezeDetector.FrozenSince(chosen) },
		Call:                 inflight.call,
		Engine:               engine,
		Body:                 inflight.body,
		Remaining:            max(remaining-ResponseMargin, time.Millisecond),
		Streaming:            inflight.route.Kind == routing.Streaming,
		Priority:             inflight.priority(),
		MaxConnections:       inflight.maxConnections(),
		MaxSharedConnections: inflight.serviceConfig.MaxConnections / egressNodesPerEngine,
	}
}

// sendOutcome returns the outcome at the engine of a failed Send.
func sendOutcome(ctx context.Context, err error) backend.Outcome {
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

// statusOutcome counts a complete response with a server error status as a failure of the engine.
func statusOutcome(outcome backend.Outcome, status int) backend.Outcome {
	if outcome == backend.Succeeded && status >= http.StatusInternalServerError {
		return backend.EngineError
	}
	return outcome
}

// recordFailedEngine records the engine if it failed the call, for the report to the program's
// owner.
func (inflight *inflightCall) recordFailedEngine(engine backend.Instance, outcome backend.Outcome) {
	switch outcome {
	case backend.EngineError, backend.Failed, backend.FailedRemotely, backend.NoResponse:
		inflight.failedEngine = engine.ID
	}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// egressNodesPerEngine is the divisor that gives each egress node its part of an engine's
// connection limit. It exceeds the usual number of egress nodes, to leave connections for newly
// chosen egress nodes and for nodes that send directly.
const egressNodesPerEngine = 4

// maxConnections returns this node's share of the engine's connections, 0 for unlimited.
func (inflight *inflightCall) maxConnections() int {
	if inflight.serviceConfig.MaxConnections == 0 {
		return 0
	}
	const minConnections = 4
	return max(inflight.serviceConfig.MaxConnections/max(inflight.service.Nodes(), 1), minConnections)
}

// handleSendFailure returns true and the call's error unless another engine may be tried.
func (inflight *inflightCall) handleSendFailure(ctx context.Context, err error) (bool, error) {
	inflight.service.Logger.Info("send failed", zap.String("request", inflight.call.ID),
		zap.String("engine", inflight.lastEngine), zap.Duration("after", time.Since(inflight.call.Received)), logging.ErrorField(err))
	if errors.Is(err, backend.ErrNotSent) {
		return false, nil
	}
	if !errors.Is(err, errResponseInterrupted) {
		inflight.executions++
	}
	if ctx.Err() != nil {
		return true, inflight.timeoutError(ctx)
	}
	if inflight.route.Kind == routing.Safe && inflight.executions < max(inflight.route.MaxAttempts, 1) {
		return false, nil
	}
	return true, inflight.outcomeUnknownError()
}

func (inflight *inflightCall) outcomeUnknownError() error {
	return resultcode.New(resultcode.OutcomeUnknown, "engine %s received the request but returned no complete response", inflight.lastEngine)
}

// timeoutError returns errCallerCanceled if the caller canceled, otherwise the error of a call that
// missed its deadline.
func (inflight *inflightCall) timeoutError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return errCallerCanceled
	}
	if inflight.executions > 0 || inflight.responseStarted {
		return resultcode.New(resultcode.ToolTimeout, "no response before the deadline")
	}
	return resultcode.New(resultcode.NoBackEnd, "no engine accepted the request before the deadline").WithRetryAfter(defaultCapacityRetryAfter)
}

var (
	errCallerCanceled      = errors.New("caller canceled the request")
	errResponseInterrupted = errors.New("response ended before it was complete")
)

// relayBuffered buffers a response until it is complete, so that an interrupted one can be retried
// or reported as an error. A response that does not fit into the buffer is streamed.
func (inflight *inflightCall) relayBuffered(ctx context.Context, response *EngineResponse) (backend.Outcome, error) {
	content, complete, err := inflight.bufferResponse(response.Body)
	defer inflight.service.HeldResponses.Release(int64(cap(content)))
	inflight.firstByteReceived()
	if err != nil {
		return inflight.interruptedResponse(ctx, errResponseInterrupted)
	}
	inflight.responseStarted = true
	err = inflight.writer.Begin(response.Status, response.Header)
	if err == nil && len(content) > 0 {
		err = inflight.writer.Write(content)
	}
	if err != nil {
		return backend.Succeeded, errCallerCanceled
	}
	if !complete {
		outcome, failure := inflight.relayRemainder(ctx, response)
		if failure != nil {
			return outcome, failure
		}
	}
	inflight.writer.End()
	return backend.Succeeded, nil
}

// relayRemainder streams the part of a response that follows the buffered one.
func (inflight *inflightCall) relayRemainder(ctx context.Context, response *EngineResponse) (backend.Outcome, error) {
	buffer := make([]byte, relayBufferBytes)
	for {
		count, err := response.Body.Read(buffer)
		if count > 0 && inflight.writer.Write(buffer[:count]) != nil {
			return backend.Abandoned, errCallerCanceled
		}
		if errors.Is(err, io.EOF) {
			return backend.Succeeded, nil
		}
		if err != nil {
			return inflight.interruptedResponse(ctx, inflight.outcomeUnknownError())
		}
	}
}

// interruptedResponse returns the outcome and the error of a response that ended early: failure, or
// the timeout error if the call itself has ended.
func (inflight *inflightCall) interruptedResponse(ctx context.Context, failure error) (backend.Outcome, error) {
	if ctx.Err() != nil {
		return backend.Abandoned, inflight.timeoutError(ctx)
	}
	return backend.Failed, failure
}
