package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the result of an experiment.
type Result struct {
	Name     string `json:"name"`
	Workload string `json:"workload"`
	// CapacityRate is the arrival rate at load 1.0 in programs per second.
	CapacityRate float64 `json:"capacity_rate"`
	// CapacityPolicy is the policy under which CapacityRate was measured; empty
	// if the file sets the rate.
	CapacityPolicy string    `json:"capacity_policy,omitempty"`
	Seeds          []uint64  `json:"seeds"`
	Loads          []float64 `json:"loads"`
	Policies       []string  `json:"policies"`
	Baseline       string    `json:"baseline"`
	Oracle         string    `json:"oracle,omitempty"`
	Candidate      string    `json:"candidate,omitempty"`
	// Cells has a merged cell per policy and load; Runs has a cell per seed.
	Cells []Cell `json:"cells"`
	Runs  []Cell `json:"runs"`
}

// Cell is the result of one policy at one load.
type Cell struct {
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	// Seed is 0 for a cell merged over all seeds.
	Seed  uint64 `json:"seed,omitempty"`
	Tiers []Tier `json:"tiers"`
	// All merges the tiers.
	All   Tier  `json:"all"`
	Cache Cache `json:"cache"`
}

// Tier summarizes one tier's programs that arrived in the measured period.
type Tier struct {
	Tier string `json:"tier"`
	// Latency is the end-to-end latency of completed programs.
	Latency Summary `json:"latency"`
	// Unloaded is the latency of the same programs on an unloaded deployment
	// with their history cached.
	Unloaded Summary `json:"unloaded"`
	// Delay is Latency without the time in the programs' own tools.
	Delay      Summary `json:"delay"`
	FirstToken Summary `json:"first_token"`
	TokenGap   Summary `json:"token_gap"`
	// QueueWait is the time from a call's submission to its grant. A high
	// maximum indicates starvation.
	QueueWait Summary `json:"queue_wait"`
	// Fairness is Jain's index over the programs' ratios of unloaded to measured
	// latency; 1 means that all programs are slowed equally.
	Fairness  float64 `json:"fairness"`
	Arrived   int     `json:"arrived"`
	Completed int     `json:"completed"`
	Refused   int     `json:"refused"`
	Capped    int     `json:"capped"`
	Failed    int     `json:"failed"`
	// CallRefusals counts refused submissions of calls, retries included.
	CallRefusals int `json:"call_refusals"`
}

// Summary summarizes a distribution of durations in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Cache summarizes the engines' caches from the start of a run to the end of the
// arrival period.
type Cache struct {
	// WastedShare is the share of held block-seconds in blocks never reused.
	WastedShare float64 `json:"wasted_share"`
	// WastedBlockSeconds is the absolute value per run.
	WastedBlockSeconds float64 `json:"wasted_block_seconds"`
	// IdleShare is the share of held block-seconds after a block's last use,
	// which an earlier release would have saved.
	IdleShare float64 `json:"idle_share"`
	// IdleBlockSeconds is the absolute value per run.
	IdleBlockSeconds float64 `json:"idle_block_seconds"`
	// HitShare is the share of prompt tokens found in the cache.
	HitShare    float64 `json:"hit_share"`
	Evictions   uint64  `json:"evictions"`
	Preemptions uint64  `json:"preemptions"`
}

// Cell returns the merged cell of a policy at a load; false if there is none.
func (result Result) Cell(policy string, load float64) (Cell, bool) {
	for _, cell := range result.Cells {
		if cell.Policy == policy && cell.Load == load {
			return cell, true
		}
	}
	return Cell{}, false
}

// summarize returns the collector's measurements as a cell.
func (metrics *collector) summarize(policy string, load float64, seed uint64) Cell {
	cell := Cell{Policy: policy, Load: load, Seed: seed, Cache: metrics.cache.summarize(metrics.runs)}
	all := &tierCollector{
		name:       "all",
		latency:    newHistogram(),
		unloaded:   newHistogram(),
		delay:      newHistogram(),
		firstToken: newHistogram(),
		tokenGap:   newHistogram(),
		queueWait:  newHistogram(),
	}
	for _, tier := range metrics.tiers {
		if tier.arrived == 0 {
			continue
		}
		all.merge(tier)
		cell.Tiers = append(cell.Tiers, tier.summarize())
	}
	cell.All = all.summarize()
	return cell
}

func (tier *tierCollector) summarize() Tier {
	return Tier{
		Tier:         tier.name,
		Latency:      summarize(tier.latency),
		Unloaded:     summarize(tier.unloaded),
		Delay:        summarize(tier.delay),
		FirstToken:   summarize(tier.firstToken),
		TokenGap:     summarize(tier.tokenGap),
		QueueWait:    summarize(tier.queueWait),
		Fairness:     jainIndex(tier.completed, tier.speedSum, tier.speedSquareSum),
		Arrived:      tier.arrived,
		Completed:    tier.completed,
		Refused:      tier.refused,
		Capped:       tier.capped,
		Failed:       tier.failed,
		CallRefusals: tier.callRefusals,
	}
}

// jainIndex returns Jain's fairness index of count values from their sum and
// their sum of squares; 1 if there are none.
func jainIndex(count int, sum, squares float64) float64 {
	if count == 0 || squares == 0 {
		return 1
	}
	return sum * sum / (float64(count) * squares)
}

func summarize(histogram *hdrhistogram.Histogram) Summary {
	if histogram.TotalCount() == 0 {
		return Summary{}
	}
	return Summary{
		Count: histogram.TotalCount(),
		Mean:  histogram.Mean() / microsecondsPerMillisecond,
		P50:   milliseconds(histogram.ValueAtQuantile(50)),
		P95:   milliseconds(histogram.ValueAtQuantile(95)),
		P99:   milliseconds(histogram.ValueAtQuantile(99)),
		Max:   milliseconds(histogram.Max()),
	}
}

const microsecondsPerMillisecond = float64(time.Millisecond / time.Microsecond)

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / microsecondsPerMillisecond
}

func (totals cacheTotals) summarize(runs int) Cache {
	return Cache{
		WastedShare:        ratio(totals.wastedSeconds, totals.heldSeconds),
		WastedBlockSeconds: totals.wastedSeconds / float64(runs),
		IdleShare:          ratio(totals.idleSeconds, totals.heldSeconds),
		IdleBlockSeconds:   totals.idleSeconds / float64(runs),
		HitShare:           ratio(float64(totals.cachedTokens), float64(totals.promptTokens)),
		Evictions:          totals.evictions,
		Preemptions:        totals.preemptions,
	}
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
