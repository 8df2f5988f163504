package soak

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/magpielug/magpielug/rehearsal/standin/agentengine"
)

// PromptUse counts tokens of prompts of kept turns.
type PromptUse struct {
	// Sent is all that engines were sent, Again those of a history that had gone to another
	// engine before: an engine's memory is taken for unbounded.
	Sent, Again int
}

// promptUse adds up the runs of each engine.
func (ledger *ledger) promptUse(engines []*engine) PromptUse {
	var runs [][]agentengine.Run
	for _, each := range engines {
		runs = append(runs, each.Runs())
	}
	return ledger.promptUseOf(runs)
}

// promptUseOf adds up runs, given by engine.
func (ledger *ledger) promptUseOf(byEngine [][]agentengine.Run) PromptUse {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	var use PromptUse
	for _, runs := range byEngine {
		held := turnsOf(runs)
		for _, run := range runs {
			attempt := ledger.attempts[run.ID]
			if attempt == nil || attempt.target != turnPath {
				continue
			}
			use.Sent += len(run.Body) / bytesPerToken
			if attempt.previous != "" && !held[attempt.previous] {
				use.Again += attempt.historyBytes / bytesPerToken
			}
		}
	}
	return use
}

// turnsOf are the turns whose prompt and answer an engine has seen.
func turnsOf(runs []agentengine.Run) map[string]bool {
	turns := map[string]bool{}
	for _, run := range runs {
		turns[run.ID] = true
	}
	return turns
}

// refused counts the attempts so far that got no answer of an engine.
func (ledger *ledger) refused() int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	total := 0
	for _, count := range ledger.refusals {
		total += count
	}
	return total
}

// Percentiles shown of programs' latency.
const (
	middle = 0.50
	high   = 0.95
)

// Table renders the outcome: programs by tenant, prompts, and refusals by cause.
func (outcome *StagedOutcome) Table(tenants []string, aims map[string]time.Duration) string {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(writer, "tenant\tprograms\tcompleted\tstopped by budget\tfailed\tturns\tsub-agents\tlatency p50\tp95\taim\twithin aim\t")
	for _, tenant := range tenants {
		outcome.writeTenant(writer, tenant, aims[tenant])
	}
	_ = writer.Flush()
	share := 100 * float64(outcome.Prompts.Again) / float64(max(outcome.Prompts.Sent, 1))
	fmt.Fprintf(&text, "\nprompt tokens sent to engines: %d, of which read again by another engine: %d (%.1f%%)\n", outcome.Prompts.Sent, outcome.Prompts.Again, share)
	fmt.Fprintln(&text, "attempts refused or lost, by cause:")
	causes := slices.Collect(maps.Keys(outcome.Refusals))
	slices.SortFunc(causes, func(left, right string) int {
		return cmp.Or(cmp.Compare(outcome.Refusals[right], outcome.Refusals[left]), cmp.Compare(left, right))
	})
	for _, cause := range causes {
		fmt.Fprintf(&text, "%6d  %s\n", outcome.Refusals[cause], cause)
	}
	return text.String()
}

func (outcome *StagedOutcome) writeTenant(writer *tabwriter.Writer, tenant string, aim time.Duration) {
	var programs, stopped, failed, turns, subAgents, within int
	var latencies []time.Duration
	for _, record := range outcome.Records {
		if record.Tenant != tenant {
			continue
		}
		programs++
		turns += record.Turns
		subAgents += record.SubAgents
		switch {
		case record.Stopped:
			stopped++
		case !record.Completed:
			failed++
		default:
			latencies = append(latencies, record.Latency)
		}
		if record.Completed && record.Latency <= aim {
			within++
		}
	}
	_, _ = fmt.Fprintf(writer, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%d\t\n", tenant, programs, len(latencies), stopped, failed, turns, subAgents,
		rounded(percentile(latencies, middle)), rounded(percentile(latencies, high)), aim, within)
}

func rounded(duration time.Duration) time.Duration { return duration.Round(time.Millisecond) }

// percentile returns the value below which a share of the values lies, 0 where there are none.
func percentile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
