// Package report writes the result of an experiment to a folder as CSV, JSON, a
// text table and a Markdown page with plots.
package report

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/rehearsal/experiment"
)

// File names in the report folder.
const (
	jsonName     = "result.json"
	csvName      = "result.csv"
	tableName    = "table.txt"
	markdownName = "report.md"
)

const (
	folderMode = 0o755
	fileMode   = 0o644
)

// Write writes all files of a report to folder and creates it if needed.
func Write(folder string, result experiment.Result) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return eris.Wrap(err, "create report folder")
	}
	content, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode result")
	}
	if err := writeFile(folder, jsonName, content); err != nil {
		return err
	}
	if err := writeCSV(filepath.Join(folder, csvName), result); err != nil {
		return err
	}
	if err := writeFile(folder, tableName, []byte(Text(result))); err != nil {
		return err
	}
	plots, err := writePlots(folder, result)
	if err != nil {
		return err
	}
	return writeFile(folder, markdownName, []byte(Markdown(result, plots)))
}

func writeFile(folder, name string, content []byte) error {
	err := os.WriteFile(filepath.Join(folder, name), content, fileMode)
	return eris.Wrapf(err, "write %s", name)
}

// Text returns the result as plain-text tables.
func Text(result experiment.Result) string {
	var text strings.Builder
	for _, section := range sections(result) {
		text.WriteString(section.title + "\n\n")
		text.WriteString(section.table.text())
		text.WriteString("\n")
	}
	return text.String()
}

// Markdown returns the result as a Markdown page. plots are the file names of
// the images that it shows.
func Markdown(result experiment.Result, plots []string) string {
	var text strings.Builder
	text.WriteString("# Experiment " + result.Name + "\n\n")
	for _, section := range sections(result) {
		text.WriteString("## " + section.title + "\n\n")
		text.WriteString(section.table.markdown())
		text.WriteString("\n")
	}
	for _, plot := range plots {
		text.WriteString("![" + plot + "](" + plot + ")\n\n")
	}
	return text.String()
}
