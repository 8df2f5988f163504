package capacity

import (
	"fmt"
	"strings"

	"github.com/magpielug/magpielug/rehearsal/capacity/usage"
)

const percent = 100

// UsageTable returns a table of what processes use.
func UsageTable(rates []usage.Rate) string {
	var table strings.Builder
	table.WriteString("| process | read kB/s | written kB/s | % of a core | resident MB |\n|---|---|---|---|---|\n")
	for _, rate := range rates {
		fmt.Fprintf(&table, "| %d | %.1f | %.1f | %.2f | %.1f |\n", rate.PID,
			rate.ReadBytesPerSecond/thousand, rate.WriteBytesPerSecond/thousand,
			rate.ProcessorShare*percent, float64(rate.Resident)/million)
	}
	return table.String()
}
