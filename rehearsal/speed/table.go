package speed

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Table renders, as Markdown, the times of the first way and what each other
// way adds to it: the median over the rounds, and in brackets the least and the
// greatest. The rounds of two ways are compared in the order they were run.
func Table(rounds []Round) string {
	var text strings.Builder
	text.WriteString("| in flight | way | calls | failed | first token p50 ms | p95 ms | gap to each next p50 ms | p95 ms | mean ms | behind the engine p50 ms | p95 ms | mean ms |\n")
	text.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	base := rounds[0].Way
	for _, inFlight := range levels(rounds) {
		direct := ofWay(rounds, inFlight, base)
		for _, way := range ways(rounds) {
			found := ofWay(rounds, inFlight, way)
			writeRow(&text, way, found, nil)
			if way != base {
				writeRow(&text, way+", added", found, direct)
			}
		}
	}
	return text.String()
}

func levels(rounds []Round) []int {
	var found []int
	for _, round := range rounds {
		if !slices.Contains(found, round.InFlight) {
			found = append(found, round.InFlight)
		}
	}
	return found
}

func ways(rounds []Round) []string {
	var found []string
	for _, round := range rounds {
		if !slices.Contains(found, round.Way) {
			found = append(found, round.Way)
		}
	}
	return found
}

func ofWay(rounds []Round, inFlight int, way string) []Round {
	var found []Round
	for _, round := range rounds {
		if round.InFlight == inFlight && round.Way == way {
			found = append(found, round)
		}
	}
	return found
}

// firstDelay is the first column of quantities about delays, which not every way
// has.
const firstDelay = 5

// quantities are the columns of times.
var quantities = []func(Round) time.Duration{
	func(round Round) time.Duration { return round.First.Median },
	func(round Round) time.Duration { return round.First.High },
	func(round Round) time.Duration { return round.Gap.Median },
	func(round Round) time.Duration { return round.Gap.High },
	func(round Round) time.Duration { return round.Gap.Mean },
	func(round Round) time.Duration { return round.Delay.Median },
	func(round Round) time.Duration { return round.Delay.High },
	func(round Round) time.Duration { return round.Delay.Mean },
}

// writeRow writes the rounds' times, less those of the base's rounds.
func writeRow(text *strings.Builder, name string, rounds, base []Round) {
	calls, failed := 0, 0
	for _, round := range rounds {
		calls += round.Calls
		failed += round.Failed
	}
	fmt.Fprintf(text, "| %d | %s | %d | %d |", rounds[0].InFlight, name, calls, failed)
	for column, quantity := range quantities {
		if column >= firstDelay && rounds[0].Delay == (Spread{}) {
			text.WriteString(" – |")
			continue
		}
		var values []time.Duration
		for index, round := range rounds {
			value := quantity(round)
			if base != nil {
				value -= quantity(base[index])
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
