package report

import (
	"fmt"

	"github.com/magpielug/magpielug/rehearsal/experiment"
)

// The aim against the baseline at the judged loads, and against the oracle.
const (
	topTierRatio    = 0.5
	meanRatio       = 1.0
	wastedRatio     = 1.0 / 3
	oracleMeanRatio = 1.25
)

// judgedLoads are the loads at which the aim is set.
var judgedLoads = []float64{0.8, 1.0}

// Judgement compares the candidate with another policy in one measure.
type Judgement struct {
	Load      float64
	Measure   string
	Candidate float64
	Reference float64
	// Bound is the largest ratio of candidate to reference that meets the aim.
	Bound float64
}

// Ratio is candidate over reference, 0 without a reference.
func (judgement Judgement) Ratio() float64 {
	if judgement.Reference == 0 {
		return 0
	}
	return judgement.Candidate / judgement.Reference
}

// Met tells whether the aim is reached.
func (judgement Judgement) Met() bool { return judgement.Ratio() <= judgement.Bound }

// Judge holds the candidate against the baseline and the oracle.
func Judge(result experiment.Result) []Judgement {
	var judgements []Judgement
	for _, load := range judgedLoads {
		candidate, found := result.Cell(result.Candidate, load)
		if !found || len(candidate.Tiers) == 0 {
			continue
		}
		if baseline, found := result.Cell(result.Baseline, load); found {
			judgements = append(judgements, againstBaseline(load, candidate, baseline)...)
		}
		if oracle, found := result.Cell(result.Oracle, load); found {
			judgements = append(judgements, Judgement{
				load, "mean over all tiers against the oracle, ms",
				candidate.All.Latency.Mean, oracle.All.Latency.Mean, oracleMeanRatio,
			})
		}
	}
	return judgements
}

func againstBaseline(load float64, candidate, baseline experiment.Cell) []Judgement {
	return []Judgement{
		{load, "top tier p95, ms", candidate.Tiers[0].Latency.P95, baseline.Tiers[0].Latency.P95, topTierRatio},
		{load, "top tier p95 less tool pauses, ms", candidate.Tiers[0].Delay.P95, baseline.Tiers[0].Delay.P95, topTierRatio},
		{load, "mean over all tiers, ms", candidate.All.Latency.Mean, baseline.All.Latency.Mean, meanRatio},
		{load, "wasted share of held block-seconds", candidate.Cache.WastedShare, baseline.Cache.WastedShare, wastedRatio},
		{load, "wasted block-seconds", candidate.Cache.WastedBlockSeconds, baseline.Cache.WastedBlockSeconds, wastedRatio},
	}
}

func aimTable(judgements []Judgement) *table {
	table := &table{header: []string{"load", "measure", "candidate", "reference", "ratio", "aim", "met"}}
	for _, judgement := range judgements {
		met := "no"
		if judgement.Met() {
			met = "yes"
		}
		table.add(fmt.Sprintf("%g", judgement.Load), judgement.Measure,
			decimal(judgement.Candidate, 3), decimal(judgement.Reference, 3),
			decimal(judgement.Ratio(), 2), decimal(judgement.Bound, 2), met)
	}
	return table
}
