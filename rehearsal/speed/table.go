package speed

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Table renders as Markdown the latencies of each path, and what each path adds to
// the first one: the median over the rounds, with the minimum and maximum in
// parentheses. Rounds of two paths are paired in the order they ran.
func Table(rounds []Round) string {
	var text strings.Builder
	text.WriteString("| in flight | path | calls | failed | first token p50 ms | p95 ms | inter-token p50 ms | p95 ms | mean ms | forwarding delay p50 ms | p95 ms | mean ms |\n")
	text.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	base := rounds[0].Path
	for _, inFlight := range inFlightLevels(rounds) {
		baseRounds := roundsOf(rounds, inFlight, base)
		for _, path := range pathNames(rounds) {
			found := roundsOf(rounds, inFlight, path)
			writeRow(&text, path, found, nil)
			if path != base {
				writeRow(&text, path+", added", found, baseRounds)
			}
		}
	}
	return text.String()
}

func inFlightLevels(rounds []Round) []int {
	var found []int
	for _, round := range rounds {
		if !slices.Contains(found, round.InFlight) {
			found = append(found, round.InFlight)
		}
	}
	return found
}

func pathNames(rounds []Round) []string {
	var found []string
	for _, round := range rounds {
		if !slices.Contains(found, round.Path) {
			found = append(found, round.Path)
		}
	}
	return found
}

func roundsOf(rounds []Round, inFlight int, path string) []Round {
	var found []Round
	for _, round := range rounds {
		if round.InFlight == inFlight && round.Path == path {
			found = append(found, round)
		}
	}
	return found
}

// firstDelayColumn is the index in timeColumns of the first forwarding delay column,
// which not every path has.
const firstDelayColumn = 5

// timeColumns are the table's duration columns.
var timeColumns = []func(Round) time.Duration{
	func(round Round) time.Duration { return round.FirstToken.Median },
	func(round Round) time.Duration { return round.FirstToken.P95 },
	func(round Round) time.Duration { return round.InterToken.Median },
	func(round Round) time.Duration { return round.InterToken.P95 },
	func(round Round) time.Duration { return round.InterToken.Mean },
	func(round Round) time.Duration { return round.ForwardingDelay.Median },
	func(round Round) time.Duration { return round.ForwardingDelay.P95 },
	func(round Round) time.Duration { return round.ForwardingDelay.Mean },
}

// writeRow writes a row of the rounds' latencies, less those of the base rounds if
// given.
func writeRow(text *strings.Builder, name string, rounds, base []Round) {
	calls, failed := 0, 0
	for _, round := range rounds {
		calls += round.Calls
		failed += round.Failed
	}
	fmt.Fprintf(text, "| %d | %s | %d | %d |", rounds[0].InFlight, name, calls, failed)
	for column, valueOf := range timeColumns {
		if column >= firstDelayColumn && rounds[0].ForwardingDelay == (LatencySummary{}) {
			text.WriteString(" – |")
			continue
		}
		var values []time.Duration
		for index, round := range rounds {
			value := valueOf(round)
			if base != nil {
				value -= valueOf(base[index])
			}
			values = append(values, value)
		}
		slices.Sort(values)
		fmt.Fprintf(text, " %s (%s to %s) |", milliseconds(values[len(values)/2]),
			milliseconds(values[0]), milliseconds(values[len(values)-1]))
	}
	text.WriteString("\n")
}

func milliseconds(duration time.Duration) string {
	return fmt.Sprintf("%.3f", float64(duration)/float64(time.Millisecond))
}
