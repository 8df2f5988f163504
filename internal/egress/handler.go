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
	"go.uber.org/zap"
)

const (
	// pieceBytes is the most of an answer that is passed on at once.
	pieceBytes = 16 << 10
	// remainingSlack is how long after the engine's time an answer is still waited for:
	// a node that handed a request over and lost power does not close its connection.
	remainingSlack = time.Second
)

// Engines knows the engines that may get requests.
type Engines interface {
	// Instance returns an engine, false where it is not known or leaves.
	Instance(id string) (backend.Instance, bool)
	// FirstByteTimeout is how long a request to a service may at least be silent.
	FirstByteTimeout(service string) time.Duration
	// CountFailed counts a request that an engine fails, UncountFailed takes that back.
	CountFailed(engine backend.Instance, now time.Time)
	UncountFailed(engine backend.Instance, now time.Time)
}

// Handler sends requests that other nodes hand over.
type Handler struct {
	Engines Engines
	Sender  forward.Sender
	Logger  *zap.Logger
	// Views tells what is known from before a freeze, Freezes when the process was frozen.
	Views          forward.Views
	FreezeDetector *freeze.Detector
	// Stopping tells whether the node stops: it then takes no more requests.
	Stopping func() bool

	underWay atomic.Int64
}

// InFlight returns the number of requests that are being sent for other nodes.
func (handler *Handler) InFlight() int { return int(handler.underWay.Load()) }

// ServeHTTP implements http.Handler. The answer's headers go out at once: they tell the
// asker that the request has arrived.
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
		return // The asker is gone.
	}
	handler.underWay.Add(1)
	defer handler.underWay.Add(-1)
	forward.AwaitFreshViews(request.Context(), handler.Views, message.Request, handler.Logger)
	if request.Context().Err() != nil {
		return // The asker is gone, and takes the request for lost.
	}
	engine, known := handler.Engines.Instance(message.Engine)
	if !known || handler.Stopping() {
		handler.end(writer, message, nodev1.EgressOutcome_EGRESS_OUTCOME_UNKNOWN_ENGINE, nil)
		return
	}
	attempt := attemptOf(message, engine)
	chosen := time.Now()
	attempt.Frozen = func() bool { return handler.FreezeDetector.FrozenSince(chosen) }
	bounded, cancel := context.WithTimeout(request.Context(), attempt.Remaining+remainingSlack)
	defer cancel()
	watched := watchSilence(request.Context(), handler.Engines, handler.FreezeDetector, engine)
	defer watched.stop()
	reply, err := handler.Sender.Send(bounded, attempt)
	if err != nil {
		if request.Context().Err() == nil {
			watched.takeBack() // The asker hears of the failure, and counts it.
		}
		handler.end(writer, message, outcomeOf(err), err)
		return
	}
	defer func() { _ = reply.Body.Close() }()
	relay(writer, control, reply, watched)
}

// end answers that no engine's answer follows.
func (handler *Handler) end(writer http.ResponseWriter, message *nodev1.EgressRequest, outcome nodev1.EgressOutcome, cause error) {
	handler.Logger.Info("request for another node not answered", zap.String("request", message.Request),
		zap.String("engine", message.Engine), zap.Stringer("outcome", outcome), logging.Cause(cause))
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

// relay passes an engine's answer on as it comes, its head with its first piece. One that breaks off is broken off
// here too, so that it can't be taken for whole.
func relay(writer http.ResponseWriter, control *http.ResponseController, reply *forward.EngineResponse, watched *silence) {
	watched.heard()
	err := writeHead(writer, &nodev1.EgressHead{
		Outcome:     nodev1.EgressOutcome_EGRESS_OUTCOME_ANSWERED,
		Status:      int32(reply.Status),
		Headers:     toHeaders(reply.Header),
		NotRun:      reply.NotRun,
		Misdirected: reply.Misdirected,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	buffer := make([]byte, pieceBytes)
	for err == nil {
		var count int
		watched.awaits()
		count, err = reply.Body.Read(buffer)
		if count == 0 {
			continue
		}
		watched.heard()
		_, failure := writer.Write(buffer[:count])
		if failure == nil {
			failure = control.Flush()
		}
		if failure != nil {
			panic(http.ErrAbortHandler)
		}
	}
	if !errors.Is(err, io.EOF) {
		watched.broken()
		panic(http.ErrAbortHandler)
	}
}
