package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Window is an interval of a run, which begins Start after the run's first line,
// and its losses by cause.
type Window struct {
	Start  time.Duration
	Causes map[Cause]int
}

// GroupByWindow groups losses, sorted by time, into windows of the given length counted
// from first. GroupByWindow without losses are left out.
func GroupByWindow(losses []Loss, first time.Time, length time.Duration) []Window {
	var windows []Window
	for _, loss := range losses {
		start := loss.At.Sub(first).Truncate(length)
		if len(windows) == 0 || windows[len(windows)-1].Start != start {
			windows = append(windows, Window{Start: start, Causes: map[Cause]int{}})
		}
		windows[len(windows)-1].Causes[loss.Cause]++
	}
	return windows
}

// causeCount is the number of losses with a cause.
type causeCount struct {
	cause Cause
	count int
}

// sortByCount returns the causes sorted by descending count.
func sortByCount(causes map[Cause]int) []causeCount {
	var counts []causeCount
	for cause, count := range causes {
		counts = append(counts, causeCount{cause, count})
	}
	slices.SortFunc(counts, func(left, right causeCount) int {
		return cmp.Or(cmp.Compare(right.count, left.count), cmp.Compare(left.cause.String(), right.cause.String()))
	})
	return counts
}

// Write prints the windows, each cause with up to examples of its losses, and the
// tenants with the most losses.
func Write(output io.Writer, losses []Loss, windows []Window, examples int) error {
	total := map[Cause]int{}
	_, err := fmt.Fprintf(output, "%d programs lost\n\nfrom    lost  causes\n", len(losses))
	for _, window := range windows {
		sum := 0
		text := ""
		for _, found := range sortByCount(window.Causes) {
			sum += found.count
			total[found.cause] += found.count
			text += fmt.Sprintf("%s: %d; ", found.cause, found.count)
		}
		_, err = fmt.Fprintf(output, "%5.0fs %5d  %s\n", window.Start.Seconds(), sum, text)
	}
	for _, found := range sortByCount(total) {
		_, err = fmt.Fprintf(output, "\n%s: %d\n", found.cause, found.count)
		writeExamples(output, losses, found.cause, examples)
	}
	if err == nil {
		err = writeTenants(output, losses)
	}
	return err
}

// maxListedTenants is the maximum number of tenants printed.
const maxListedTenants = 10

// writeTenants prints the tenants with the most losses.
func writeTenants(output io.Writer, losses []Loss) error {
	lost := map[string]int{}
	for _, loss := range losses {
		if loss.Tenant != "" {
			lost[loss.Tenant]++
		}
	}
	names := slices.SortedFunc(maps.Keys(lost), func(left, right string) int {
		return cmp.Or(cmp.Compare(lost[right], lost[left]), cmp.Compare(left, right))
	})
	for place, name := range names[:min(len(names), maxListedTenants)] {
		if place == 0 {
			_, _ = fmt.Fprintf(output, "\nby tenant, %d with losses:\n", len(names))
		}
		_, err := fmt.Fprintf(output, "  %s: %d\n", name, lost[name])
		if err != nil {
			return err
		}
	}
	return nil
}

func writeExamples(output io.Writer, losses []Loss, cause Cause, examples int) {
	for _, loss := range losses {
		if examples == 0 {
			return
		}
		if loss.Cause != cause {
			continue
		}
		examples--
		_, _ = fmt.Fprintf(output, "  program=%s request=%s at=%s answered=%d %s\n", loss.Program, loss.Request,
			loss.At.Format("15:04:05.000"), loss.Answered, loss.Failure)
	}
}
