package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/magpielug/magpielug/rehearsal/experiment"
	"github.com/magpielug/magpielug/rehearsal/report"
)

// Experiment runs an experiment file and writes its report.
type Experiment struct {
	File    string `arg:"positional,required" help:"experiment file (YAML)"`
	Output  string `arg:"--output,-o" default:"experiment-report" placeholder:"FOLDER" help:"folder for the report"`
	Workers int    `arg:"--workers" default:"4" help:"runs at a time"`
	Quiet   bool   `arg:"--quiet" help:"print no line for each run"`
}

// Run runs the experiment. It prints the tables to standard output and progress to
// standard error.
func (command *Experiment) Run(ctx context.Context) error {
	file, err := experiment.ReadFile(command.File)
	if err != nil {
		return err
	}
	progress := printProgress
	if command.Quiet {
		progress = nil
	}
	result, err := experiment.Run(ctx, file, command.Workers, progress)
	if err != nil {
		return err
	}
	if err := report.Write(command.Output, result); err != nil {
		return err
	}
	fmt.Print(report.Text(result))
	fmt.Fprintf(os.Stderr, "report written to %s\n", command.Output)
	return nil
}

func printProgress(done, total int, policy string, load float64, seed uint64, took time.Duration) {
	fmt.Fprintf(os.Stderr, "run %d/%d policy=%s load=%g seed=%d took=%s\n",
		done, total, policy, load, seed, took.Round(time.Millisecond))
}
