package capacity

import (
	"fmt"
	"strings"

	"github.com/magpielug/magpielug/rehearsal/capacity/slope"
)

// Comparison returns a table of measured slopes beside those in use.
func Comparison(inputs *Inputs, measurements []slope.Measurement) string {
	used := make(map[string]float64)
	for _, known := range inputs.Slopes {
		used[known.Name] = known.Value
	}
	var table strings.Builder
	table.WriteString("| slope | in use | measured now | unit | sizes |\n|---|---|---|---|---|\n")
	for _, measurement := range measurements {
		var values []string
		for _, value := range measurement.Values {
			values = append(values, FormatNumber(value))
		}
		fmt.Fprintf(&table, "| %s | %s | %s | %s | %s |\n", measurement.Name, FormatNumber(used[measurement.Name]),
			strings.Join(values, ", "), measurement.Unit, measurement.Sizes)
	}
	return table.String()
}
