package report

import (
	"encoding/csv"
	"os"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/rehearsal/experiment"
)

// csvHeader is the list of columns; durations are in milliseconds.
var csvHeader = []string{
	"policy", "load", "seed", "tier",
	"latency_mean", "latency_p50", "latency_p95", "latency_p99", "latency_max",
	"unloaded_mean", "unloaded_p95", "delay_mean", "delay_p95",
	"first_token_mean", "first_token_p50", "first_token_p95", "first_token_p99",
	"token_gap_mean", "token_gap_p50", "token_gap_p95", "token_gap_p99",
	"queue_wait_mean", "queue_wait_p95", "queue_wait_max",
	"fairness", "arrived", "completed", "refused", "capped", "failed", "call_refusals",
	"wasted_share", "wasted_block_seconds", "idle_share", "hit_share", "evictions", "preemptions",
}

// writeCSV writes a row for each tier of each run and one for all its tiers.
func writeCSV(path string, result experiment.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return eris.Wrap(err, "write CSV")
	}
	defer file.Close()
	writer := csv.NewWriter(file)
	rows := [][]string{csvHeader}
	for _, cell := range result.Runs {
		for _, tier := range append(cell.Tiers, cell.All) {
			rows = append(rows, csvRow(cell, tier))
		}
	}
	return eris.Wrap(writer.WriteAll(rows), "write CSV")
}

func csvRow(cell experiment.Cell, tier experiment.Tier) []string {
	row := []string{cell.Policy, formatFloat(cell.Load), strconv.FormatUint(cell.Seed, 10), tier.Tier}
	row = appendFloats(row,
		tier.Latency.Mean, tier.Latency.P50, tier.Latency.P95, tier.Latency.P99, tier.Latency.Max,
		tier.Unloaded.Mean, tier.Unloaded.P95,
		tier.Delay.Mean, tier.Delay.P95,
		tier.FirstToken.Mean, tier.FirstToken.P50, tier.FirstToken.P95, tier.FirstToken.P99,
		tier.TokenGap.Mean, tier.TokenGap.P50, tier.TokenGap.P95, tier.TokenGap.P99,
		tier.QueueWait.Mean, tier.QueueWait.P95, tier.QueueWait.Max,
		tier.Fairness)
	for _, count := range []int{
		tier.Arrived, tier.Completed, tier.Refused, tier.Capped, tier.Failed, tier.CallRefusals,
	} {
		row = append(row, strconv.Itoa(count))
	}
	return appendFloats(row,
		cell.Cache.WastedShare, cell.Cache.WastedBlockSeconds, cell.Cache.IdleShare, cell.Cache.HitShare,
		float64(cell.Cache.Evictions), float64(cell.Cache.Preemptions))
}

func appendFloats(row []string, values ...float64) []string {
	for _, value := range values {
		row = append(row, formatFloat(value))
	}
	return row
}

func formatFloat(value float64) string {
	const digits = 6
	return strconv.FormatFloat(value, 'g', digits, 64)
}
