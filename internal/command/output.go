package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/resultcode"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// columnPadding is the number of spaces between columns.
const columnPadding = 2

// table is tabular output.
type table struct {
	header []string
	rows   [][]string
}

func newTable(header ...string) table { return table{header: header} }

// add returns the table with one more row.
func (rows table) add(cells ...any) table {
	row := make([]string, len(cells))
	for index, cell := range cells {
		row[index] = fmt.Sprint(cell)
	}
	rows.rows = append(rows.rows, row)
	return rows
}

// configurationTable returns a table with a row for each part of a configuration.
func configurationTable(configuration *operatorv1.Configuration) table {
	rows := newTable("PART", "NAME", "DETAIL")
	for _, service := range configuration.GetServices() {
		rows = rows.add("service", service.GetName(), formatFields(service))
	}
	for _, tier := range configuration.GetTiers() {
		shown := proto.CloneOf(tier)
		shown.Name, shown.Tenant, shown.KeySha256 = "", "", ""
		rows = rows.add("tier", tier.GetTenant()+"/"+tier.GetName(), formatFields(shown))
	}
	for _, kind := range configuration.GetProgramKinds() {
		rows = rows.add("program kind", kind.GetName(), formatFields(kind))
	}
	if configuration.GetScheduling() != nil {
		rows = rows.add("scheduling", "", formatFields(configuration.GetScheduling()))
	}
	for _, backEnd := range configuration.GetDrainedBackEnds() {
		rows = rows.add("drained", backEnd, "")
	}
	return rows
}

// formatFields formats the fields other than name on one line, as field=JSON
// without quotes.
func formatFields(message proto.Message) string {
	content, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(message)
	if err != nil {
		return err.Error()
	}
	var fields map[string]json.RawMessage
	err = json.Unmarshal(content, &fields)
	if err != nil {
		return err.Error()
	}
	delete(fields, "name")
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		parts = append(parts, name+"="+strings.ReplaceAll(string(fields[name]), `"`, ""))
	}
	return strings.Join(parts, " ")
}

// print writes a reply in the format of --output.
func (command *OperatorCommand) print(streams Streams, chosen action, reply proto.Message) error {
	if command.Output == outputJSON {
		return printJSON(streams, reply)
	}
	return chosen.table(reply).write(streams.Output)
}

// write writes the table with aligned columns.
func (rows table) write(output io.Writer) error {
	writer := tabwriter.NewWriter(output, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(writer, strings.Join(rows.header, "\t"))
	for _, row := range rows.rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}

// printJSON writes a reply with all its fields. It indents with encoding/json,
// because protojson randomizes white space.
func printJSON(streams Streams, reply proto.Message) error {
	options := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}
	content, err := options.Marshal(reply)
	if err != nil {
		return err
	}
	var indented bytes.Buffer
	err = json.Indent(&indented, content, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(streams.Output, "%s\n", indented.Bytes())
	return err
}

// printError writes an error on one line, as JSON with --output json.
func (command *OperatorCommand) printError(streams Streams, failure *resultcode.Error) {
	if command.Output == outputJSON {
		content, err := json.Marshal(httpserver.ErrorBody{Error: httpserver.NewErrorDetail(failure)})
		if err == nil {
			fmt.Fprintf(streams.Errors, "%s\n", content)
			return
		}
	}
	line := failure.Error()
	if failure.RetryAfter > 0 {
		line = fmt.Sprintf("%s (try again in %v)", line, failure.RetryAfter)
	}
	fmt.Fprintf(streams.Errors, "%s: %s\n", programName, line)
}
