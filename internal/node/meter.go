package node

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/metrics"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/prometheus/client_golang/prometheus"
)

// meter implements forward.Meter with counters and histograms.
type meter struct {
	calls      *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstEvent prometheus.Histogram
	storeCalls *prometheus.CounterVec
	storeTime  *prometheus.HistogramVec
	handedOver *prometheus.CounterVec
	admissions *prometheus.CounterVec
	// loadMessages counts messages about load.
	loadMessages *prometheus.CounterVec
	noRoom       *prometheus.CounterVec
	// peerTraffic counts bytes of calls of other nodes, sent and received together.
	peerTraffic *prometheus.CounterVec

	// mutex guards calls at the store since the last summary line.
	mutex  sync.Mutex
	recent map[string]int
	// recentBytes counts bytes of calls of other nodes since then, by call and zone.
	recentBytes map[string]int64
	// tenants are those that have labels of their own.
	tenants map[string]bool
}

// Histogram bounds, seconds.
var latencyBounds = []float64{0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12}

func newMeter() *meter {
	return &meter{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_calls_total",
			Help: "Calls that have ended, by kind of route and result code.",
		}, []string{"kind", "code"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "magpielug_call_seconds",
			Help:    "Time from a call's arrival to its end, by kind of route.",
			Buckets: latencyBounds,
		}, []string{"kind"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "magpielug_first_event_seconds",
			Help:    "Time from a streaming call's arrival to its first event.",
			Buckets: latencyBounds,
		}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_store_calls_total",
			Help: "Calls at the store, by operation, topic and outcome.",
		}, []string{"operation", "topic", "outcome"}),
		storeTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "magpielug_store_call_seconds",
			Help:    "Time of a call at the store, by operation; reads that wait for a record included.",
			Buckets: latencyBounds,
		}, []string{"operation"}),
		handedOver: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_handed_over_total",
			Help: "Requests handed to egress nodes, by how that ended.",
		}, []string{"outcome"}),
		admissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_tenant_requests_total",
			Help: "Requests of tenants with a limit, by whether the limit had room. Tenants beyond the first 200 count as \"other\".",
		}, []string{"tenant", "verdict"}),
		loadMessages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_load_messages_total",
			Help: "Messages about load to gatherers, reports of this node and sums that it gathered, by outcome.",
		}, []string{"kind", "outcome"}),
		noRoom: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_refused_for_room_total",
			Help: "Calls refused because no engine had room in time, by service and reason.",
		}, []string{"service", "reason"}),
		peerTraffic: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_peer_bytes_total",
			Help: "Bytes of calls of other nodes, requests and answers together, by call and zone of the other node.",
		}, []string{"call", "zone"}),
		recent:      map[string]int{},
		recentBytes: map[string]int64{},
		tenants:     map[string]bool{},
	}
}

// mostTenantLabels bounds the tenants that the metrics tell apart.
const mostTenantLabels = 200

// otherTenants stands for the tenants beyond them.
const otherTenants = "other"

var verdictNames = map[forward.AdmissionVerdict]string{
	forward.Admitted:         "admitted",
	forward.OverLimit:        "over_limit",
	forward.LimitUnavailable: "unknown",
}

// admitted counts a request of a tenant with a limit.
func (meter *meter) admitted(tenant string, verdict forward.AdmissionVerdict) {
	meter.admissions.WithLabelValues(meter.tenantLabel(tenant), verdictNames[verdict]).Inc()
}

// tenantLabel bounds the labels whatever the configurations name.
func (meter *meter) tenantLabel(tenant string) string {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	if meter.tenants[tenant] {
		return tenant
	}
	if len(meter.tenants) >= mostTenantLabels {
		return otherTenants
	}
	meter.tenants[tenant] = true
	return tenant
}

// loadMessage counts a message to a gatherer.
func (meter *meter) loadMessage(sum bool, err error) {
	kind, outcome := "report", "done"
	if sum {
		kind = "sum"
	}
	if err != nil {
		outcome = "failed"
	}
	meter.loadMessages.WithLabelValues(kind, outcome).Inc()
}

// storeCall implements durable.Observe.
func (meter *meter) storeCall(operation, topic string, took time.Duration, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	meter.storeCalls.WithLabelValues(operation, topic, outcome).Inc()
	meter.storeTime.WithLabelValues(operation).Observe(took.Seconds())
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.recent[operation+"/"+topic+"/"+outcome]++
}

// takeRecent returns the calls at the store since it was last asked, as text.
func (meter *meter) takeRecent() string {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	names := slices.Sorted(maps.Keys(meter.recent))
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, name+":"+strconv.Itoa(meter.recent[name]))
	}
	clear(meter.recent)
	return strings.Join(parts, " ")
}

// peerBytes counts bytes of a call of another node.
func (meter *meter) peerBytes(call, zone string, bytes int64) {
	meter.peerTraffic.WithLabelValues(call, zone).Add(float64(bytes))
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.recentBytes[call+"/"+zone] += bytes
}

