package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the outcome of an experiment file.
type Result struct {
	Name     string `json:"name"`
	Workload string `json:"workload"`
	// CapacityRate is the load 1.0 in programs a second.
	CapacityRate float64 `json:"capacity_rate"`
	// CapacityPolicy is the policy whose saturation gave the rate; empty when
	// the file gave it.
	CapacityPolicy string    `json:"capacity_policy,omitempty"`
	Seeds          []uint64  `json:"seeds"`
	Loads          []float64 `json:"loads"`
	Policies       []string  `json:"policies"`
	Baseline       string    `json:"baseline"`
	Oracle         string    `json:"oracle,omitempty"`
	Candidate      string    `json:"candidate,omitempty"`
	// Cells hold the seeds of a policy and load pooled; Runs hold each seed.
	Cells []Cell `json:"cells"`
	Runs  []Cell `json:"runs"`
}

// Cell is what one policy did at one load.
type Cell struct {
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	// Seed is 0 where several seeds are pooled.
	Seed  uint64 `json:"seed,omitempty"`
	Tiers []Tier `json:"tiers"`
	// All pools the tiers.
	All   Tier  `json:"all"`
	Cache Cache `json:"cache"`
}

// Tier is the summary of one tier's programs that arrived in the measured time.
type Tier struct {
	Tier string `json:"tier"`
	// Latency is of whole completed programs; Delay is without their own tool
	// pauses.
	Latency Summary `json:"latency"`
	// Unloaded is the latency that the same programs would have alone with
	// their history cached: the floor under any policy.
	Unloaded   Summary `json:"unloaded"`
	Delay      Summary `json:"delay"`
	FirstToken Summary `json:"first_token"`
	TokenGap   Summary `json:"token_gap"`
	// QueueWait is from a call's offer to its grant; its maximum shows
	// starvation.
	QueueWait Summary `json:"queue_wait"`
	// Fairness is Jain's index over the programs' ratio of unloaded latency to
	// measured latency: 1 when all are slowed alike.
	Fairness  float64 `json:"fairness"`
	Arrived   int     `json:"arrived"`
	Completed int     `json:"completed"`
	Refused   int     `json:"refused"`
	Capped    int     `json:"capped"`
	Failed    int     `json:"failed"`
	// CallRefusals counts refused offers of calls, retries included.
	CallRefusals int `json:"call_refusals"`
}

// Summary is a distribution, in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Cache is what the engines' caches did until the last arrival.
type Cache struct {
	// WastedShare is the share of held block-seconds in blocks never reused.
	WastedShare float64 `json:"wasted_share"`
	// WastedBlockSeconds is the same, absolute, a run.
	WastedBlockSeconds float64 `json:"wasted_block_seconds"`
	// IdleShare is the share of held block-seconds in which a block lay unused
	// before it was freed: what an earlier release would have saved.
	IdleShare float64 `json:"idle_share"`
	// IdleBlockSeconds is the same, absolute, a run.
	IdleBlockSeconds float64 `json:"idle_block_seconds"`
	// HitShare is the share of prompt tokens found in the cache.
	HitShare    float64 `json:"hit_share"`
	Evictions   uint64  `json:"evictions"`
	Preemptions uint64  `json:"preemptions"`
}

// Cell returns the pooled cell of a policy at a load; false if there is none.
func (result Result) Cell(policy string, load float64) (Cell, bool) {
	for _, cell := range result.Cells {
		if cell.Policy == policy && cell.Load == load {
			return cell, true
		}
	}
	return Cell{}, false
}

// summarize turns a collector into a cell.
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
		Fairness:     jain(tier.completed, tier.speedSum, tier.speedSquares),
		Arrived:      tier.arrived,
		Completed:    tier.completed,
		Refused:      tier.refused,
		Capped:       tier.capped,
		Failed:       tier.failed,
		CallRefusals: tier.callRefusals,
	}
}

// jain is Jain's fairness index of count values with the given sums; 1 for
// none.
func jain(count int, sum, squares float64) float64 {
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
