// Package metrics serves a process's Prometheus metrics and health checks.
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

// ReadinessCheck returns nil if the process is ready to serve, or an error whose
// result code gives the reason.
type ReadinessCheck func() error

// NewRegistry returns a registry with the Go runtime and process collectors and
// magpielug_build_info, labelled with version and role.
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

// RegisterServer registers gauges of an HTTP server's open connections and
// requests in flight.
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

// Mount registers handlers on mux for metrics, liveness (always 200) and
// readiness (200, or the HTTP status of the error's result code).
func Mount(mux *http.ServeMux, registry *prometheus.Registry, ready ReadinessCheck) {
	mux.Handle("GET "+MetricsPath, promhttp.HandlerFor(registry, promhttp.HandlerOpts{Registry: registry}))
	mux.HandleFunc("GET "+HealthPath, writeOK)
	mux.HandleFunc("GET "+ReadyPath, func(writer http.ResponseWriter, request *http.Request) {
		err := ready()
		if err != nil {
			httpserver.WriteError(writer, notReadyError(err))
			return
		}
		writeOK(writer, request)
	})
}

// IsMonitoringRequest reports whether a request is for a path served by Mount,
// so that a server can exempt it from its limits.
func IsMonitoringRequest(request *http.Request) bool {
	switch request.URL.Path {
	case MetricsPath, HealthPath, ReadyPath:
		return true
	}
	return false
}

// notReadyError returns err with its result code, or with Stopping if it has
// none: the response is then 503 rather than 500.
func notReadyError(err error) error {
	if resultcode.CodeOf(err) == resultcode.Internal {
		return resultcode.New(resultcode.Stopping, "not ready: %v", err)
	}
	return err
}

func writeOK(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = writer.Write([]byte("ok\n"))
}
