package scheduler

import (
	"context"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// Stats is what a scheduler process holds at one moment, and what it has
// counted since it started.
type Stats struct {
	ShardsHosted int
	ShardsLed    int
	// Programs counts those of the shards led, over or not.
	Programs int
	// OpenCalls are accepted and have no final answer; ParkedCalls wait for
	// escrow and are not accepted.
	OpenCalls   int
	ParkedCalls int
	// BacklogBytes is committed and not yet archived, over all shards hosted.
	BacklogBytes int
	PoolsKept    int
	Counters     Counters
}

// Counters only rise.
type Counters struct {
	Accepted uint64
	Finished uint64
	Requeued uint64
	// Ended counts calls without a result by their code, refusals among them.
	Ended map[resultcode.Code]uint64
}

// StatsAsked asks for the process's stats.
type StatsAsked struct{ Ask AskID }

func (StatsAsked) event() {}

// StatsTaken answers a StatsAsked.
type StatsTaken struct {
	Ask   AskID
	Stats Stats
}

func (StatsTaken) effect() {}

func newCounters() Counters {
	return Counters{Ended: make(map[resultcode.Code]uint64)}
}

// copied returns counters that the core no longer changes.
func (counters Counters) copied() Counters {
	ended := make(map[resultcode.Code]uint64, len(counters.Ended))
	for code, count := range counters.Ended {
		ended[code] = count
	}
	counters.Ended = ended
	return counters
}

func (core *Core) stats() Stats {
	taken := Stats{
		ShardsHosted: len(core.hosts),
		PoolsKept:    len(core.pools),
		Counters:     core.counters.copied(),
	}
	for _, host := range core.hosts {
		taken.BacklogBytes += host.replica.BacklogBytes()
		if !host.leads() {
			continue
		}
		taken.ShardsLed++
		taken.Programs += host.state.Len()
		taken.OpenCalls += len(host.calls)
		for _, need := range host.needs {
			taken.ParkedCalls += len(need.parked)
		}
	}
	return taken
}

// Collector shows a scheduler's stats to Prometheus.
type Collector struct{ scheduler *Scheduler }

// NewCollector returns the collector of a running scheduler.
func NewCollector(scheduler *Scheduler) *Collector { return &Collector{scheduler: scheduler} }

// collectTimeout bounds the wait for the control loop at a scrape.
const collectTimeout = time.Second

var (
	shardsHosted = describe("shards_hosted", "Shards with a replica here.")
	shardsLed    = describe("shards_led", "Shards led here, under a valid lease.")
	programsHeld = describe("programs", "Programs of the shards led here.")
	callsOpen    = describe("calls_open", "Accepted calls without a final answer.")
	callsParked  = describe("calls_parked", "Calls that wait for escrow.")
	backlogBytes = describe("archive_backlog_bytes", "Committed entries that are not yet archived.")
	poolsKept    = describe("pools_kept", "Engine pools kept here.")
	accepted     = describe("calls_accepted_total", "Calls accepted.")
	finished     = describe("calls_finished_total", "Calls with a result.")
	requeued     = describe("calls_requeued_total", "Attempts that were lost or did not run.")
	ended        = describe("calls_ended_total", "Calls without a result, by code.", "code", "name")
)

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("magpielug_scheduler_"+name, help, labels, nil)
}

// Describe implements prometheus.Collector. It names nothing, since the codes
// that will be counted are not known ahead.
func (collector *Collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector. A control loop that does not answer
// in time shows nothing.
func (collector *Collector) Collect(metrics chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	answer, err := collector.scheduler.loop.Ask(ctx, func(ask AskID) Event { return StatsAsked{Ask: ask} })
	if err != nil {
		return
	}
	taken := answer.stats
	gauges := map[*prometheus.Desc]int{
		shardsHosted: taken.ShardsHosted,
		shardsLed:    taken.ShardsLed,
		programsHeld: taken.Programs,
		callsOpen:    taken.OpenCalls,
		callsParked:  taken.ParkedCalls,
		backlogBytes: taken.BacklogBytes,
		poolsKept:    taken.PoolsKept,
	}
	for description, value := range gauges {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, float64(value))
	}
	counted := map[*prometheus.Desc]uint64{
		accepted: taken.Counters.Accepted,
		finished: taken.Counters.Finished,
		requeued: taken.Counters.Requeued,
	}
	for description, value := range counted {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(value))
	}
	for code, count := range taken.Counters.Ended {
		number := strconv.FormatUint(uint64(code), 10)
		metrics <- prometheus.MustNewConstMetric(ended, prometheus.CounterValue, float64(count), number, code.String())
	}
}
