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
	"github.com/magpielug/magpielug/internal/quarantine"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/prometheus/client_golang/prometheus"
)

// meter implements forward.Metrics with Prometheus metrics.
type meter struct {
	calls *prometheus.CounterVec
	// turns counts turns by route, size of the program's budget and result.
	turns      *prometheus.CounterVec
	duration   *prometheus.HistogramVec
	firstEvent prometheus.Histogram
	logCalls   *prometheus.CounterVec
	logLatency *prometheus.HistogramVec
	handovers  *prometheus.CounterVec
	admissions *prometheus.CounterVec
	// loadMessages counts load messages to aggregators.
	loadMessages     *prometheus.CounterVec
	capacityRefusals *prometheus.CounterVec
	// peerTraffic counts bytes exchanged with other nodes, in both directions.
	peerTraffic *prometheus.CounterVec
	// lossesRecorded and lossesRefuted count the losses that this node observed and refuted,
	// quarantined the requests that it saw quarantined, lossMessages its messages about losses.
	lossesRecorded *prometheus.CounterVec
	lossesRefuted  prometheus.Counter
	quarantined    prometheus.Counter
	lossMessages   *prometheus.CounterVec
	// resumptions counts requests to resume streams, originMessages the messages about their origins.
	resumptions    *prometheus.CounterVec
	originMessages *prometheus.CounterVec

	// mutex guards the fields below. recentLogCalls counts calls to the durable log since the last
	// summary.
	mutex          sync.Mutex
	recentLogCalls map[string]int
	// recentPeerBytes counts bytes exchanged with other nodes since then, by call and zone.
	recentPeerBytes map[string]int64
	// recentPeerCalls counts the calls of other nodes since then, by call and outcome.
	recentPeerCalls map[string]int
	// tenants and routes hold the tenants and routes that have their own label.
	tenants map[string]bool
	routes  map[string]bool
}

// latencyBounds are histogram bounds in seconds.
var latencyBounds = []float64{0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12}

func newMeter() *meter {
	return &meter{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_calls_total",
			Help: "Calls that have ended, by kind of route and result code.",
		}, []string{"kind", "code"}),
		turns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_turns_total",
			Help: "Turns of programs with a budget that have ended, by route, by how many turns of the largest size the budget holds (at most budget_turns), and by result code.",
		}, []string{"route", "budget_turns", "code"}),
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
		logCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_store_calls_total",
			Help: "Calls at the store, by operation, topic and outcome.",
		}, []string{"operation", "topic", "outcome"}),
		logLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "magpielug_store_call_seconds",
			Help:    "Time of a call at the store, by operation; reads that wait for a record included.",
			Buckets: latencyBounds,
		}, []string{"operation"}),
		handovers: prometheus.NewCounterVec(prometheus.CounterOpts{
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
		capacityRefusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_refused_for_room_total",
			Help: "Calls refused because no engine had room in time, by service and reason.",
		}, []string{"service", "reason"}),
		peerTraffic: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_peer_bytes_total",
			Help: "Bytes of calls of other nodes, requests and answers together, by call and zone of the other node.",
		}, []string{"call", "zone"}),
		lossesRecorded: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_unanswered_attempts_total",
			Help: "Attempts of this node that an engine may have run and did not answer, by cause.",
		}, []string{"cause"}),
		lossesRefuted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "magpielug_unanswered_attempts_refuted_total",
			Help: "Attempts without an answer whose engine this node saw go on.",
		}),
		quarantined: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "magpielug_requests_quarantined_total",
			Help: "Requests under which so many engines ended that this node stopped sending them.",
		}),
		lossMessages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_loss_messages_total",
			Help: "Messages to other nodes about requests under which engines may have ended, by outcome.",
		}, []string{"outcome"}),
		resumptions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_stream_resumptions_total",
			Help: "Requests to resume streams, by how they were handled.",
		}, []string{"handled"}),
		originMessages: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "magpielug_stream_origin_messages_total",
			Help: "Messages to other nodes about where streams began, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		recentLogCalls:  map[string]int{},
		recentPeerBytes: map[string]int64{},
		recentPeerCalls: map[string]int{},
		tenants:         map[string]bool{},
		routes:          map[string]bool{},
	}
}

// maxTenantLabels bounds the tenant labels in metrics.
const maxTenantLabels = 200

// otherTenantLabel is the label of all further tenants.
const otherTenantLabel = "other"

var verdictNames = map[forward.AdmissionVerdict]string{
	forward.Admitted:         "admitted",
	forward.OverLimit:        "over_limit",
	forward.LimitUnavailable: "unknown",
}

// countAdmission counts a quota decision for a tenant.
func (meter *meter) countAdmission(tenant string, verdict forward.AdmissionVerdict) {
	meter.admissions.WithLabelValues(meter.tenantLabel(tenant), verdictNames[verdict]).Inc()
}

