package command

import (
	"context"
	"fmt"

	"github.com/magpielug/magpielug/rehearsal/capacity"
	"github.com/magpielug/magpielug/rehearsal/capacity/slope"
)

// Capacity prints the tables of docs/CAPACITY.md, or measures their slopes.
type Capacity struct {
	Inputs  string `arg:"--inputs" placeholder:"FOLDER" help:"folder with target.yaml, designs.yaml and slopes.yaml in place of the built-in ones"`
	Measure bool   `arg:"--measure" help:"measure the slopes on this machine and print them beside those in use"`
}

// Run prints to standard output.
func (command *Capacity) Run(context.Context) error {
	inputs, err := capacity.Load(command.Inputs)
	if err != nil {
		return err
	}
	if command.Measure {
		return printMeasurements(inputs)
	}
	tables, err := capacity.Markdown(inputs)
	if err != nil {
		return err
	}
	fmt.Print(tables)
	return nil
}

func printMeasurements(inputs *capacity.Inputs) error {
	measurements, err := slope.Measure()
	if err != nil {
		return err
	}
	fmt.Print(capacity.Comparison(inputs, measurements))
	return nil
}
