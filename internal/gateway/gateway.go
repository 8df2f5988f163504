// Package gateway serves the callers' HTTP API. It authenticates a request by
// its API key, validates it, finds the leader of the program's shard and relays
// the call's stream to the caller. It keeps no durable state: any gateway can
// resume any call. The API is documented in docs/INTERFACES-callers.md.
package gateway

import (
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// Gateway serves the callers' API in one process.
type Gateway struct {
	config       Config
	dependencies Dependencies
	schedulers   *schedulerClient
	metrics      *metrics
	handler      http.Handler
}

// New returns a gateway. Defaults replace the optional dependencies that are
// not set and the zero fields of config.
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

// Handler returns the HTTP handler of the callers' API.
func (gateway *Gateway) Handler() http.Handler { return gateway.handler }

// endpoint serves one authenticated request. The caller of endpoint reports the
// returned error unless the response has begun.
type endpoint func(exchange *exchange) error

// route is one of the API's routes, as listed in docs/INTERFACES-callers.md.
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
		{"POST /v1/programs/{id}/calls", gateway.createCall},
		{"GET /v1/programs/{id}/calls/{request}/stream", gateway.resumeCall},
	}
}

// unknownRoute is the route in logs and metrics of requests that match none.
const unknownRoute = "unknown"

func (gateway *Gateway) newHandler() http.Handler {
	mux := http.NewServeMux()
	for _, route := range gateway.routes() {
		mux.Handle(route.pattern, gateway.serve(route.pattern, route.serve))
	}
	mux.Handle("/", gateway.serveUnauthenticated(unknownRoute, func(*exchange) error {
		return resultcode.New(resultcode.UnknownRoute, "unknown path or method")
	}))
	return mux
}

// serve adds authentication to an endpoint and wraps it like
// serveUnauthenticated.
func (gateway *Gateway) serve(route string, serve endpoint) http.Handler {
	return gateway.serveUnauthenticated(route, func(exchange *exchange) error {
		if err := gateway.authenticate(exchange); err != nil {
			return err
		}
		return serve(exchange)
	})
}

// serveUnauthenticated adds the error response, the request log and the metrics
// to an endpoint. internal/httpserver limits concurrent requests and recovers
// panics.
func (gateway *Gateway) serveUnauthenticated(route string, serve endpoint) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		exchange := gateway.newExchange(route, writer, request)
		gateway.metrics.inFlight.Inc()
		defer gateway.metrics.inFlight.Dec()
		exchange.finish(serve(exchange))
	})
}

// milliseconds converts a duration to fractional milliseconds.
func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
