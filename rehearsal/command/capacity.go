package command

import (
	"context"
	"fmt"

	"github.com/magpielug/magpielug/rehearsal/capacity"
)

// Capacity prints the tables of docs/CAPACITY.md.
type Capacity struct {
	Inputs string `arg:"--inputs" placeholder:"FOLDER" help:"folder with target.yaml, designs.yaml and slopes.yaml in place of the built-in ones"`
}

// Run prints the tables to standard output.
func (command *Capacity) Run(context.Context) error {
	inputs, err := capacity.Load(command.Inputs)
	if err != nil {
		return err
	}
	tables, err := capacity.Markdown(inputs)
	if err != nil {
		return err
	}
	fmt.Print(tables)
	return nil
}
