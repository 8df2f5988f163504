package command

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/rehearsal/soak"
)

// Soak injects random faults into nodes that run as processes under load.
type Soak struct {
	Seed           uint64        `arg:"--seed" help:"seed of the first run; 0 draws one"`
	Runs           int           `arg:"--runs" default:"1" help:"runs, each with the next seed"`
	Length         time.Duration `arg:"--length" default:"30s" help:"how long each run throws faults"`
	Nodes          int           `arg:"--nodes" default:"5" help:"processes of the system"`
	Callers        int           `arg:"--callers" default:"8" help:"agent programs at once"`
	Engines        int           `arg:"--engines" help:"model engines; 0 for the default"`
	Tools          int           `arg:"--tools" help:"tool services; 0 for the default"`
	Lanes          int           `arg:"--lanes" default:"2" help:"faults at once"`
	LoadLanes      int           `arg:"--load-lanes" default:"1" help:"disturbances of the load at once: hot tenants, slow readers, engines that fail at once, zones without the store; 0 leaves them out, and makes engines alike"`
	CrashLanes     int           `arg:"--crash-lanes" default:"1" help:"callers at once whose requests end each engine that runs them"`
	StreamLanes    int           `arg:"--stream-lanes" default:"1" help:"disturbances of resumed streams at once, with 12 callers of such streams each: rollouts of engine versions, zones and groups of nodes lost at once; above 0 engines have several software versions"`
	RetentionLanes int           `arg:"--retention-lanes" default:"0" help:"faults at once that outlast the time for which the log keeps records: long freezes and cuts, owners lost in series; above 0 the log drops records after 16 s, and conversations go on for longer"`
	TotalLossLanes int           `arg:"--total-loss-lanes" default:"0" help:"losses of all nodes at once, in series and with a slow store, each beside a caller whose requests end engines for as long"`
	EndLanes       int           `arg:"--end-lanes" default:"0" help:"callers at once whose requests end engines in ways that something else seems to explain: a drain or a record that goes first, a whole answer, callers that leave early, come as new programs or several at once"`
	Directory      string        `arg:"--directory" default:"out/soak" help:"where logs and settings files go, a directory for each seed"`
	Magpielug      string        `arg:"--magpielug" help:"program to start; default is the one beside this program"`
}

// maxViolationsShown limits the violations printed for one run.
const maxViolationsShown = 10

// Run makes the runs sequentially. It returns an error if a run could not be made or
// a guarantee was violated.
func (command *Soak) Run(ctx context.Context) error {
	binaries, err := (&Layout{Magpielug: command.Magpielug}).binaries()
	if err != nil {
		return err
	}
	seed := command.Seed
	if seed == 0 {
		seed = uint64(rand.Uint32())
	}
	failed := 0
	for range command.Runs {
		violated, err := command.runOnce(ctx, seed, binaries.Magpielug)
		if err != nil {
			return err
		}
		if violated {
			failed++
		}
		seed++
	}
	if failed > 0 {
		return eris.Errorf("%d of %d runs violated a guarantee", failed, command.Runs)
	}
	return nil
}

// runOnce makes one run and reports whether a guarantee was violated.
func (command *Soak) runOnce(ctx context.Context, seed uint64, magpielug string) (bool, error) {
	directory := filepath.Join(command.Directory, fmt.Sprint(seed))
	if err := os.RemoveAll(directory); err != nil {
		return false, eris.Wrap(err, "remove old run directory")
	}
	report, err := soak.Run(ctx, soak.Options{
		Seed:             seed,
		FaultDuration:    command.Length,
		Nodes:            command.Nodes,
		Callers:          command.Callers,
		Engines:          command.Engines,
		Tools:            command.Tools,
		FaultWorkers:     command.Lanes,
		LoadFaultWorkers: command.LoadLanes,
		CrashWorkers:     command.CrashLanes,
		StreamWorkers:    command.StreamLanes,
		RetentionWorkers: command.RetentionLanes,
		TotalLossWorkers: command.TotalLossLanes,
		EndWorkers:       command.EndLanes,
		Magpielug:        magpielug,
		Directory:        directory,
		Output:           os.Stderr,
	})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d faults, %d turns, responses by status %v, %d of %d resumed streams went on, %d violations\n",
		report.Seed, report.InjectedFaults, report.Turns, report.Statuses, report.ContinuedStreams, report.ResumedStreams, len(report.Violations))
	for _, violation := range report.Violations[:min(maxViolationsShown, len(report.Violations))] {
		fmt.Println("  " + violation.String())
	}
	return len(report.Violations) > 0, nil
}
