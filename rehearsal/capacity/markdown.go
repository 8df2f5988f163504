package capacity

import (
	"fmt"
	"strings"
)

// Markdown returns the generated part of docs/CAPACITY.md.
func Markdown(inputs *Inputs) (string, error) {
	rows, err := Rows(inputs)
	if err != nil {
		return "", err
	}
	var page strings.Builder
	writeTotals(&page, Totals(rows))
	for _, role := range []Role{RoleGateway, RoleCommon, RoleMember, RoleLeader, RoleKeeper, RoleLedger, RoleLog} {
		writeRole(&page, role, rows)
	}
	writeChanges(&page, inputs.Designs)
	writeSlopes(&page, inputs.Slopes)
	return page.String(), nil
}

func writeTotals(page *strings.Builder, totals []Total) {
	page.WriteString("### A process against its limits\n\n")
	page.WriteString("| process | resource | limit | today | | planned | | largest row today | basis |\n")
	page.WriteString("|---|---|---|---|---|---|---|---|---|\n")
	for _, total := range totals {
		fmt.Fprintf(page, "| %s | %s | %s | %s | %s | %s | %s | %s: %s | %s |\n",
			total.Process, total.Resource,
			formatAmount(total.Limit, total.Resource),
			formatAmount(total.Today, total.Resource), verdict(total.Today, total.Limit),
			formatAmount(total.Planned, total.Resource), verdict(total.Planned, total.Limit),
			total.Largest.Role, total.Largest.Item, basisText(total.Basis))
	}
	page.WriteString("\n")
}

func verdict(value, limit float64) string {
	if value <= limit {
		return "met"
	}
	return "**not met**"
}

func basisText(basis Basis) string {
	if basis == Estimated {
		return "estimated in part"
	}
	return "measured"
}

func writeRole(page *strings.Builder, role Role, rows []Row) {
	fmt.Fprintf(page, "### %s\n\n", strings.ToUpper(string(role[:1]))+string(role[1:]))
	page.WriteString("| resource | item | arithmetic today | today | planned | carried by |\n|---|---|---|---|---|---|\n")
	for _, row := range rows {
		if row.Role != role {
			continue
		}
		fmt.Fprintf(page, "| %s | %s | %s | %s | %s | %s |\n", row.Resource, row.Item, row.Today.Text(),
			formatAmount(row.Today.Value, row.Resource), formatAmount(row.Planned.Value, row.Resource), row.Mechanism)
	}
	page.WriteString("\n")
}

func writeChanges(page *strings.Builder, choices []Choice) {
	page.WriteString("### Planned changes\n\n| setting | today | planned | change |\n|---|---|---|---|\n")
	for _, choice := range choices {
		if choice.Change == "" {
			continue
		}
		fmt.Fprintf(page, "| %s | %s | %s | %s |\n", choice.Name, FormatNumber(choice.Today), FormatNumber(choice.Planned), choice.Change)
	}
	page.WriteString("\n")
}

func writeSlopes(page *strings.Builder, slopes []Slope) {
	page.WriteString("### Slopes\n\n| slope | value | basis | source |\n|---|---|---|---|\n")
	for _, slope := range slopes {
		basis := "estimated"
		source := slope.Source
		if slope.Measured {
			basis = "measured"
		}
		fmt.Fprintf(page, "| %s | %s %s | %s | %s |\n", slope.Name, FormatNumber(slope.Value), slope.Label, basis, source)
	}
}

const (
	thousand = 1e3
	million  = 1e6
)

// formatAmount prints an amount with the unit that suits its size.
func formatAmount(value float64, resource Resource) string {
	if resource == ControlProcessor || resource == DataProcessor {
		return FormatNumber(value/million*percent) + "% of a core"
	}
	unit := unitOf(resource)
	switch {
	case unit == "1/s":
		return FormatNumber(value) + "/s"
	case value >= million:
		return FormatNumber(value/million) + " M" + unit
	case value >= thousand:
		return FormatNumber(value/thousand) + " k" + unit
	default:
		return FormatNumber(value) + " " + unit
	}
}
