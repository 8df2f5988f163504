// Command rehearsal holds the stand-ins of the platform, the load and the
// experiments. It is the test side of magpielug: it alone starts processes.
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

// arguments are the sub-commands.
type arguments struct {
	Run        *command.Run             `arg:"subcommand:run" help:"start everything, run a mixed set of programs, print the figures"`
	Fault      *command.Fault           `arg:"subcommand:fault" help:"run scenarios of faults and judge them"`
	Losses     *command.Losses          `arg:"subcommand:losses" help:"tell from the log lines of a run which programs were lost, when and why"`
	Up         *command.Up              `arg:"subcommand:up" help:"start everything and keep it serving"`
	Soak       *command.Soak            `arg:"subcommand:soak" help:"throw random faults at nodes run as processes, and judge what callers and engines saw"`
	Experiment *command.Experiment      `arg:"subcommand:experiment" help:"compare policies over the engine model"`
	Speed      *command.Speed           `arg:"subcommand:speed" help:"measure what gateway and scheduler add to a call"`
	Cost       *command.Cost            `arg:"subcommand:cost" help:"measure what schedulers and gateways use, idle and loaded"`
	Store      *command.Store           `arg:"subcommand:store" help:"run a stand-in of the nodes' store, with a configuration"`
	Engine     *command.Engine          `arg:"subcommand:engine" help:"run a stand-in model engine for nodes"`
	Tool       *command.Tool            `arg:"subcommand:tool" help:"run a stand-in tool service for nodes"`
	Log        *command.StandInLog      `arg:"subcommand:log" help:"run a stand-in log service for schedulers"`
	Machines   *command.StandInMachines `arg:"subcommand:machines" help:"run a stand-in machine list for schedulers"`
	Weights    *command.StandInWeights  `arg:"subcommand:weights" help:"run a stand-in weight store for schedulers"`
	PoolEngine *command.PoolEngine      `arg:"subcommand:pool-engine" help:"run a stand-in model engine for schedulers"`
	PoolTool   *command.PoolTool        `arg:"subcommand:pool-tool" help:"run a stand-in tool service for schedulers"`
}

// Description heads the help text.
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
