package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/rehearsal/soak"
	"github.com/magpielug/magpielug/rehearsal/workload"
)

const (
	// rehearsalHost is the host that callers name; it is what curl sends by itself.
	rehearsalHost = "127.0.0.1"
	// eventPause makes a turn of the stand-in engines last some 60 ms, so that a run takes
	// well under 40 s: at 3 ms a step an event's 9 tokens would take 27 ms.
	eventPause = 15 * time.Millisecond
)

// NodeLayout says what is started of nodes and around them.
type NodeLayout struct {
	Deployment string `arg:"--deployment" default:"namibia" help:"namibia or cairo: zones, engines, tools, kinds of programs, and tiers as tenants"`
	Nodes      int    `arg:"--nodes" default:"8" help:"nodes, spread over the zones"`
	Port       int    `arg:"--port" default:"7700" help:"port of the first node's callers; each further node's is 10 above the one before"`
	Directory  string `arg:"--directory" default:"out/rehearsal" help:"where logs and settings files go"`
	Magpielug  string `arg:"--magpielug" help:"program to start; default is the one beside this program"`
}

func (layout *NodeLayout) options() (soak.StagedOptions, error) {
	deployment, err := workload.DeploymentByName(layout.Deployment)
	if err != nil {
		return soak.StagedOptions{}, err
	}
	binaries, err := (&Layout{Magpielug: layout.Magpielug}).binaries()
	if err != nil {
		return soak.StagedOptions{}, err
	}
	directory := filepath.Clean(layout.Directory)
	err = os.RemoveAll(directory)
	if err != nil {
		return soak.StagedOptions{}, eris.Wrap(err, "clear the directory of the run")
	}
	return soak.StagedOptions{
		Options: soak.Options{
			Nodes:      layout.Nodes,
			Host:       rehearsalHost,
			FirstPort:  layout.Port,
			EventPause: eventPause,
			Magpielug:  binaries.Magpielug,
			Directory:  directory,
			Output:     os.Stderr,
		},
		Deployment: deployment,
	}, nil
}

// Run starts nodes, runs a mixed set of programs with a few faults and prints the figures.
type Run struct {
	NodeLayout
	Programs   int           `arg:"--programs" default:"60" help:"programs to run, besides one that loops without end"`
	Over       time.Duration `arg:"--over" default:"16s" help:"time over which the programs arrive"`
	TimeScale  float64       `arg:"--time-scale" default:"0.5" help:"factor on the programs' pauses, each at most 0.5s then"`
	LoopBudget int64         `arg:"--loop-budget" default:"4000" help:"tokens that the program that loops without end may use; the default lasts beyond the faults"`
	Seed       uint64        `arg:"--seed" default:"1" help:"seed of the programs"`
}

// longestAim is what the lowest tier's programs should take at most; each tier above is to take
// aimStep less. The figures are the rehearsal's own, to show the order of the tiers.
const (
	longestAim = 10 * time.Second
	aimStep    = 2 * time.Second
)

// Run fails where a promise was broken.
func (command *Run) Run(ctx context.Context) error {
	options, err := command.options()
	if err != nil {
		return err
	}
	options.Seed = command.Seed
	options.Programs = command.Programs
	options.Over = command.Over
	options.TimeScale = command.TimeScale
	options.LoopBudget = command.LoopBudget
	options.Aims = aimsOf(options.Deployment)
	fmt.Fprintf(os.Stderr, "starting %d nodes in %d zones, %d engines, %d tools and a store; logs in %s\n",
		options.Nodes, len(options.Deployment.Zones), options.Deployment.ModelEngines, options.Deployment.ApplicationBackEnds, options.Directory)
	outcome, err := soak.RunStaged(ctx, options)
	if err != nil {
		return err
	}
	fmt.Print(outcome.Table(tierNames(options.Deployment), options.Aims))
	return judge(outcome.Violations)
}

// judge shows the broken promises; it fails where there is one.
func judge(violations []soak.Violation) error {
	if len(violations) == 0 {
		fmt.Println("no promise was broken")
		return nil
	}
	for _, violation := range violations[:min(mostShown, len(violations))] {
		fmt.Println("broken: " + violation.String())
	}
	return eris.Errorf("%d promises were broken", len(violations))
}

// aimsOf is what programs should take at most, by tier.
func aimsOf(deployment workload.Deployment) map[string]time.Duration {
	aims := map[string]time.Duration{}
	for rank := range deployment.Tiers {
		fromLowest := time.Duration(len(deployment.Tiers) - 1 - rank)
		aims[deployment.Tiers[rank].Name] = longestAim - fromLowest*aimStep
	}
	return aims
}

func tierNames(deployment workload.Deployment) []string {
	var names []string
	for _, tier := range deployment.Tiers {
		names = append(names, tier.Name)
	}
	return names
}
