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
	// callerHost is the Host header of callers; curl sends it by default for the
	// nodes' addresses.
	callerHost = "127.0.0.1"
	// eventPause is the time between two events of a stand-in engine's stream. To keep
	// runs short it is less than the 27 ms that an event's 9 tokens take at 3 ms a step.
	eventPause = 15 * time.Millisecond
)

// NodeLayout holds the options of a cluster of nodes and their stand-ins.
type NodeLayout struct {
	Deployment string `arg:"--deployment" default:"namibia" help:"namibia or cairo: zones, engines, tools, kinds of programs, and tiers as tenants"`
	Nodes      int    `arg:"--nodes" default:"8" help:"nodes, spread over the zones"`
	Port       int    `arg:"--port" default:"7700" help:"port of the first node's callers; each further node's is 10 above the one before"`
	Directory  string `arg:"--directory" default:"out/rehearsal" help:"where logs and settings files go"`
	Magpielug  string `arg:"--magpielug" help:"program to start; default is the one beside this program"`
}

func (layout *NodeLayout) options() (soak.ScriptedOptions, error) {
	deployment, err := workload.DeploymentByName(layout.Deployment)
	if err != nil {
		return soak.ScriptedOptions{}, err
	}
	binaries, err := (&Layout{Magpielug: layout.Magpielug}).binaries()
	if err != nil {
		return soak.ScriptedOptions{}, err
	}
	directory := filepath.Clean(layout.Directory)
	err = os.RemoveAll(directory)
	if err != nil {
		return soak.ScriptedOptions{}, eris.Wrap(err, "remove old run directory")
	}
	return soak.ScriptedOptions{
		Options: soak.Options{
			Nodes:      layout.Nodes,
			Host:       callerHost,
			FirstPort:  layout.Port,
			EventDelay: eventPause,
			Magpielug:  binaries.Magpielug,
			Directory:  directory,
			Output:     os.Stderr,
		},
		Deployment: deployment,
	}, nil
}

// Run starts nodes, runs a mixed set of programs with a few faults and prints the
// measurements.
type Run struct {
	NodeLayout
	Programs    int           `arg:"--programs" default:"60" help:"programs to run, besides one that loops without end"`
	ArrivalSpan time.Duration `arg:"--over" default:"16s" help:"time over which the programs arrive"`
	TimeScale   float64       `arg:"--time-scale" default:"0.5" help:"factor on the programs' pauses, each at most 0.5s then"`
	LoopBudget  int64         `arg:"--loop-budget" default:"4000" help:"tokens that the program that loops without end may use; the default lasts beyond the faults"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the programs"`
}

// maxSoftDeadline is the soft deadline of the lowest tier's programs; it shrinks by
// softDeadlineStep with each higher tier.
const (
	maxSoftDeadline  = 10 * time.Second
	softDeadlineStep = 2 * time.Second
)

// Run returns an error if the run could not be made or a guarantee was violated.
func (command *Run) Run(ctx context.Context) error {
	options, err := command.options()
	if err != nil {
		return err
	}
	options.Seed = command.Seed
	options.Programs = command.Programs
	options.ArrivalPeriod = command.ArrivalSpan
	options.TimeScale = command.TimeScale
	options.EndlessBudget = command.LoopBudget
	options.SoftDeadlines = softDeadlines(options.Deployment)
	fmt.Fprintf(os.Stderr, "starting %d nodes in %d zones, %d engines, %d tools and a store; logs in %s\n",
		options.Nodes, len(options.Deployment.Zones), options.Deployment.ModelEngines, options.Deployment.ApplicationBackEnds, options.Directory)
	outcome, err := soak.RunScripted(ctx, options)
	if err != nil {
		return err
	}
	fmt.Print(outcome.Table(tierNames(options.Deployment), options.SoftDeadlines))
	return reportViolations(outcome.Violations)
}

// reportViolations prints the violations, and returns an error if there are any.
func reportViolations(violations []soak.Violation) error {
	if len(violations) == 0 {
		fmt.Println("no guarantee was violated")
		return nil
	}
	for _, violation := range violations[:min(maxViolationsShown, len(violations))] {
		fmt.Println("violated: " + violation.String())
	}
	return eris.Errorf("%d violations of guarantees", len(violations))
}

// softDeadlines returns the soft deadline of each tier's programs.
func softDeadlines(deployment workload.Deployment) map[string]time.Duration {
	deadlines := map[string]time.Duration{}
	for index := range deployment.Tiers {
		fromLowest := time.Duration(len(deployment.Tiers) - 1 - index)
		deadlines[deployment.Tiers[index].Name] = maxSoftDeadline - fromLowest*softDeadlineStep
	}
	return deadlines
}

func tierNames(deployment workload.Deployment) []string {
	var names []string
	for _, tier := range deployment.Tiers {
		names = append(names, tier.Name)
	}
	return names
}
