package node

import (
	"time"

	"github.com/magpielug/magpielug/internal/load"
	"github.com/prometheus/client_golang/prometheus"
)

var (
	loadAge = prometheus.NewDesc("magpielug_load_view_age_seconds",
		"Age of this node's view of the load over all nodes; left out where there is none.", nil, nil)
	loadReportingNodes = prometheus.NewDesc("magpielug_load_gathered_nodes",
		"Nodes that tell this node their load, 0 where it gathers none.", nil, nil)
	loadRunning = prometheus.NewDesc("magpielug_load_running",
		"Requests under way at the engines of a service over all nodes; left out while that is not known.", []string{"service"}, nil)
	loadWaiting = prometheus.NewDesc("magpielug_load_waiting",
		"Calls that wait at nodes for an engine of a service, over all nodes.", []string{"service"}, nil)
)

// loadCollector exports the load view as metrics, labelled by service.
type loadCollector struct{ node *Node }

// Describe implements prometheus.Collector.
func (collector *loadCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{loadAge, loadReportingNodes, loadRunning, loadWaiting} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (collector *loadCollector) Collect(collected chan<- prometheus.Metric) {
	now := time.Now()
	age, hasView := collector.node.load.Age(now)
	if hasView {
		collected <- prometheus.MustNewConstMetric(loadAge, prometheus.GaugeValue, age.Seconds())
	}
	collected <- prometheus.MustNewConstMetric(loadReportingNodes, prometheus.GaugeValue, float64(collector.node.sharing.aggregator.NodeCount(now)))
	total, known := collector.node.load.Total(now)
	if !known {
		return
	}
	for service, sum := range collector.byService(total) {
		collected <- prometheus.MustNewConstMetric(loadRunning, prometheus.GaugeValue, float64(sum.running), service)
		collected <- prometheus.MustNewConstMetric(loadWaiting, prometheus.GaugeValue, float64(sum.waiting), service)
	}
}

// serviceLoad is the load of a service over all nodes.
type serviceLoad struct{ running, waiting int }

func (collector *loadCollector) byService(total load.Report) map[string]serviceLoad {
	sums := map[string]serviceLoad{}
	for id, engine := range total.Engines {
		service, known := collector.node.engines.ServiceOf(id)
		if known {
			sum := sums[service]
			sum.running += engine.Running
			sums[service] = sum
		}
	}
	for queue, calls := range total.Waiting {
		sum := sums[queue.Service]
		sum.waiting += calls
		sums[queue.Service] = sum
	}
	return sums
}
