package scheduler

import (
	"context"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// Stats is a snapshot of a scheduler process's gauges and counters.
type Stats struct {
	ShardsHosted int
	ShardsLed    int
	// Programs counts the live and ended programs of the shards led.
	Programs int
	// OpenCalls counts accepted calls without a final answer, ParkedCalls the calls that wait
	// for escrow and are not accepted yet.
	OpenCalls   int
	ParkedCalls int
	// BacklogBytes is the size of the committed but unarchived entries of all hosted shards.
	BacklogBytes int
	PoolsManaged int
	Counters     Counters
}

// Counters are counted since the start of the process.
type Counters struct {
	Accepted uint64
	Finished uint64
	Requeued uint64
	// Ended counts calls without a result, including refused ones, by code.
	Ended map[resultcode.Code]uint64
}

// StatsRequested requests the process's stats.
type StatsRequested struct{ ReplyTo ReplyID }

func (StatsRequested) event() {}

// StatsReply answers a StatsRequested.
type StatsReply struct {
	ReplyTo ReplyID
	Stats   Stats
}

func (StatsReply) effect() {}

func newCounters() Counters {
	return Counters{Ended: make(map[resultcode.Code]uint64)}
}

// copied returns a copy that does not share the map with the core.
func (counters Counters) copied() Counters {
	ended := make(map[resultcode.Code]uint64, len(counters.Ended))
	for code, count := range counters.Ended {
		ended[code] = count
	}
	counters.Ended = ended
	return counters
}

func (core *Core) stats() Stats {
	stats := Stats{
		ShardsHosted: len(core.hosts),
		PoolsManaged: len(core.pools),
		Counters:     core.counters.copied(),
	}
	for _, host := range core.hosts {
		stats.BacklogBytes += host.replica.BacklogBytes()
		if !host.leads() {
			continue
		}
		stats.ShardsLed++
		stats.Programs += host.state.Len()
		stats.OpenCalls += len(host.calls)
		for _, demand := range host.escrowDemands {
			stats.ParkedCalls += len(demand.parked)
		}
	}
	return stats
}

// Collector exports a scheduler's stats to Prometheus.
type Collector struct{ scheduler *Scheduler }

// NewCollector returns a collector for a running scheduler.
func NewCollector(scheduler *Scheduler) *Collector { return &Collector{scheduler: scheduler} }

// collectTimeout bounds the wait for the control loop during a scrape.
const collectTimeout = time.Second

var (
	shardsHosted = describe("shards_hosted", "Shards with a replica here.")
	shardsLed    = describe("shards_led", "Shards led here, under a valid lease.")
	programsLed  = describe("programs", "Programs of the shards led here.")
	callsOpen    = describe("calls_open", "Accepted calls without a final answer.")
	callsParked  = describe("calls_parked", "Calls that wait for escrow.")
	backlogBytes = describe("archive_backlog_bytes", "Committed entries that are not yet archived.")
	poolsManaged = describe("pools_kept", "Engine pools kept here.")
	accepted     = describe("calls_accepted_total", "Calls accepted.")
	finished     = describe("calls_finished_total", "Calls with a result.")
	requeued     = describe("calls_requeued_total", "Attempts that were lost or did not run.")
	ended        = describe("calls_ended_total", "Calls without a result, by code.", "code", "name")
)

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("magpielug_scheduler_"+name, help, labels, nil)
}

// Describe implements prometheus.Collector. It sends no descriptors because the result codes are
// not known in advance, which makes the collector unchecked.
func (collector *Collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. It sends no metrics if the control loop does not
// answer in time.
func (collector *Collector) Collect(metrics chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	answer, err := collector.scheduler.loop.Ask(ctx, func(replyTo ReplyID) Event { return StatsRequested{ReplyTo: replyTo} })
	if err != nil {
		return
	}
	stats := answer.stats
	gauges := map[*prometheus.Desc]int{
		shardsHosted: stats.ShardsHosted,
		shardsLed:    stats.ShardsLed,
		programsLed:  stats.Programs,
		callsOpen:    stats.OpenCalls,
		callsParked:  stats.ParkedCalls,
		backlogBytes: stats.BacklogBytes,
		poolsManaged: stats.PoolsManaged,
	}
	for description, value := range gauges {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(value))
	}
	counted := map[*prometheus.Desc]uint64{
		accepted: stats.Counters.Accepted,
		finished: stats.Counters.Finished,
		requeued: stats.Counters.Requeued,
	}
	for description, value := range counted {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value))
	}
	for code, count := range stats.Counters.Ended {
		number := strconv.FormatUint(uint64(code), 10)
		metrics <- prometheus.MustNewConstMetric(ended, prometheus.CounterValue, float64(count), number, code.String())
	}
}
