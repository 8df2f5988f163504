package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Row describes one settings key in the reference documentation.
type Row struct {
	Key     string
	Default string
	Bounds  string
	About   string
}

// Table lists every key of Settings, in the order of its fields.
func Table() []Row { return appendRows(nil, "", reflect.ValueOf(Defaults())) }

// NodeTable lists every key of NodeSettings, in the order of its fields.
func NodeTable() []Row { return appendRows(nil, "", reflect.ValueOf(NodeDefaults())) }

func appendRows(rows []Row, prefix string, value reflect.Value) []Row {
	for index := range value.NumField() {
		field := value.Type().Field(index)
		key := prefix + field.Tag.Get(keyTag)
		if field.Type.Kind() == reflect.Struct {
			rows = appendRows(rows, key+keyDelimiter, value.Field(index))
			continue
		}
		rows = append(rows, Row{
			Key:     key,
			Default: formatDefault(value.Field(index)),
			Bounds:  formatBounds(field),
			About:   field.Tag.Get("about"),
		})
	}
	return rows
}

func formatDefault(value reflect.Value) string {
	text := fmt.Sprint(value.Interface())
	if text == "" {
		return "none"
	}
	return text
}

// formatBounds describes a field's validation rules.
func formatBounds(field reflect.StructField) string {
	if field.Type.Kind() == reflect.Bool {
		return "true, false"
	}
	if field.Tag.Get("validate") == "" {
		return "path"
	}
	var parts []string
	for _, rule := range strings.Split(field.Tag.Get("validate"), ",") {
		name, bound, _ := strings.Cut(rule, "=")
		switch name {
		case "required":
			parts = append(parts, "required")
		case "gte":
			parts = append(parts, "from "+bound)
		case "lte":
			parts = append(parts, "to "+bound)
		case "max":
			parts = append(parts, "at most "+bound+" characters")
		case "len":
			parts = append(parts, bound+" characters")
		case "oneof":
			parts = append(parts, strings.ReplaceAll(bound, " ", ", "))
		case "address":
			parts = append(parts, "IP:port")
		case "base_url":
			parts = append(parts, "http(s)://IP:port")
		case "ip":
			parts = append(parts, "IP address")
		case "name":
			parts = append(parts, "letters, digits, . _ -")
		case "hexadecimal":
			parts = append(parts, "hexadecimal")
		}
	}
	return strings.Join(parts, "; ")
}

// Markdown returns rows as a Markdown table, as in docs/OPERATIONS.md.
func Markdown(rows []Row) string {
	var text strings.Builder
	text.WriteString("| key | default | unit and bounds | meaning |\n|---|---|---|---|\n")
	for _, row := range rows {
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s |\n", row.Key, row.Default, row.Bounds, row.About)
	}
	return text.String()
}
