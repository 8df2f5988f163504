package statechart

import (
	"fmt"
	"go/format"
	"strings"
)

// Mermaid returns the chart's section of docs/CHARTS.md: its description, a
// state diagram and tables of states and events.
func Mermaid(definition *Definition) string {
	var page strings.Builder
	fmt.Fprintf(&page, "## %s\n\n%s\n\n```mermaid\nstateDiagram-v2\n", definition.Name, definition.Description)
	fmt.Fprintf(&page, "    [*] --> %s\n", definition.Initial)
	for _, state := range definition.States {
		for _, event := range sortedKeys(state.Transitions) {
			fmt.Fprintf(&page, "    %s --> %s: %s\n", state.Name, state.Transitions[event], event)
		}
		if state.Final {
			fmt.Fprintf(&page, "    %s --> [*]\n", state.Name)
		}
	}
	page.WriteString("```\n\n| state | meaning | ignored | refused |\n|---|---|---|---|\n")
	for _, state := range definition.States {
		fmt.Fprintf(&page, "| %s | %s | %s | %s |\n",
			state.Name, state.Description, strings.Join(state.Ignore, ", "), formatRefusals(state))
	}
	page.WriteString("\n| event | meaning |\n|---|---|\n")
	for _, event := range definition.Events {
		fmt.Fprintf(&page, "| %s | %s |\n", event.Name, event.Description)
	}
	return page.String()
}

func formatRefusals(state StateDefinition) string {
	var parts []string
	for _, code := range sortedKeys(state.Refuse) {
		if events := state.Refuse[code]; len(events) > 0 {
			parts = append(parts, code+": "+strings.Join(events, ", "))
		}
	}
	return strings.Join(parts, "; ")
}

// Constants returns the Go source file for package charts with a chart's state
// and event types, their constants and the loaded chart.
func Constants(definition *Definition) ([]byte, error) {
	entity := camelCase(definition.Name)
	var source strings.Builder
	fmt.Fprintf(&source, "// Code generated from %s.yaml by go test ./charts -update. DO NOT EDIT.\n\n", definition.Name)
	source.WriteString("package charts\n\nimport \"github.com/magpielug/magpielug/internal/statechart\"\n\n")
	fmt.Fprintf(&source, "// %sState is a state of the %s chart.\ntype %sState uint8\n\n", entity, definition.Name, entity)
	fmt.Fprintf(&source, "// States of the %s chart.\nconst (\n", definition.Name)
	for number, state := range definition.States {
		writeConstant(&source, entity+"State", state.Name, state.Description, number)
	}
	fmt.Fprintf(&source, ")\n\n// %sEvent is an event of the %s chart.\ntype %sEvent uint8\n\n", entity, definition.Name, entity)
	fmt.Fprintf(&source, "// Events of the %s chart.\nconst (\n", definition.Name)
	for number, event := range definition.Events {
		writeConstant(&source, entity+"Event", event.Name, event.Description, number)
	}
	fmt.Fprintf(&source, ")\n\n// %s is the chart of %s.yaml.\nvar %s = statechart.MustLoad[%sState, %sEvent](files, %q)\n\n",
		entity, definition.Name, entity, entity, entity, definition.Name)
	fmt.Fprintf(&source, "// String returns the state's name in the chart file.\nfunc (state %sState) String() string { return %s.StateName(state) }\n\n", entity, entity)
	fmt.Fprintf(&source, "// String returns the event's name in the chart file.\nfunc (event %sEvent) String() string { return %s.EventName(event) }\n", entity, entity)
	return format.Source([]byte(source.String()))
}

func writeConstant(source *strings.Builder, kind, name, description string, number int) {
	constant := kind + camelCase(name)
	fmt.Fprintf(source, "// %s: %s\n%s %s = %d\n", constant, description, constant, kind, number)
}

// camelCase converts tool_pause to ToolPause.
func camelCase(name string) string {
	var result strings.Builder
	for _, word := range strings.Split(name, "_") {
		result.WriteString(strings.ToUpper(word[:1]) + word[1:])
	}
	return result.String()
}
