// Command rehearsal is the test tool of magpielug: it runs stand-ins for the
// platform, load, fault scenarios and experiments.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/magpielug/magpielug/rehearsal/command"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

type arguments struct {
	Run        *command.Run             `arg:"subcommand:run" help:"start the system, run a mixed workload and print the results"`
	Fault      *command.Fault           `arg:"subcommand:fault" help:"run fault scenarios and check the results"`
	Losses     *command.Losses          `arg:"subcommand:losses" help:"report from a run's logs which programs were lost, when and why"`
	Up         *command.Up              `arg:"subcommand:up" help:"start the system and keep it running"`
	Soak       *command.Soak            `arg:"subcommand:soak" help:"inject random faults into node processes and check what callers and engines observed"`
	Experiment *command.Experiment      `arg:"subcommand:experiment" help:"compare policies on the engine model"`
	Speed      *command.Speed           `arg:"subcommand:speed" help:"measure the overhead that gateway and scheduler add to a call"`
	Cost       *command.Cost            `arg:"subcommand:cost" help:"measure the resource use of schedulers and gateways, idle and under load"`
	Store      *command.Store           `arg:"subcommand:store" help:"run a stand-in store for nodes, with a configuration"`
	Engine     *command.Engine          `arg:"subcommand:engine" help:"run a stand-in model engine for nodes"`
	Tool       *command.Tool            `arg:"subcommand:tool" help:"run a stand-in tool service for nodes"`
	Log        *command.StandInLog      `arg:"subcommand:log" help:"run a stand-in log service for schedulers"`
	Machines   *command.StandInMachines `arg:"subcommand:machines" help:"run a stand-in machine list for schedulers"`
	Weights    *command.StandInWeights  `arg:"subcommand:weights" help:"run a stand-in weight store for schedulers"`
	PoolEngine *command.PoolEngine      `arg:"subcommand:pool-engine" help:"run a stand-in model engine for schedulers"`
	PoolTool   *command.PoolTool        `arg:"subcommand:pool-tool" help:"run a stand-in tool service for schedulers"`
}

// Description returns the text at the top of --help.
func (arguments) Description() string {
	return "rehearsal: magpielug's stand-ins, load and experiments"
}

type runner interface {
	Run(ctx context.Context) error
}

func main() { os.Exit(run()) }

func run() int {
	var given arguments
	parser := arg.MustParse(&given)
	chosen, found := parser.Subcommand().(runner)
	if !found {
		parser.WriteHelp(os.Stderr)
		return exitUsage
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	if err := chosen.Run(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "rehearsal: %v\n", err)
		return exitFailed
	}
	return 0
}
