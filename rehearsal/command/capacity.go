package command

import (
	"context"
	"fmt"
	"time"

	"github.com/magpielug/magpielug/rehearsal/capacity"
	"github.com/magpielug/magpielug/rehearsal/capacity/slope"
	"github.com/magpielug/magpielug/rehearsal/capacity/usage"
)

// Capacity prints the tables of docs/CAPACITY.md, measures their slopes, or
// watches what running processes use.
type Capacity struct {
	Inputs  string        `arg:"--inputs" placeholder:"FOLDER" help:"folder with target.yaml, designs.yaml and slopes.yaml in place of the built-in ones"`
	Measure bool          `arg:"--measure" help:"measure the slopes on this machine and print them beside those in use"`
	Watch   []int         `arg:"--watch" placeholder:"PID" help:"print what these processes use"`
	Over    time.Duration `arg:"--over" default:"20s" help:"how long to watch"`
}

// procFolder is where Linux shows processes.
const procFolder = "/proc"

// Run prints to standard output.
func (command *Capacity) Run(ctx context.Context) error {
	if len(command.Watch) > 0 {
		return command.printUsage(ctx)
	}
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

func (command *Capacity) printUsage(ctx context.Context) error {
	rates, err := usage.Watch(ctx, procFolder, command.Watch, command.Over)
	if err != nil {
		return err
	}
	fmt.Print(capacity.UsageTable(rates))
	return nil
}
