package report

import (
	"fmt"

	"github.com/magpielug/magpielug/rehearsal/experiment"
)

// Target ratios of the candidate to the baseline and to the oracle.
const (
	topTierMaxRatio    = 0.5
	meanMaxRatio       = 1.0
	wastedMaxRatio     = 1.0 / 3
	oracleMeanMaxRatio = 1.25
)

// targetLoads are the loads to which the targets apply.
var targetLoads = []float64{0.8, 1.0}

// Comparison compares the candidate with a reference policy in one measure.
type Comparison struct {
	Load      float64
	Measure   string
	Candidate float64
	Reference float64
	// MaxRatio is the largest ratio of candidate to reference that meets the
	// target.
	MaxRatio float64
}

// Ratio returns candidate / reference, or 0 if the reference is 0.
func (comparison Comparison) Ratio() float64 {
	if comparison.Reference == 0 {
		return 0
	}
	return comparison.Candidate / comparison.Reference
}

// MeetsTarget reports whether the ratio is at most MaxRatio.
func (comparison Comparison) MeetsTarget() bool { return comparison.Ratio() <= comparison.MaxRatio }

// CompareWithTargets compares the candidate with the baseline and the oracle at
// the target loads. It skips loads that the result doesn't contain.
func CompareWithTargets(result experiment.Result) []Comparison {
	var comparisons []Comparison
	for _, load := range targetLoads {
		candidate, found := result.Cell(result.Candidate, load)
		if !found || len(candidate.Tiers) == 0 {
			continue
		}
		if baseline, found := result.Cell(result.Baseline, load); found {
			comparisons = append(comparisons, compareWithBaseline(load, candidate, baseline)...)
		}
		if oracle, found := result.Cell(result.Oracle, load); found {
			comparisons = append(comparisons, Comparison{
				load, "mean over all tiers against the oracle, ms",
				candidate.All.Latency.Mean, oracle.All.Latency.Mean, oracleMeanMaxRatio,
			})
		}
	}
	return comparisons
}

func compareWithBaseline(load float64, candidate, baseline experiment.Cell) []Comparison {
	return []Comparison{
		{load, "top tier p95, ms", candidate.Tiers[0].Latency.P95, baseline.Tiers[0].Latency.P95, topTierMaxRatio},
		{load, "top tier p95 less tool pauses, ms", candidate.Tiers[0].Delay.P95, baseline.Tiers[0].Delay.P95, topTierMaxRatio},
		{load, "mean over all tiers, ms", candidate.All.Latency.Mean, baseline.All.Latency.Mean, meanMaxRatio},
		{load, "wasted share of held block-seconds", candidate.Cache.WastedShare, baseline.Cache.WastedShare, wastedMaxRatio},
		{load, "wasted block-seconds", candidate.Cache.WastedBlockSeconds, baseline.Cache.WastedBlockSeconds, wastedMaxRatio},
	}
}

func targetTable(comparisons []Comparison) *table {
	table := &table{header: []string{"load", "measure", "candidate", "reference", "ratio", "aim", "met"}}
	for _, comparison := range comparisons {
		met := "no"
		if comparison.MeetsTarget() {
			met = "yes"
		}
		table.add(fmt.Sprintf("%g", comparison.Load), comparison.Measure,
			decimal(comparison.Candidate, 3), decimal(comparison.Reference, 3),
			decimal(comparison.Ratio(), 2), decimal(comparison.MaxRatio, 2), met)
	}
	return table
}
