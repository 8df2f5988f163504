package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Window is one span of a run with its losses by cause.
type Window struct {
	Since  time.Duration
	Causes map[Cause]int
}

// Windows groups losses by spans of a length since the run's first line.
func Windows(losses []Loss, first time.Time, length time.Duration) []Window {
	var windows []Window
	for _, loss := range losses {
		since := loss.At.Sub(first).Truncate(length)
		if len(windows) == 0 || windows[len(windows)-1].Since != since {
			windows = append(windows, Window{Since: since, Causes: map[Cause]int{}})
		}
		windows[len(windows)-1].Causes[loss.Cause]++
	}
	return windows
}

// count is how often a cause occurs.
type count struct {
	cause Cause
	times int
}

// ranked returns causes by how often they occur, the most frequent first.
func ranked(causes map[Cause]int) []count {
	var counts []count
	for cause, times := range causes {
		counts = append(counts, count{cause, times})
	}
	slices.SortFunc(counts, func(left, right count) int {
		return cmp.Or(cmp.Compare(right.times, left.times), cmp.Compare(left.cause.String(), right.cause.String()))
	})
	return counts
}

// Write prints the windows, then each cause with its first losses.
func Write(output io.Writer, losses []Loss, windows []Window, examples int) error {
	total := map[Cause]int{}
	_, err := fmt.Fprintf(output, "%d programs lost\n\nfrom    lost  causes\n", len(losses))
	for _, window := range windows {
		sum := 0
		text := ""
		for _, found := range ranked(window.Causes) {
			sum += found.times
			total[found.cause] += found.times
			text += fmt.Sprintf("%s: %d; ", found.cause, found.times)
		}
		_, err = fmt.Fprintf(output, "%5.0fs %5d  %s\n", window.Since.Seconds(), sum, text)
	}
	for _, found := range ranked(total) {
		_, err = fmt.Fprintf(output, "\n%s: %d\n", found.cause, found.times)
		writeExamples(output, losses, found.cause, examples)
	}
	if err == nil {
		err = writeTenants(output, losses)
	}
	return err
}

// mostTenants bounds the tenants that are listed.
const mostTenants = 10

// writeTenants lists the tenants that lost most.
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
	for place, name := range names[:min(len(names), mostTenants)] {
		if place == 0 {
			_, _ = fmt.Fprintf(output, "\nby tenant, of %d that lost any:\n", len(names))
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
