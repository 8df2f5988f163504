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

// errCallerGone is the cause of an exchange's end when its caller left.
var errCallerGone = errors.New("caller gone")

// exchange is one caller's request and what is known of it so far.
type exchange struct {
	gateway *Gateway
	route   string
	writer  http.ResponseWriter
	request *http.Request
	// context ends when the caller's connection closes: see httpserver.
	context context.Context
	started time.Time

	configuration Configuration
	caller        *schedulerv1.Caller
	programID     string
	requestID     string

	// committed is true once the answer's status has been sent: a failure can
	// then be told only inside the stream.
	committed  bool
	firstToken time.Time
	lastToken  time.Time
	chunks     uint64
	attaches   int
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

// callerGone reports whether the caller's connection has closed.
func (exchange *exchange) callerGone() bool { return exchange.context.Err() != nil }

// noteChunk records the times of one relayed chunk.
func (exchange *exchange) noteChunk() {
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

// conclude answers a failure that the caller has not been told yet, then
// writes the request's log line and metrics.
func (exchange *exchange) conclude(err error) {
	if err != nil && !exchange.committed && !exchange.callerGone() && !errors.Is(err, errCallerGone) {
		httpserver.WriteError(exchange.writer, err)
	}
	code := resultcode.CodeOf(err)
	outcome := code.String()
	if errors.Is(err, errCallerGone) {
		code, outcome = resultcode.OK, "CALLER_GONE"
	}
	exchange.gateway.metrics.requests.WithLabelValues(exchange.route, outcome).Inc()
	exchange.log(code, outcome, err)
}

func (exchange *exchange) log(code resultcode.Code, outcome string, err error) {
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
	if exchange.attaches > 1 {
		fields = append(fields, zap.Int("attaches", exchange.attaches))
	}
	if err != nil {
		fields = append(fields, zap.String("error", err.Error()))
	}
	exchange.gateway.dependencies.Logger.Info("request", fields...)
}

// errorFields names the exchange and an error for a log line.
func (exchange *exchange) errorFields(err error) []zap.Field {
	return []zap.Field{
		zap.String("request", exchange.requestID),
		zap.String("program", exchange.programID),
		zap.String("tenant", exchange.caller.GetTenant()),
		zap.Uint32("code", uint32(resultcode.CodeOf(err))),
		zap.String("error", err.Error()),
	}
}

// answerJSON answers with a whole JSON value.
func (exchange *exchange) answerJSON(status int, value any) error {
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
