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
	err = writeAgain(file, losses.ReadSizes, losses.WriteSizes)
	if err != nil {
		return err
	}
	return writeAgain(file, losses.ReadZones, losses.WriteZones)
}

// writeAgain reads a run's output from its start once more, and prints what one reader found.
func writeAgain[Found any](file *os.File, read func(io.Reader) ([]Found, error), write func(io.Writer, []Found) error) error {
	_, err := file.Seek(0, io.SeekStart)
	if err != nil {
		return eris.Wrap(err, "read the run's output again")
	}
	found, err := read(file)
	if err != nil {
		return eris.Wrap(err, "read the run's output again")
	}
	return write(os.Stdout, found)
}
