package resultcode

import (
	"fmt"
	"strconv"
	"strings"
)

// Markdown returns the table of all codes as it is in docs/RESULT_CODES.md.
func Markdown() string {
	var text strings.Builder
	text.WriteString("| code | name | HTTP status | retry | meaning |\n|---|---|---|---|---|\n")
	for _, entry := range Table {
		fmt.Fprintf(&text, "| %d | %s | %s | %s | %s |\n",
			entry.Code, entry.Name, formatStatus(entry.Status), formatRetryable(entry.Retryable), entry.Meaning)
	}
	return text.String()
}

// formatStatus returns a dash for codes without an HTTP status.
func formatStatus(status int) string {
	if status == 0 {
		return "–"
	}
	return strconv.Itoa(status)
}

func formatRetryable(retryable bool) string {
	if retryable {
		return "yes"
	}
	return "no"
}
