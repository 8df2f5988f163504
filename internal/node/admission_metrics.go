package node

import (
	"strconv"
	"time"

	"github.com/magpielug/magpielug/internal/admission"
	"github.com/prometheus/client_golang/prometheus"
)

// maxRouteLabels bounds the route labels in admission metrics; further routes count as
// otherRouteLabel.
const (
	maxRouteLabels  = 100
	otherRouteLabel = "other"
)

// admissionMetrics exports the inputs and outcomes of admission decisions.
type admissionMetrics struct {
	admitter *admitter
	refused  *prometheus.CounterVec
	capacity *prometheus.Desc
	limit    *prometheus.Desc
	demand   *prometheus.Desc
	programs *prometheus.Desc
	// routes holds the routes that have their own label. Guarded by the admitter's mutex.
	routes map[string]bool
}

func newAdmissionMetrics(admitter *admitter) *admissionMetrics {
	resource := []string{"service", "resource"}
	return &admissionMetrics{
		admitter: admitter,
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_programs_refused_total",
			Help: "Programs that this node refused to begin, by route, rank and reason: slots, memory, or their tenant's share.",
		}, []string{"route", "rank", "reason"}),
		capacity: prometheus.NewDesc("magpielug_admission_capacity", "Slots of a service's sound engines, or tokens of prompts that they hold.", resource, nil),
		limit:    prometheus.NewDesc("magpielug_admission_limit", "What programs may use of that together.", resource, nil),
		demand:   prometheus.NewDesc("magpielug_admission_demand", "What the programs under way are expected to use of that.", resource, nil),
		programs: prometheus.NewDesc("magpielug_programs_under_way", "Programs of this node's shards that are under way, by route and rank.", []string{"route", "rank"}, nil),
		routes:   map[string]bool{},
	}
}

// label returns the label of a route, bounding the number of labels. The caller holds the
// admitter's mutex.
func (metrics *admissionMetrics) label(route string) string {
	if metrics.routes[route] {
		return route
	}
	if len(metrics.routes) >= maxRouteLabels {
		return otherRouteLabel
	}
	metrics.routes[route] = true
	return route
}

// countRefusal counts a refused program. The caller holds the admitter's mutex.
func (metrics *admissionMetrics) countRefusal(route string, rank int32, reason string) {
	metrics.refused.WithLabelValues(metrics.label(route), strconv.Itoa(int(rank)), reason).Inc()
}

// Describe implements prometheus.Collector.
func (metrics *admissionMetrics) Describe(descriptions chan<- *prometheus.Desc) {
	metrics.refused.Describe(descriptions)
	for _, description := range []*prometheus.Desc{metrics.capacity, metrics.limit, metrics.demand, metrics.programs} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (metrics *admissionMetrics) Collect(collected chan<- prometheus.Metric) {
	metrics.refused.Collect(collected)
	state := metrics.admitter.state(time.Now())
	metrics.admitter.mutex.Lock()
	defer metrics.admitter.mutex.Unlock()
	for _, resource := range metrics.admitter.controller.Resources(state) {
		kind := resourceName(resource)
		collected <- gauge(metrics.capacity, resource.Capacity, resource.Service, kind)
		collected <- gauge(metrics.limit, resource.Limit, resource.Service, kind)
		collected <- gauge(metrics.demand, resource.Demand, resource.Service, kind)
	}
	metrics.collectPrograms(collected)
}

// collectPrograms sums active programs by label, since several routes may share one. The caller
// holds the admitter's mutex.
func (metrics *admissionMetrics) collectPrograms(collected chan<- prometheus.Metric) {
	type labels struct{ route, rank string }
	sums := map[labels]float64{}
	routes, _ := metrics.admitter.table.Report(time.Now())
	for name, route := range routes {
		rank := strconv.Itoa(route.Priority)
		sums[labels{metrics.label(admission.TrimRouteName(name, route.Service, route.Priority)), rank}] += float64(route.Programs)
	}
	for each, programs := range sums {
		collected <- gauge(metrics.programs, programs, each.route, each.rank)
	}
}

func gauge(description *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
}
