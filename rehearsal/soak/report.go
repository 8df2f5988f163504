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

// PromptTokens counts the prompt tokens of retained turns.
type PromptTokens struct {
	// Sent is the total sent to engines. Recomputed is the part that another engine had
	// already processed, assuming engines with unbounded caches.
	Sent, Recomputed int
}

// promptTokens counts the prompt tokens of the engines' runs.
func (recorder *recorder) promptTokens(engines []*engine) PromptTokens {
	var runs [][]agentengine.Run
	for _, each := range engines {
		runs = append(runs, each.Runs())
	}
	return recorder.countPromptTokens(runs)
}

// countPromptTokens counts the prompt tokens of runs grouped by engine.
func (recorder *recorder) countPromptTokens(byEngine [][]agentengine.Run) PromptTokens {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	var tokens PromptTokens
	for _, runs := range byEngine {
		processed := turnIDs(runs)
		for _, run := range runs {
			attempt := recorder.attempts[run.ID]
			if attempt == nil || attempt.target != retainedTurnPath {
				continue
			}
			tokens.Sent += len(run.Body) / bytesPerToken
			if attempt.previousTurn != "" && !processed[attempt.previousTurn] {
				tokens.Recomputed += attempt.historyBytes / bytesPerToken
			}
		}
	}
	return tokens
}

// turnIDs returns the IDs of the turns that an engine ran.
func turnIDs(runs []agentengine.Run) map[string]bool {
	turns := map[string]bool{}
	for _, run := range runs {
		turns[run.ID] = true
	}
	return turns
}

// failedAttemptCount returns the number of failed attempts so far.
func (recorder *recorder) failedAttemptCount() int {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	total := 0
	for _, count := range recorder.failedAttempts {
		total += count
	}
	return total
}

// Percentiles of program latency in the table.
const (
	median = 0.50
	p95    = 0.95
)

// Table formats the outcome: programs by tenant, prompt tokens, and failed attempts by
// cause. softDeadlines are by tenant.
func (outcome *ScriptedOutcome) Table(tenants []string, softDeadlines map[string]time.Duration) string {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(writer, "tenant\tprograms\tcompleted\tbudget exhausted\tfailed\tturns\tsub-agents\tlatency p50\tp95\tsoft deadline\twithin deadline\t")
	for _, tenant := range tenants {
		outcome.writeTenant(writer, tenant, softDeadlines[tenant])
	}
	_ = writer.Flush()
	share := 100 * float64(outcome.PromptTokens.Recomputed) / float64(max(outcome.PromptTokens.Sent, 1))
	fmt.Fprintf(&text, "\nprompt tokens sent to engines: %d, of which recomputed by another engine: %d (%.1f%%)\n", outcome.PromptTokens.Sent, outcome.PromptTokens.Recomputed, share)
	fmt.Fprintln(&text, "failed attempts by cause:")
	causes := slices.Collect(maps.Keys(outcome.FailedAttempts))
	slices.SortFunc(causes, func(left, right string) int {
		return cmp.Or(cmp.Compare(outcome.FailedAttempts[right], outcome.FailedAttempts[left]), cmp.Compare(left, right))
	})
	for _, cause := range causes {
		fmt.Fprintf(&text, "%6d  %s\n", outcome.FailedAttempts[cause], cause)
	}
	return text.String()
}

func (outcome *ScriptedOutcome) writeTenant(writer *tabwriter.Writer, tenant string, softDeadline time.Duration) {
	var programs, exhausted, failed, turns, subAgents, within int
	var latencies []time.Duration
	for _, record := range outcome.Records {
		if record.Tenant != tenant {
			continue
		}
		programs++
		turns += record.Turns
		subAgents += record.SubAgents
		switch {
		case record.BudgetExhausted:
			exhausted++
		case !record.Completed:
			failed++
		default:
			latencies = append(latencies, record.Latency)
		}
		if record.Completed && record.Latency <= softDeadline {
			within++
		}
	}
	_, _ = fmt.Fprintf(writer, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%d\t\n", tenant, programs, len(latencies), exhausted, failed, turns, subAgents,
		rounded(percentile(latencies, median)), rounded(percentile(latencies, p95)), softDeadline, within)
}

func rounded(duration time.Duration) time.Duration { return duration.Round(time.Millisecond) }

// percentile returns the given percentile, or 0 if there are no values.
func percentile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
