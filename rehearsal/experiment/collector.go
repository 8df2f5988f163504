package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/magpielug/magpielug/rehearsal/enginemodel"
	"github.com/magpielug/magpielug/rehearsal/workload"
)

// Histograms record microseconds up to one hour with three significant digits.
const (
	histogramHigh   = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// collector accumulates the measurements of one run or of several merged runs.
type collector struct {
	// tiers are in the deployment's order.
	tiers []*tierCollector
	cache cacheTotals
	runs  int
	// completed counts the programs that completed within the measured period,
	// whenever they arrived. It gives the throughput of a closed loop.
	completed int
}

// tierCollector accumulates the measurements of one tier.
type tierCollector struct {
	name    string
	latency *hdrhistogram.Histogram
	// unloaded is the latency of the same programs on an unloaded deployment.
	unloaded *hdrhistogram.Histogram
	// delay is the latency without the time in the program's own tools.
	delay      *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	queueWait  *hdrhistogram.Histogram
	// speedSum and speedSquareSum are over the ratios of unloaded to measured
	// latency of the completed programs, for Jain's index.
	speedSum       float64
	speedSquareSum float64
	arrived        int
	completed      int
	refused        int
	capped         int
	failed         int
	// callRefusals counts refused submissions of calls, retries included.
	callRefusals int
}

// cacheTotals sums the engines' counters.
type cacheTotals struct {
	heldSeconds   float64
	wastedSeconds float64
	idleSeconds   float64
	evictions     uint64
	preemptions   uint64
	promptTokens  uint64
	cachedTokens  uint64
	outputTokens  uint64
}

func newCollector(deployment workload.Deployment) *collector {
	metrics := &collector{runs: 1}
	for _, tier := range deployment.Tiers {
		metrics.tiers = append(metrics.tiers, &tierCollector{
			name:       tier.Name,
			latency:    newHistogram(),
			unloaded:   newHistogram(),
			delay:      newHistogram(),
			firstToken: newHistogram(),
			tokenGap:   newHistogram(),
			queueWait:  newHistogram(),
		})
	}
	return metrics
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramHigh, histogramDigits)
}

// record adds one duration, clamped to the histogram's bounds.
func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	microseconds := min(max(int64(value/time.Microsecond), 1), histogramHigh)
	// RecordValue fails only for values out of bounds.
	_ = histogram.RecordValue(microseconds)
}

func (metrics *collector) tier(name string) *tierCollector {
	for _, tier := range metrics.tiers {
		if tier.name == name {
			return tier
		}
	}
	panic("experiment: unknown tier " + name)
}

// recordProgram records the end of a root program.
func (metrics *collector) recordProgram(program *programRun, now, warmUp time.Duration) {
	simulation := program.simulation
	if program.outcome == outcomeCompleted && simulation.inMeasuredPeriod(now) {
		metrics.completed++
	}
	if program.startsAt < warmUp {
		return
	}
	tier := metrics.tier(program.tier.Name)
	tier.arrived++
	latency := now - program.startsAt
	switch program.outcome {
	case outcomeCompleted:
		tier.completed++
		record(tier.latency, latency)
		record(tier.delay, latency-program.toolTime)
		unloaded := unloadedLatency(program.program, simulation.config)
		record(tier.unloaded, unloaded)
		speed := unloaded.Seconds() / latency.Seconds()
		tier.speedSum += speed
		tier.speedSquareSum += speed * speed
	case outcomeRefused:
		tier.refused++
	case outcomeCapped:
		tier.capped++
	default:
		tier.failed++
	}
}

func (metrics *collector) recordQueueWait(tier string, wait time.Duration, measuring bool) {
	if measuring {
		record(metrics.tier(tier).queueWait, wait)
	}
}

func (metrics *collector) countCallRefusal(tier string, measuring bool) {
	if measuring {
		metrics.tier(tier).callRefusals++
	}
}

func (metrics *collector) recordFirstToken(tier string, wait time.Duration, measuring bool) {
	if measuring {
		record(metrics.tier(tier).firstToken, wait)
	}
}

func (metrics *collector) recordTokenGap(tier string, gap time.Duration, measuring bool) {
	if measuring {
		record(metrics.tier(tier).tokenGap, gap)
	}
}

func (metrics *collector) addEngine(stats enginemodel.Stats) {
	metrics.cache.heldSeconds += stats.HeldBlockSeconds
	metrics.cache.wastedSeconds += stats.WastedBlockSeconds
	metrics.cache.idleSeconds += stats.IdleBlockSeconds
	metrics.cache.evictions += stats.Evictions
	metrics.cache.preemptions += stats.Preemptions
	metrics.cache.promptTokens += stats.PromptTokens
	metrics.cache.cachedTokens += stats.CachedTokens
	metrics.cache.outputTokens += stats.OutputTokens
}

// merge adds the measurements of another run of the same deployment.
func (metrics *collector) merge(other *collector) {
	metrics.runs += other.runs
	metrics.completed += other.completed
	metrics.cache.add(other.cache)
	for index, tier := range metrics.tiers {
		tier.merge(other.tiers[index])
	}
}

func (tier *tierCollector) merge(other *tierCollector) {
	tier.latency.Merge(other.latency)
	tier.unloaded.Merge(other.unloaded)
	tier.delay.Merge(other.delay)
	tier.firstToken.Merge(other.firstToken)
	tier.tokenGap.Merge(other.tokenGap)
	tier.queueWait.Merge(other.queueWait)
	tier.speedSum += other.speedSum
	tier.speedSquareSum += other.speedSquareSum
	tier.arrived += other.arrived
	tier.completed += other.completed
	tier.refused += other.refused
	tier.capped += other.capped
	tier.failed += other.failed
	tier.callRefusals += other.callRefusals
}

func (totals *cacheTotals) add(other cacheTotals) {
	totals.heldSeconds += other.heldSeconds
	totals.wastedSeconds += other.wastedSeconds
	totals.idleSeconds += other.idleSeconds
	totals.evictions += other.evictions
	totals.preemptions += other.preemptions
	totals.promptTokens += other.promptTokens
	totals.cachedTokens += other.cachedTokens
	totals.outputTokens += other.outputTokens
}
