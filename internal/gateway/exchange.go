package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// errCallerDisconnected ends an exchange whose caller has disconnected. Its
// text is stored as the reason for stopping a program.
var errCallerDisconnected = errors.New("caller gone")

// exchange is the state of one caller's request.
type exchange struct {
	gateway *Gateway
	route   string
	writer  http.ResponseWriter
	request *http.Request
	// context is done when the caller's connection closes; see httpserver.
	context context.Context
	started time.Time

	configuration Configuration
	caller        *schedulerv1.Caller
	programID     string
	requestID     string

	// committed is true once the response status has been sent. A later error
	// can only be reported inside the stream.
	committed   bool
	firstToken  time.Time
	lastToken   time.Time
	chunks      uint64
	attachCount int
}

func (gateway *Gateway) newExchange(route string, writer http.ResponseWriter, request *http.Request) *exchange {
	return &exchange{
		gateway: gateway,
		route:   route,
		writer:  writer,
		request: request,
		context: request.Context(),
		started: gateway.dependencies.Clock.Now(),
	}
}

func (exchange *exchange) callerDisconnected() bool { return exchange.context.Err() != nil }

// recordChunk updates the latency metrics for one relayed chunk.
func (exchange *exchange) recordChunk() {
	now := exchange.gateway.dependencies.Clock.Now()
	metrics := exchange.gateway.metrics
	if exchange.chunks == 0 {
		exchange.firstToken = now
		metrics.firstToken.Observe(now.Sub(exchange.started).Seconds())
	} else {
		metrics.betweenTokens.Observe(now.Sub(exchange.lastToken).Seconds())
	}
	exchange.lastToken = now
	exchange.chunks++
}

// finish writes the error response, unless the response has begun or the caller
// has disconnected, then logs the request and updates the metrics.
func (exchange *exchange) finish(err error) {
	if err != nil && !exchange.committed && !exchange.callerDisconnected() && !errors.Is(err, errCallerDisconnected) {
		httpserver.WriteError(exchange.writer, err)
	}
	code := resultcode.CodeOf(err)
	outcome := code.String()
	if errors.Is(err, errCallerDisconnected) {
		code, outcome = resultcode.OK, "CALLER_GONE"
	}
	exchange.gateway.metrics.requests.WithLabelValues(exchange.route, outcome).Inc()
	exchange.logRequest(code, outcome, err)
}

func (exchange *exchange) logRequest(code resultcode.Code, outcome string, err error) {
	now := exchange.gateway.dependencies.Clock.Now()
	fields := []zap.Field{
		zap.String("route", exchange.route),
		zap.String("request", exchange.requestID),
		zap.String("program", exchange.programID),
		zap.String("tenant", exchange.caller.GetTenant()),
		zap.String("tier", exchange.caller.GetTier()),
		zap.Uint32("code", uint32(code)),
		zap.String("outcome", outcome),
		zap.Float64("total_ms", milliseconds(now.Sub(exchange.started))),
	}
	if exchange.chunks > 0 {
		fields = append(fields,
			zap.Float64("first_token_ms", milliseconds(exchange.firstToken.Sub(exchange.started))),
			zap.Uint64("chunks", exchange.chunks))
	}
	if exchange.attachCount > 1 {
		fields = append(fields, zap.Int("attaches", exchange.attachCount))
	}
	if err != nil {
		fields = append(fields, zap.String("error", err.Error()))
	}
	exchange.gateway.dependencies.Logger.Info("request", fields...)
}

// errorFields returns log fields that identify the exchange and the error.
func (exchange *exchange) errorFields(err error) []zap.Field {
	return []zap.Field{
		zap.String("request", exchange.requestID),
		zap.String("program", exchange.programID),
		zap.String("tenant", exchange.caller.GetTenant()),
		zap.Uint32("code", uint32(resultcode.CodeOf(err))),
		zap.String("error", err.Error()),
	}
}

// writeJSON writes a complete JSON response.
func (exchange *exchange) writeJSON(status int, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	exchange.committed = true
	header := exchange.writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(content)))
	exchange.writer.WriteHeader(status)
	_, err = exchange.writer.Write(content)
	return writeError(err)
}
