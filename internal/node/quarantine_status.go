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

// serveQuarantine serves what this node holds against requests, and releases the request whose content is
// named in the query of a POST.
func (node *Node) serveQuarantine(writer http.ResponseWriter, request *http.Request) {
	switch request.Method {
	case http.MethodGet:
		writeJSON(writer, node.quarantine.tracker.Status(time.Now()))
	case http.MethodPost:
		writeJSON(writer, releaseReply{RefutedLosses: node.quarantine.release(request.URL.Query().Get("content"))})
	default:
		httpserver.WriteError(writer, resultcode.New(resultcode.UnknownRoute, "%s %s: only GET and POST are served", request.Method, quarantine.StatusPath))
	}
}

// releaseReply is the response to a release: how many losses are held against the request no longer.
type releaseReply struct {
	RefutedLosses int `json:"refuted_losses"`
}

func writeJSON(writer http.ResponseWriter, content any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(content)
}

// quarantineCollector exports how many requests are held responsible for engines that ended.
type quarantineCollector struct{ tracker *quarantine.Tracker }

var (
	suspectRequestsDescription     = prometheus.NewDesc("magpielug_suspect_requests", "Requests under which an engine may have ended recently.", nil, nil)
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
