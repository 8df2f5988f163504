package command

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/rehearsal/losses"
)

// Losses reports which programs were lost in a run and why, from the nodes' logs.
type Losses struct {
	File     string        `arg:"positional,required" help:"output of a run with the lines of all nodes"`
	Window   time.Duration `arg:"--window" default:"2s" help:"length of the spans that losses are counted in"`
	Examples int           `arg:"--examples" default:"3" help:"losses shown of each cause"`
}

// Run prints the losses by cause and time window.
func (command *Losses) Run(context.Context) error {
	if command.Window <= 0 {
		return eris.Errorf("--window must be positive, got %s", command.Window)
	}
	file, err := os.Open(command.File)
	if err != nil {
		return eris.Wrap(err, "open the run's output")
	}
	defer func() { _ = file.Close() }()
	lost, first, err := losses.Read(file)
	if err != nil {
		return eris.Wrap(err, "read the run's output")
	}
	err = losses.Write(os.Stdout, lost, losses.GroupByWindow(lost, first, command.Window), command.Examples)
	if err != nil {
		return err
	}
	_, err = file.Seek(0, io.SeekStart)
	if err != nil {
		return eris.Wrap(err, "read the run's output again")
	}
	sizes, err := losses.ReadSizes(file)
	if err != nil {
		return eris.Wrap(err, "read the run's output again")
	}
	return losses.WriteSizes(os.Stdout, sizes)
}