// tenantLabel returns the label of a tenant, bounding the number of labels.
func (meter *meter) tenantLabel(tenant string) string {
	return meter.boundedLabel(meter.tenants, tenant, maxTenantLabels, otherTenantLabel)
}

// boundedLabel returns a name that is among the known ones or that can still join them, else the label
// of all others.
func (meter *meter) boundedLabel(known map[string]bool, name string, limit int, other string) string {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	if known[name] {
		return name
	}
	if len(known) >= limit {
		return other
	}
	known[name] = true
	return name
}

// maxBudgetTurns is the largest class of budgets, in turns of the largest size.
const maxBudgetTurns = 64

// budgetTurns returns the class of a budget: how many turns of the largest size it holds, rounded up to a
// power of two.
func budgetTurns(turn *forward.TurnRequest) int64 {
	class := int64(1)
	for class < maxBudgetTurns && class*turn.MaxTokens < turn.Budget {
		class *= 2
	}
	return class
}

// TurnFinished implements forward.Metrics.
func (meter *meter) TurnFinished(route string, turn *forward.TurnRequest, code resultcode.Code) {
	label := meter.boundedLabel(meter.routes, route, maxRouteLabels, otherRouteLabel)
	meter.turns.WithLabelValues(label, strconv.FormatInt(budgetTurns(turn), 10), strconv.Itoa(int(code))).Inc()
}

// countLoadMessage counts a load message to an aggregator.
func (meter *meter) countLoadMessage(sum bool, err error) {
	kind, outcome := "report", "done"
	if sum {
		kind = "sum"
	}
	if err != nil {
		outcome = "failed"
	}
	meter.loadMessages.WithLabelValues(kind, outcome).Inc()
}

// countLossMessage counts a message about losses.
func (meter *meter) countLossMessage(err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	meter.lossMessages.WithLabelValues(outcome).Inc()
}

// Kinds of messages about the origins of streams.
const (
	originsKept     = "keep"
	originsAsked    = "find"
	originsRecorded = "record"
)

// countOriginMessage counts a message about the origins of streams.
func (meter *meter) countOriginMessage(kind string, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	meter.originMessages.WithLabelValues(kind, outcome).Inc()
}

// observeLogCall is a durable.ObserveFunc.
func (meter *meter) observeLogCall(operation, topic string, took time.Duration, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	meter.logCalls.WithLabelValues(operation, topic, outcome).Inc()
	meter.logLatency.WithLabelValues(operation).Observe(took.Seconds())
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.recentLogCalls[operation+"/"+topic+"/"+outcome]++
}

// takeLogCallSummary formats the log calls since the previous summary and resets their counts.
func (meter *meter) takeLogCallSummary() string {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	return takeCounts(meter.recentLogCalls)
}

// countPeerBytes counts bytes exchanged with another node.
func (meter *meter) countPeerBytes(call, zone string, bytes int64) {
	meter.peerTraffic.WithLabelValues(call, zone).Add(float64(bytes))
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.recentPeerBytes[call+"/"+zone] += bytes
}

// takePeerByteSummary formats the bytes exchanged with other nodes since the previous summary and
// resets their counts.
func (meter *meter) takePeerByteSummary() string {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	names := slices.Sorted(maps.Keys(meter.recentPeerBytes))
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, name+":"+strconv.FormatInt(meter.recentPeerBytes[name], 10))
	}
	clear(meter.recentPeerBytes)
	return strings.Join(parts, " ")
}

// countPeerCall counts a call of another node.
func (meter *meter) countPeerCall(call string, err error) {
	outcome := "done"
	if err != nil {
		outcome = "failed"
	}
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.recentPeerCalls[call+"/"+outcome]++
}

// takePeerCallSummary formats the calls of other nodes since the previous summary and resets their counts.
func (meter *meter) takePeerCallSummary() string {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	return takeCounts(meter.recentPeerCalls)
}

// takeCounts formats counts, sorted by name, and clears them.
func takeCounts(counts map[string]int) string {
	names := slices.Sorted(maps.Keys(counts))
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, name+":"+strconv.Itoa(counts[name]))
	}
	clear(counts)
	return strings.Join(parts, " ")
}

var kindNames = map[routing.Kind]string{
	routing.Safe:      "safe",
	routing.Unsafe:    "unsafe",
	routing.Streaming: "streaming",
}

// Finished implements forward.Metrics.
func (meter *meter) Finished(kind routing.Kind, code resultcode.Code, took time.Duration) {
	name := kindNames[kind]
	meter.calls.WithLabelValues(name, strconv.Itoa(int(code))).Inc()
	meter.duration.WithLabelValues(name).Observe(took.Seconds())
}

// countHandover is an egress.OutcomeFunc.
func (meter *meter) countHandover(outcome string) { meter.handovers.WithLabelValues(outcome).Inc() }

// FirstEvent implements forward.Metrics.
func (meter *meter) FirstEvent(took time.Duration) { meter.firstEvent.Observe(took.Seconds()) }

