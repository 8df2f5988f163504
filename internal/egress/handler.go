package egress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/freeze"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/quarantine"
	"go.uber.org/zap"
)

const (
	// relayBufferBytes is the maximum size of one write of a relayed response.
	relayBufferBytes = 16 << 10
	// responseGrace is added to the engine's time limit to bound a request. A requesting node that
	// loses power does not close its connection, which would otherwise end the request.
	responseGrace = time.Second
)

// Engines provides the engines of the zone.
type Engines interface {
	// Instance returns an engine, false if it is unknown or draining.
	Instance(id string) (backend.Instance, bool)
	// FirstByteTimeout returns how long a request to a service may normally wait for its first
	// byte.
	FirstByteTimeout(service string) time.Duration
	// CountFailed counts a request as failed by its engine; UncountFailed reverts that.
	CountFailed(engine backend.Instance, now time.Time)
	UncountFailed(engine backend.Instance, now time.Time)
}

// Handler sends requests that other nodes delegate to this one.
type Handler struct {
	Engines Engines
	Sender  forward.Sender
	Logger  *zap.Logger
	// Views and FreezeDetector may be nil. The handler then does not wait for fresh views after
	// a freeze, and sees no freezes.
	Views          forward.Views
	FreezeDetector *freeze.Detector
	// Relayed is called once a request that was sent to an engine is over; it may be nil. The requesting node has
	// no connections to the engine by which it would notice the engine's end, and may be lost. answered is true if
	// the engine's response was relayed completely.
	Relayed func(attempt quarantine.Attempt, answered bool)
	// Stopping reports whether the node is shutting down and accepts no more requests.
	Stopping func() bool

	inFlight atomic.Int64
}

// InFlight returns the number of requests that are being sent for other nodes.
func (handler *Handler) InFlight() int { return int(handler.inFlight.Load()) }

// ServeHTTP implements http.Handler. It sends the response headers as soon as it has read the
// request, so that the requesting node knows that the request has arrived.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	content, err := io.ReadAll(request.Body)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	message, err := decodeRequest(content)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	control := http.NewResponseController(writer)
	writer.WriteHeader(http.StatusOK)
	if control.Flush() != nil {
		return // The requesting node is gone.
	}
	handler.inFlight.Add(1)
	defer handler.inFlight.Add(-1)
	forward.AwaitFreshViews(request.Context(), handler.Views, message.Request, handler.Logger)
	if request.Context().Err() != nil {
		return // The requesting node is gone and treats the request as lost.
	}
	engine, known := handler.Engines.Instance(message.Engine)
	if !known || handler.Stopping() {
		handler.writeFailure(writer, message, nodev1.EgressOutcome_EGRESS_OUTCOME_UNKNOWN_ENGINE, nil)
		return
	}
	attempt := newAttempt(message, engine)
	chosen := time.Now()
	attempt.Frozen = func() bool { return handler.FreezeDetector.FrozenSince(chosen) }
	bounded, cancel := context.WithTimeout(request.Context(), attempt.Remaining+responseGrace)
	defer cancel()
	monitor := startStallMonitor(request.Context(), handler.Engines, handler.FreezeDetector, engine)
	defer monitor.stop()
	response, err := handler.Sender.Send(bounded, attempt)
	answered := false
	if handler.Relayed != nil && mayHaveRun(response, err) {
		defer func() { handler.Relayed(relayedAttempt(attempt, chosen), answered) }()
	}
	if err != nil {
		if request.Context().Err() == nil {
			monitor.uncountFailure() // The requesting node is told of the failure and counts it.
		}
		handler.writeFailure(writer, message, outcomeOf(err), err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	relay(writer, control, response, monitor)
	answered = true
}

// mayHaveRun reports whether an engine may have run a request that was sent to it.
func mayHaveRun(response *forward.EngineResponse, err error) bool {
	if err != nil {
		return !errors.Is(err, backend.ErrNotSent)
	}
	return !response.NotRun && !response.Misdirected
}

// relayedAttempt describes an attempt that was sent to an engine for another node.
func relayedAttempt(attempt *forward.Attempt, began time.Time) quarantine.Attempt {
	return quarantine.Attempt{Identity: attempt.Identity, Engine: quarantine.EngineLife{ID: attempt.Engine.ID, Incarnation: attempt.Engine.Incarnation},
		Address: attempt.Engine.Address, Began: began, Deadline: began.Add(attempt.Remaining)}
}

// writeFailure sends a response head that says why no engine response follows.
func (handler *Handler) writeFailure(writer http.ResponseWriter, message *nodev1.EgressRequest, outcome nodev1.EgressOutcome, cause error) {
	handler.Logger.Info("delegated request failed", zap.String("request", message.Request),
		zap.String("engine", message.Engine), zap.Stringer("outcome", outcome), logging.ErrorField(cause))
	head := &nodev1.EgressHead{Outcome: outcome}
	if cause != nil {
		head.Failure = cause.Error()
	}
	if writeHead(writer, head) != nil {
		panic(http.ErrAbortHandler)
	}
}

func outcomeOf(err error) nodev1.EgressOutcome {
	switch {
	case errors.Is(err, backend.ErrTooManyConnections):
		return nodev1.EgressOutcome_EGRESS_OUTCOME_NO_CONNECTION
	case errors.Is(err, backend.ErrNotSent):
		return nodev1.EgressOutcome_EGRESS_OUTCOME_NOT_SENT
	}
	return nodev1.EgressOutcome_EGRESS_OUTCOME_LOST
}

// relay streams an engine's response to the requesting node. The head is flushed with the first
// part of the body. If the engine breaks the response off, the handler aborts its own so that
// the requesting node cannot mistake it for complete.
func relay(writer http.ResponseWriter, control *http.ResponseController, response *forward.EngineResponse, monitor *stallMonitor) {
	monitor.dataReceived()
	err := writeHead(writer, &nodev1.EgressHead{
		Outcome:     nodev1.EgressOutcome_EGRESS_OUTCOME_ANSWERED,
		Status:      int32(response.Status),
		Headers:     headersToProto(response.Header),
		NotRun:      response.NotRun,
		Misdirected: response.Misdirected,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	buffer := make([]byte, relayBufferBytes)
	for err == nil {
		var count int
		monitor.awaitData()
		count, err = response.Body.Read(buffer)
		if count == 0 {
			continue
		}
		monitor.dataReceived()
		_, writeErr := writer.Write(buffer[:count])
		if writeErr == nil {
			writeErr = control.Flush()
		}
		if writeErr != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if !errors.Is(err, io.EOF) {
		monitor.responseInterrupted()
		panic(http.ErrAbortHandler)
	}
}
