package resultcode

import (
	"fmt"
	"strconv"
	"strings"
)

// Markdown returns the table of all codes as docs/RESULT_CODES.md holds it.
func Markdown() string {
	var text strings.Builder
	text.WriteString("| code | name | HTTP status | retry | meaning |\n|---|---|---|---|---|\n")
	for _, entry := range Table {
		fmt.Fprintf(&text, "| %d | %s | %s | %s | %s |\n",
			entry.Code, entry.Name, statusText(entry.Status), retryText(entry.Retryable), entry.Meaning)
	}
	return text.String()
}

// statusText is empty for codes that no HTTP answer carries.
func statusText(status int) string {
	if status == 0 {
		return "–"
	}
	return strconv.Itoa(status)
}

func retryText(retryable bool) string {
	if retryable {
		return "yes"
	}
	return "no"
}
