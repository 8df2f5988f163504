package report

import (
	"fmt"
	"strconv"

	"github.com/magpielug/magpielug/rehearsal/experiment"
)

// section is a titled table of the report.
type section struct {
	title string
	table *table
}

// sections returns the report's tables in order.
func sections(result experiment.Result) []section {
	list := []section{{"Setting", settingsTable(result)}}
	if result.Candidate != "" {
		list = append(list, section{"Aim", targetTable(CompareWithTargets(result))})
	}
	for _, load := range result.Loads {
		title := fmt.Sprintf("Load %g: programs (latency in ms)", load)
		list = append(list, section{title, programTable(result, load)})
		title = fmt.Sprintf("Load %g: calls (ms) and cache", load)
		list = append(list, section{title, callTable(result, load)})
	}
	return list
}

func settingsTable(result experiment.Result) *table {
	origin := "given"
	if result.CapacityPolicy != "" {
		origin = "measured under " + result.CapacityPolicy
	}
	table := &table{header: []string{"workload", "load 1.0, programs/s", "capacity", "seeds"}}
	table.add(result.Workload, decimal(result.CapacityRate, 2), origin, fmt.Sprint(result.Seeds))
	return table
}

// programTable returns a table with a row for each policy and tier at a load.
func programTable(result experiment.Result, load float64) *table {
	table := &table{header: []string{
		"policy", "tier", "mean", "p50", "p95", "p99", "unloaded: mean", "p95", "less pauses: mean", "p95",
		"Jain", "arrived", "completed", "refused", "capped", "failed",
	}}
	for _, policy := range result.Policies {
		cell, found := result.Cell(policy, load)
		if !found {
			continue
		}
		for _, tier := range append(cell.Tiers, cell.All) {
			table.add(programRow(policy, tier)...)
		}
	}
	return table
}

func programRow(policy string, tier experiment.Tier) []string {
	return []string{
		policy, tier.Tier,
		integer(tier.Latency.Mean), integer(tier.Latency.P50), integer(tier.Latency.P95), integer(tier.Latency.P99),
		integer(tier.Unloaded.Mean), integer(tier.Unloaded.P95),
		integer(tier.Delay.Mean), integer(tier.Delay.P95),
		decimal(tier.Fairness, 3),
		strconv.Itoa(tier.Arrived), strconv.Itoa(tier.Completed), strconv.Itoa(tier.Refused),
		strconv.Itoa(tier.Capped), strconv.Itoa(tier.Failed),
	}
}

// callTable returns a table with a row for each policy at a load.
func callTable(result experiment.Result, load float64) *table {
	table := &table{header: []string{
		"policy", "first token p50", "p95", "top tier p95", "between tokens p50", "p95", "p99",
		"longest wait, lowest tier", "call refusals",
		"wasted", "idle", "hit", "evictions", "preemptions",
	}}
	for _, policy := range result.Policies {
		if cell, found := result.Cell(policy, load); found && len(cell.Tiers) > 0 {
			table.add(callRow(cell)...)
		}
	}
	return table
}

func callRow(cell experiment.Cell) []string {
	top := cell.Tiers[0]
	lowest := cell.Tiers[len(cell.Tiers)-1]
	return []string{
		cell.Policy,
		integer(cell.All.FirstToken.P50), integer(cell.All.FirstToken.P95), integer(top.FirstToken.P95),
		decimal(cell.All.TokenGap.P50, 1), decimal(cell.All.TokenGap.P95, 1), decimal(cell.All.TokenGap.P99, 1),
		integer(lowest.QueueWait.Max), strconv.Itoa(cell.All.CallRefusals),
		percent(cell.Cache.WastedShare), percent(cell.Cache.IdleShare), percent(cell.Cache.HitShare),
		strconv.FormatUint(cell.Cache.Evictions, 10), strconv.FormatUint(cell.Cache.Preemptions, 10),
	}
}

func integer(value float64) string { return strconv.FormatFloat(value, 'f', 0, 64) }

func decimal(value float64, digits int) string {
	return strconv.FormatFloat(value, 'f', digits, 64)
}

func percent(share float64) string {
	const hundred = 100
	return decimal(share*hundred, 1) + "%"
}
