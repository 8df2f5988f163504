// Package command is the command line of magpielug: its sub-commands, flags,
// output and exit codes.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/settings"
)

// Exit codes.
const (
	// ExitOK says that the command did what it was asked.
	ExitOK = 0
	// ExitRefused says that the system refused, or that a process failed.
	ExitRefused = 1
	// ExitUsage says that flags, settings or an input file are wrong.
	ExitUsage = 2
	// ExitUnavailable says that no gateway answered or the outcome is not
	// known; the same command may be tried again.
	ExitUnavailable = 3
)

const programName = "magpielug"

// Runner runs a process until it is told to stop.
type Runner func(ctx context.Context, version string, loaded settings.Settings) error

// Runners are the processes that the command line starts.
type Runners struct {
	Gateway   Runner
	Scheduler Runner
	// Node runs a node with a settings file of the product's own.
	Node func(ctx context.Context, version string, loaded settings.NodeSettings) error
	// PlatformNode runs a node with the settings that the platform hands over.
	PlatformNode func(ctx context.Context, version string) error
}

// Streams are where a command reads and writes.
type Streams struct {
	Input  io.Reader
	Output io.Writer
	Errors io.Writer
}

// Root holds the whole command line.
type Root struct {
	Gateway       *ProcessCommand       `arg:"subcommand:gateway" help:"run a gateway: takes callers' and operators' requests"`
	Scheduler     *ProcessCommand       `arg:"subcommand:scheduler" help:"run a scheduler: hosts shards and decides order, place and time"`
	Node          *NodeCommand          `arg:"subcommand:node" help:"run a node: takes callers' requests, owns shards of programs, sends to engines"`
	Operator      *OperatorCommand      `arg:"subcommand:operator" help:"configure and watch the system through a gateway"`
	Load          *LoadCommand          `arg:"subcommand:load" help:"show the load as a node knows it: engines, waiting, admission, tenants"`
	CheckSettings *CheckSettingsCommand `arg:"subcommand:check-settings" help:"check a settings file without starting anything"`

	version string
}

// Description is shown at the top of --help.
func (*Root) Description() string {
	return "magpielug schedules the calls of agent programs onto model engines and tool services."
}

// Epilogue is shown at the end of --help.
func (*Root) Epilogue() string {
	return "Exit codes: 0 done, 1 refused or failed, 2 wrong flags, settings or input, 3 not reached or outcome unknown."
}

// Version is shown by --version.
func (root *Root) Version() string { return programName + " " + root.version }

// Main runs the command line of the process and returns its exit code.
func Main(version string, runners Runners) int {
	streams := Streams{Input: os.Stdin, Output: os.Stdout, Errors: os.Stderr}
	return Run(context.Background(), os.Args[1:], streams, version, runners)
}

// Run runs one command line and returns its exit code.
func Run(ctx context.Context, arguments []string, streams Streams, version string, runners Runners) int {
	root := &Root{version: version}
	parser, err := arg.NewParser(arg.Config{Program: programName}, root)
	if err != nil {
		fmt.Fprintln(streams.Errors, err)
		return ExitUsage
	}
	err = parser.Parse(arguments)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(streams.Output, parser.SubcommandNames()...)
		return ExitOK
	case errors.Is(err, arg.ErrVersion):
		fmt.Fprintln(streams.Output, root.Version())
		return ExitOK
	case err != nil:
		return usageFailure(parser, streams, err)
	}
	return root.dispatch(ctx, parser, streams, runners)
}

func (root *Root) dispatch(ctx context.Context, parser *arg.Parser, streams Streams, runners Runners) int {
	switch {
	case root.Gateway != nil:
		return root.Gateway.run(ctx, streams, settings.RoleGateway, root.version, runners.Gateway)
	case root.Scheduler != nil:
		return root.Scheduler.run(ctx, streams, settings.RoleScheduler, root.version, runners.Scheduler)
	case root.Node != nil:
		return root.Node.run(ctx, streams, root.version, runners)
	case root.Load != nil:
		return root.Load.run(ctx, streams)
	case root.CheckSettings != nil:
		return root.CheckSettings.run(streams)
	case root.Operator != nil && parser.Subcommand() != root.Operator:
		return root.Operator.run(ctx, streams)
	}
	return usageFailure(parser, streams, errors.New("a command is missing"))
}

func usageFailure(parser *arg.Parser, streams Streams, err error) int {
	_ = parser.WriteUsageForSubcommand(streams.Errors, parser.SubcommandNames()...)
	fmt.Fprintf(streams.Errors, "%s: %v\n", programName, err)
	return ExitUsage
}

// report writes err as one line and returns the exit code it stands for.
func report(streams Streams, err error) int {
	fmt.Fprintf(streams.Errors, "%s: %v\n", programName, err)
	switch resultcode.CodeOf(err) {
	case resultcode.InvalidSettings, resultcode.AddressInUse:
		return ExitUsage
	}
	return ExitRefused
}
