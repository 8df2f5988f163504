package drive

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// percentiles shown of each quantity.
const (
	middle = 0.50
	high   = 0.95
)

// Table renders the records per tier, and the engines' caches.
func Table(records []Record, tiers []string, cache Cache) string {
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(writer, "tier\tprograms\tcompleted\tcapped\trefused\tfailed\tcalls\tsub-agents\tlatency mean\tp50\tp95\tfirst token p50\tp95\t")
	for _, tier := range tiers {
		writeTier(writer, tier, records)
	}
	writer.Flush()
	fmt.Fprintf(&text, "\nwasted cache: %.1f%% of %.0f block-seconds held; %d evictions; %d blocks held at the end\n",
		100*cache.WastedShare(), cache.HeldBlockSeconds, cache.Evictions, cache.BlocksUsed)
	return text.String()
}

func writeTier(writer *tabwriter.Writer, tier string, records []Record) {
	outcomes := make(map[Outcome]int)
	var latencies, firstChunks []time.Duration
	calls, subAgents := 0, 0
	for _, record := range records {
		if record.Tier != tier {
			continue
		}
		outcomes[record.Outcome]++
		calls += record.Calls
		subAgents += record.SubAgents
		firstChunks = append(firstChunks, record.FirstChunks...)
		if record.Outcome == Completed {
			latencies = append(latencies, record.Latency)
		}
	}
	total := outcomes[Completed] + outcomes[Capped] + outcomes[Refused] + outcomes[Failed]
	fmt.Fprintf(writer, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", tier, total,
		outcomes[Completed], outcomes[Capped], outcomes[Refused], outcomes[Failed], calls, subAgents,
		rounded(mean(latencies)), rounded(percentile(latencies, middle)), rounded(percentile(latencies, high)),
		rounded(percentile(firstChunks, middle)), rounded(percentile(firstChunks, high)))
}

func rounded(duration time.Duration) string { return duration.Round(time.Millisecond).String() }

func mean(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	var sum time.Duration
	for _, value := range values {
		sum += value
	}
	return sum / time.Duration(len(values))
}

func percentile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