// Resumed implements forward.Metrics.
func (meter *meter) Resumed(handled forward.Resumption) {
	meter.resumptions.WithLabelValues(string(handled)).Inc()
}

// RefusedForCapacity implements forward.Metrics.
func (meter *meter) RefusedForCapacity(service string, reason forward.CapacityRefusal) {
	meter.capacityRefusals.WithLabelValues(service, string(reason)).Inc()
}

// waitQueueCollector exports the number of queued calls by service and priority.
type waitQueueCollector struct{ queue *backend.WaitQueue }

var waitingDescription = prometheus.NewDesc("magpielug_waiting_calls", "Calls that wait for an engine, by service and rank.",
	[]string{"service", "rank"}, nil)

// Describe implements prometheus.Collector.
func (waitQueueCollector) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- waitingDescription
}

// Collect implements prometheus.Collector.
func (collector waitQueueCollector) Collect(collected chan<- prometheus.Metric) {
	for queue, calls := range collector.queue.Counts() {
		collected <- prometheus.MustNewConstMetric(waitingDescription, prometheus.GaugeValue, float64(calls),
			queue.Service, strconv.Itoa(queue.Priority))
	}
}

// metricsHandler serves the node's metrics, health, readiness and load status.
func (node *Node) metricsHandler() http.Handler {
	meter := node.meter
	registry := prometheus.NewRegistry()
	registry.MustRegister(meter.calls, meter.turns, meter.duration, meter.firstEvent, meter.logCalls, meter.logLatency, meter.handovers, meter.admissions,
		meter.loadMessages, meter.capacityRefusals, meter.peerTraffic, meter.lossesRecorded, meter.lossesRefuted, meter.quarantined, meter.lossMessages, meter.resumptions, meter.originMessages, waitQueueCollector{queue: node.service.WaitQueue}, breakerCollector{engines: node.engines})
	registry.MustRegister(node.admission.metrics)
	gauges := []struct {
		name, help string
		value      func() float64
	}{
		{"magpielug_in_flight", "Requests under way.", func() float64 { return float64(node.inFlight()) }},
		{"magpielug_engines", "Engines known.", func() float64 { return float64(node.engines.EngineCount()) }},
		{"magpielug_nodes", "Nodes known that are not leaving.", func() float64 { return float64(node.members.activeCount()) }},
		{"magpielug_stream_origins", "Streams of which this node knows the software version that began them.", func() float64 { return float64(node.origins.table.Size()) }},
		{"magpielug_turns", "Turns held in memory.", func() float64 { turns, _ := node.turns.Size(); return float64(turns) }},
		{"magpielug_turn_bytes", "Bytes of turns held in memory.", func() float64 { _, bytes := node.turns.Size(); return float64(bytes) }},
		{"magpielug_turns_expired", "Turns dropped from memory at the end of their retention.", func() float64 { return float64(node.turns.Dropped().Expired) }},
		{"magpielug_turns_evicted", "Turns dropped from memory for lack of space.", func() float64 { return float64(node.turns.Dropped().Evicted) }},
		{"magpielug_turns_recorded_again", "Turns recorded again before the log drops them.", func() float64 { return float64(node.refresher.Refreshed()) }},
		{"magpielug_dropped_turn_locations", "Dropped turns whose place in the log is known.", func() float64 { return float64(node.turns.DroppedLocations()) }},
		{"magpielug_held_request_bytes", "Bytes held of callers' requests.", func() float64 { return float64(node.bufferLimits.requests.InUse()) }},
		{"magpielug_unread_bytes", "Bytes of answers that callers have not taken.", func() float64 { return float64(node.bufferLimits.unreadResponses.InUse()) }},
		{"magpielug_held_answer_bytes", "Bytes of answers held until they are whole.", func() float64 { return float64(node.bufferLimits.heldResponses.InUse()) }},
		{"magpielug_engine_connections_opened", "Connections opened to engines.", func() float64 { return float64(node.dependencies.Connections.OpenedCount()) }},
		{"magpielug_retry_budget", "Asks of engines after a refusal that are left.", func() float64 { return node.service.RetryBudget.Remaining(time.Now()) }},
		{"magpielug_processor_pressure", "Share of time for which goroutines that could run wait for a processor.", func() float64 { return node.processor.Pressure() }},
		{"magpielug_retry_denials", "Asks of engines after a refusal that were denied.", func() float64 { return float64(node.service.RetryBudget.DeniedCount()) }},
	}
	registry.MustRegister(&loadCollector{node: node})
	registry.MustRegister(quarantineCollector{tracker: node.quarantine.tracker})
	for _, gauge := range gauges {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.name, Help: gauge.help}, gauge.value))
	}
	mux := http.NewServeMux()
	mux.HandleFunc(load.StatusPath, node.serveLoad)
	mux.HandleFunc(quarantine.StatusPath, node.serveQuarantine)
	metrics.Mount(mux, registry, func() error {
		if node.ready() {
			return nil
		}
		return resultcode.New(resultcode.Stopping, "the node is not ready")
	})
	return mux
}
