package node

import (
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// logBreaker writes the line of an engine breaker that has opened or closed.
func (node *Node) logBreaker(change backend.BreakerChange) {
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

// breakerCollector implements prometheus.Collector over the services known.
type breakerCollector struct{ engines *backend.Directory }

// Describe implements prometheus.Collector.
func (breakerCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- openBreakers }

// Collect implements prometheus.Collector.
func (collector breakerCollector) Collect(collected chan<- prometheus.Metric) {
	for service, open := range collector.engines.OpenBreakers() {
		collected <- prometheus.MustNewConstMetric(openBreakers, prometheus.GaugeValue, float64(open), service)
	}
}
