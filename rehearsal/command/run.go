package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/rehearsal/drive"
	"github.com/magpielug/magpielug/rehearsal/workload"
)

const (
	progressInterval = 2 * time.Second
	// cacheSettleBound is how long the last releases may take.
	cacheSettleBound = 15 * time.Second
	// endlessNumber sets the endless program's number apart.
	endlessNumber = 900_000
)

// Run starts everything, runs a mixed set of programs and prints the figures.
type Run struct {
	Layout
	Programs  int           `arg:"--programs" default:"60" help:"programs to run, besides one that loops without end"`
	Over      time.Duration `arg:"--over" default:"20s" help:"time over which the programs arrive"`
	TimeScale float64       `arg:"--time-scale" default:"0.5" help:"factor on the programs' tool pauses"`
	Seed      uint64        `arg:"--seed" default:"1" help:"seed of the programs"`
	Bound     time.Duration `arg:"--bound" default:"5m" help:"longest run"`
}

// Run fails where a program fails, or where the endless one is not stopped.
func (command *Run) Run(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, command.Bound)
	defer cancel()
	started, deployment, err := command.start(bounded)
	if err != nil {
		return err
	}
	defer started.Stop()
	driver := drive.New(drive.Config{
		Gateways:  started.Gateways(),
		Model:     rehearsalModel,
		Tool:      rehearsalTool,
		ToolEvery: 2,
		TimeScale: command.TimeScale,
	})
	programs := command.programs(deployment)
	go command.showProgress(bounded, driver, len(programs))
	begun := time.Now()
	records := driver.Run(bounded, programs)
	fmt.Fprintf(os.Stderr, "%d programs ended in %s\n", len(records), time.Since(begun).Round(time.Millisecond))
	cache, err := drive.SettledCache(ctx, started.Engines(), cacheSettleBound)
	if err != nil {
		return err
	}
	fmt.Print(drive.Table(records, tierNames(deployment), cache))
	return judge(records)
}

// programs generates the set: arrivals evenly spread, one endless program in
// the lowest tier.
func (command *Run) programs(deployment workload.Deployment) []*workload.Program {
	generator := workload.NewGenerator(deployment, command.Seed)
	var programs []*workload.Program
	gap := time.Duration(float64(command.Over) / command.TimeScale / float64(max(command.Programs, 1)))
	for number := range command.Programs {
		program := generator.Program(number)
		program.Arrival = time.Duration(number) * gap
		programs = append(programs, program)
	}
	return append(programs, generator.EndlessProgram(endlessNumber, lowestKind(deployment)))
}

// lowestKind names a kind of the lowest tier.
func lowestKind(deployment workload.Deployment) string {
	lowest := deployment.Tiers[len(deployment.Tiers)-1].Name
	for _, kind := range deployment.Kinds {
		if kind.Tier == lowest {
			return kind.Name
		}
	}
	return deployment.Kinds[0].Name
}

func tierNames(deployment workload.Deployment) []string {
	var names []string
	for _, tier := range deployment.Tiers {
		names = append(names, tier.Name)
	}
	return names
}

func (command *Run) showProgress(ctx context.Context, driver *drive.Driver, total int) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			programs, calls := driver.Progress()
			fmt.Fprintf(os.Stderr, "programs ended %d of %d, calls finished %d\n", programs, total, calls)
		}
	}
}

// judge holds the run to what it shows: programs complete, and the endless one
// is stopped at its cap.
func judge(records []drive.Record) error {
	capped := 0
	for _, record := range records {
		switch record.Outcome {
		case drive.Capped:
			capped++
		case drive.Failed:
			return eris.Errorf("program %s failed: %s", record.Program, record.Detail)
		}
	}
	if capped == 0 {
		return eris.New("no program was stopped at its cap")
	}
	return nil
}
