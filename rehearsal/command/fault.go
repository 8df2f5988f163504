package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/rehearsal/fault"
)

// Fault runs fault scenarios on real processes.
type Fault struct {
	Files     []string `arg:"positional,required" placeholder:"FILE" help:"scenario files"`
	Port      int      `arg:"--port" default:"7800" help:"port of every machine; the platform's services take this one and the next two"`
	Directory string   `arg:"--directory" default:"out/fault" help:"where logs and settings files go, a directory for each scenario"`
	Magpielug string   `arg:"--magpielug" help:"program to start; default is the one beside this program"`
	Times     int      `arg:"--times" default:"1" help:"how often each scenario runs; the seed rises by one each time"`
}

// Run runs all scenarios sequentially. It fails if a scenario could not be run or
// a check failed.
func (command *Fault) Run(ctx context.Context) error {
	binaries, err := (&Layout{Magpielug: command.Magpielug}).binaries()
	if err != nil {
		return err
	}
	var scenarios []*fault.Scenario
	for _, file := range command.Files {
		scenario, err := fault.LoadScenario(file)
		if err != nil {
			return err
		}
		scenarios = append(scenarios, scenario)
	}
	failed := 0
	for round := range command.Times {
		for _, scenario := range scenarios {
			run := *scenario
			run.Seed += uint64(round)
			directory := filepath.Join(command.Directory, fmt.Sprintf("%s-%d", run.Name, run.Seed))
			if err := os.RemoveAll(directory); err != nil {
				return eris.Wrap(err, "remove old run directory")
			}
			report, err := fault.Run(ctx, &run, fault.Environment{
				Binaries:  binaries,
				Directory: directory,
				Port:      command.Port,
				Output:    os.Stderr,
			})
			if err != nil {
				return eris.Wrapf(err, "scenario %s", run.Name)
			}
			printReport(report)
			if report.Failed() {
				failed++
			}
		}
	}
	if failed > 0 {
		return eris.Errorf("%d scenario runs had failed checks", failed)
	}
	return nil
}

func printReport(report *fault.Report) {
	verdict := "passed"
	if report.Failed() {
		verdict = "FAILED"
	}
	fmt.Printf("scenario %s, seed %d: %s (%s)\n", report.Scenario.Name, report.Scenario.Seed, verdict,
		report.Duration.Round(time.Second))
	for _, result := range report.Results {
		fmt.Print("  ", result)
	}
}
