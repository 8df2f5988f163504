// Package gateway serves callers over HTTP: it authenticates a request by its
// tier key, checks it, finds the scheduler that leads the program's shard and
// relays the call's stream to the caller. It keeps no state that matters: any
// gateway can resume any call. The wire shapes stand in
// docs/INTERFACES-callers.md.
package gateway

import (
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// Gateway is the callers' side of one gateway process.
type Gateway struct {
	config       Config
	dependencies Dependencies
	schedulers   *schedulerClient
	metrics      *metrics
	handler      http.Handler
}

// New makes a gateway. Fields of dependencies that are optional take their
// defaults; those of config that are zero take DefaultConfig's.
func New(config Config, dependencies Dependencies) *Gateway {
	config = config.withDefaults()
	dependencies = dependencies.withDefaults()
	gateway := &Gateway{
		config:       config,
		dependencies: dependencies,
		metrics:      newMetrics(dependencies.Metrics),
	}
	gateway.schedulers = newSchedulerClient(config, dependencies, gateway.metrics)
	gateway.handler = gateway.newHandler()
	return gateway
}

// Handler returns the handler of all callers' paths.
func (gateway *Gateway) Handler() http.Handler { return gateway.handler }

// endpoint serves one authenticated request. An error that it returns has not
// been written to the caller yet.
type endpoint func(exchange *exchange) error

// route is one of the callers' paths, as docs/INTERFACES-callers.md lists them.
type route struct {
	pattern string
	serve   endpoint
}

func (gateway *Gateway) routes() []route {
	return []route{
		{"POST /v1/chat/completions", gateway.completeChat},
		{"GET /v1/models", gateway.listModels},
		{"POST /v1/programs", gateway.createProgram},
		{"GET /v1/programs/{id}", gateway.getProgram},
		{"POST /v1/programs/{id}/end", gateway.endProgram},
		{"POST /v1/programs/{id}/stop", gateway.stopProgram},
		{"GET /v1/programs/{id}/history", gateway.readHistory},
		{"POST /v1/programs/{id}/calls", gateway.callProgram},
		{"GET /v1/programs/{id}/calls/{request}/stream", gateway.resumeCall},
	}
}

// unknownRoute names requests for no path of routes in logs and metrics.
const unknownRoute = "unknown"

func (gateway *Gateway) newHandler() http.Handler {
	mux := http.NewServeMux()
	for _, route := range gateway.routes() {
		mux.Handle(route.pattern, gateway.serve(route.pattern, route.serve))
	}
	mux.Handle("/", gateway.serveUnauthenticated(unknownRoute, func(*exchange) error {
		return resultcode.New(resultcode.UnknownRoute, "no such path or method")
	}))
	return mux
}

// serve wraps an endpoint with authentication, then as serveUnauthenticated.
func (gateway *Gateway) serve(route string, serve endpoint) http.Handler {
	return gateway.serveUnauthenticated(route, func(exchange *exchange) error {
		if err := gateway.authenticate(exchange); err != nil {
			return err
		}
		return serve(exchange)
	})
}

// serveUnauthenticated wraps an endpoint with the error answer, the log line
// and the metrics. Requests in flight are bounded, and panics caught, by
// internal/httpserver.
func (gateway *Gateway) serveUnauthenticated(route string, serve endpoint) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		exchange := gateway.newExchange(route, writer, request)
		gateway.metrics.inFlight.Inc()
		defer gateway.metrics.inFlight.Dec()
		exchange.conclude(serve(exchange))
	})
}

// milliseconds renders a duration for logs, in milliseconds with fractions.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