// takePeerBytes returns the bytes of calls of other nodes since it was last asked, as text.
func (meter *meter) takePeerBytes() string {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	names := slices.Sorted(maps.Keys(meter.recentBytes))
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, name+":"+strconv.FormatInt(meter.recentBytes[name], 10))
	}
	clear(meter.recentBytes)
	return strings.Join(parts, " ")
}

var kindNames = map[routing.Kind]string{
	routing.Safe:      "safe",
	routing.Unsafe:    "unsafe",
	routing.Streaming: "streaming",
}

// Finished implements forward.Meter.
func (meter *meter) Finished(kind routing.Kind, code resultcode.Code, took time.Duration) {
	name := kindNames[kind]
	meter.calls.WithLabelValues(name, strconv.Itoa(int(code))).Inc()
	meter.duration.WithLabelValues(name).Observe(took.Seconds())
}

// handed implements egress.Observe.
func (meter *meter) handed(outcome string) { meter.handedOver.WithLabelValues(outcome).Inc() }

// FirstEvent implements forward.Meter.
func (meter *meter) FirstEvent(took time.Duration) { meter.firstEvent.Observe(took.Seconds()) }

// RefusedForCapacity implements forward.Meter.
func (meter *meter) RefusedForCapacity(service string, reason forward.CapacityRefusal) {
	meter.noRoom.WithLabelValues(service, string(reason)).Inc()
}

// waitingCalls collects the calls that wait for an engine, by service and rank.
type waitingCalls struct{ queue *backend.WaitQueue }

var waitingDescription = prometheus.NewDesc("magpielug_waiting_calls", "Calls that wait for an engine, by service and rank.",
	[]string{"service", "rank"}, nil)

// Describe implements prometheus.Collector.
func (waitingCalls) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- waitingDescription
}

// Collect implements prometheus.Collector.
func (waiting waitingCalls) Collect(metrics chan<- prometheus.Metric) {
	for queue, calls := range waiting.queue.Counts() {
		metrics <- prometheus.MustNewConstMetric(waitingDescription, prometheus.GaugeValue, float64(calls),
			queue.Service, strconv.Itoa(queue.Priority))
	}
}

// metricsHandler serves the node's metrics, health and readiness.
func (node *Node) metricsHandler() http.Handler {
	meter := node.meter
	registry := prometheus.NewRegistry()
	registry.MustRegister(meter.calls, meter.duration, meter.firstEvent, meter.storeCalls, meter.storeTime, meter.handedOver, meter.admissions,
		meter.loadMessages, meter.noRoom, meter.peerTraffic, waitingCalls{queue: node.service.WaitQueue}, breakerCollector{engines: node.engines})
	registry.MustRegister(node.admission.metrics)
	gauges := []struct {
		name, help string
		value      func() float64
	}{
		{"magpielug_in_flight", "Requests under way.", func() float64 { return float64(node.inFlight()) }},
		{"magpielug_engines", "Engines known.", func() float64 { return float64(node.engines.EngineCount()) }},
		{"magpielug_nodes", "Nodes known that are not leaving.", func() float64 { return float64(node.members.staying()) }},
		{"magpielug_turns", "Turns held in memory.", func() float64 { turns, _ := node.turns.Size(); return float64(turns) }},
		{"magpielug_turn_bytes", "Bytes of turns held in memory.", func() float64 { _, bytes := node.turns.Size(); return float64(bytes) }},
		{"magpielug_held_request_bytes", "Bytes held of callers' requests.", func() float64 { return float64(node.held.sent.InUse()) }},
		{"magpielug_unread_bytes", "Bytes of answers that callers have not taken.", func() float64 { return float64(node.held.unread.InUse()) }},
		{"magpielug_held_answer_bytes", "Bytes of answers held until they are whole.", func() float64 { return float64(node.held.answers.InUse()) }},
		{"magpielug_engine_connections_opened", "Connections opened to engines.", func() float64 { return float64(node.around.Connections.OpenedCount()) }},
		{"magpielug_retry_budget", "Asks of engines after a refusal that are left.", func() float64 { return node.service.RetryBudget.Remaining(time.Now()) }},
		{"magpielug_retry_denials", "Asks of engines after a refusal that were denied.", func() float64 { return float64(node.service.RetryBudget.DeniedCount()) }},
	}
	registry.MustRegister(&loadCollector{node: node})
	for _, gauge := range gauges {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.name, Help: gauge.help}, gauge.value))
	}
	mux := http.NewServeMux()
	mux.HandleFunc(load.StatusPath, node.serveLoad)
	metrics.Mount(mux, registry, func() error {
		if node.ready() {
			return nil
		}
		return resultcode.New(resultcode.Stopping, "the node does not take callers now")
	})
	return mux
}
