package node

import (
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// logBreakerChange logs that an engine's circuit breaker opened or closed.
func (node *Node) logBreakerChange(change backend.BreakerChange) {
	event := "engine breaker closed"
	if change.Open {
		event = "engine breaker opened"
	}
	node.logger.Info(event, zap.String("engine", change.Engine), zap.String("service", change.Service),
		zap.Float64("answered", change.Succeeded), zap.Float64("failed", change.Failed), zap.Bool("others_known", change.RemoteKnown),
		zap.Float64("others_answered", change.RemoteSucceeded), zap.Float64("others_failed", change.RemoteFailed))
}

var openBreakers = prometheus.NewDesc("magpielug_open_breakers",
	"Engines that get nothing but probes, by service.", []string{"service"}, nil)

// breakerCollector exports the number of open circuit breakers by service.
type breakerCollector struct{ engines *backend.Directory }

// Describe implements prometheus.Collector.
func (breakerCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- openBreakers }

// Collect implements prometheus.Collector.
func (collector breakerCollector) Collect(collected chan<- prometheus.Metric) {
	for service, open := range collector.engines.OpenBreakers() {
		collected <- prometheus.MustNewConstMetric(openBreakers, prometheus.GaugeValue, float64(open), service)
	}
}
