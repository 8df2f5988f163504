package report

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// table is a header and rows of text cells.
type table struct {
	header []string
	rows   [][]string
}

func (table *table) add(cells ...string) {
	table.rows = append(table.rows, cells)
}

// text renders the table with columns aligned by spaces.
func (table *table) text() string {
	const padding = 2
	var text strings.Builder
	writer := tabwriter.NewWriter(&text, 0, 0, padding, ' ', tabwriter.AlignRight)
	for _, row := range append([][]string{table.header}, table.rows...) {
		fmt.Fprintln(writer, strings.Join(row, "\t")+"\t")
	}
	// Writes to a strings.Builder never fail.
	_ = writer.Flush()
	return text.String()
}

// markdown renders the table as a Markdown table.
func (table *table) markdown() string {
	var text strings.Builder
	text.WriteString("| " + strings.Join(table.header, " | ") + " |\n")
	text.WriteString(strings.Repeat("|---", len(table.header)) + "|\n")
	for _, row := range table.rows {
		text.WriteString("| " + strings.Join(row, " | ") + " |\n")
	}
	return text.String()
}
