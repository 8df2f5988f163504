package node

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/quarantine"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/prometheus/client_golang/prometheus"
)

// serveQuarantine serves what this node holds against requests.
func (node *Node) serveQuarantine(writer http.ResponseWriter, request *http.Request) {
	if request.Method != http.MethodGet {
		httpserver.WriteError(writer, resultcode.New(resultcode.UnknownRoute, "%s %s: only GET is served", request.Method, quarantine.StatusPath))
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(node.quarantine.tracker.Status(time.Now()))
}

// quarantineCollector exports how many requests are held responsible for engines that ended.
type quarantineCollector struct{ tracker *quarantine.Tracker }

var (
	suspectRequestsDescription     = prometheus.NewDesc("magpielug_suspect_requests", "Requests under which an engine may have ended within the last minute.", nil, nil)
	quarantinedRequestsDescription = prometheus.NewDesc("magpielug_quarantined_requests", "Requests that are not sent, since several engines ended under them.", nil, nil)
)

// Describe implements prometheus.Collector.
func (quarantineCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- suspectRequestsDescription
	descriptions <- quarantinedRequestsDescription
}

// Collect implements prometheus.Collector.
func (collector quarantineCollector) Collect(collected chan<- prometheus.Metric) {
	suspects, quarantined := collector.tracker.Sizes(time.Now())
	collected <- prometheus.MustNewConstMetric(suspectRequestsDescription, prometheus.GaugeValue, float64(suspects))
	collected <- prometheus.MustNewConstMetric(quarantinedRequestsDescription, prometheus.GaugeValue, float64(quarantined))
}
