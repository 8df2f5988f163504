// Package metrics serves a process's Prometheus metrics and its health.
package metrics

import (
	"net/http"

	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Paths served by Mount.
const (
	MetricsPath = "/metrics"
	HealthPath  = "/healthz"
	ReadyPath   = "/readyz"
)

// Readiness tells whether the process takes work: nil, or an error with the
// result code that says why not.
type Readiness func() error

// NewRegistry returns a registry with the Go runtime's and the process's own
// metrics, and magpielug_build_info for version and role.
func NewRegistry(version, role string) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	build := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "magpielug_build_info",
		Help: "Version and role of the process; always 1.",
	}, []string{"version", "role"})
	build.WithLabelValues(version, role).Set(1)
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		build,
	)
	return registry
}

// RegisterServer adds gauges of an HTTP server's load.
func RegisterServer(registry prometheus.Registerer, server *httpserver.Server) {
	registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "magpielug_http_connections",
			Help: "Open connections.",
		}, func() float64 { return float64(server.Connections()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "magpielug_http_requests_in_flight",
			Help: "Counted requests under way.",
		}, func() float64 { return float64(server.InFlight()) }),
	)
}

// Mount serves the registry's metrics, liveness (200 as long as the process
// answers) and readiness (200, or the status of the result code) on mux.
func Mount(mux *http.ServeMux, registry *prometheus.Registry, ready Readiness) {
	mux.Handle("GET "+MetricsPath, promhttp.HandlerFor(registry, promhttp.HandlerOpts{Registry: registry}))
	mux.HandleFunc("GET "+HealthPath, answerOK)
	mux.HandleFunc("GET "+ReadyPath, func(writer http.ResponseWriter, request *http.Request) {
		err := ready()
		if err != nil {
			httpserver.WriteError(writer, unready(err))
			return
		}
		answerOK(writer, request)
	})
}

// Exempt tells whether a request is for a path of this package, so that
// metrics and health are served at overload too.
func Exempt(request *http.Request) bool {
	switch request.URL.Path {
	case MetricsPath, HealthPath, ReadyPath:
		return true
	}
	return false
}

// unready keeps err's code; an error without one is answered as Stopping, so
// that no probe takes the process for ready or broken.
func unready(err error) error {
	if resultcode.CodeOf(err) == resultcode.Internal {
		return resultcode.New(resultcode.Stopping, "not ready: %v", err)
	}
	return err
}

func answerOK(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = writer.Write([]byte("ok\n"))
}
