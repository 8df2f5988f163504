// Package command implements magpielug's command line: sub-commands, flags,
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
	// ExitOK means success.
	ExitOK = 0
	// ExitRefused means that the system refused a request or a process failed.
	ExitRefused = 1
	// ExitUsage means invalid flags, settings or input files.
	ExitUsage = 2
	// ExitUnavailable means that no gateway or node responded, or that the outcome
	// is unknown; the command may be retried.
	ExitUnavailable = 3
)

const programName = "magpielug"

// Runner runs a process until ctx is cancelled or a signal stops it.
type Runner func(ctx context.Context, version string, loaded settings.Settings) error

// Runners are the functions that run each kind of process.
type Runners struct {
	Gateway   Runner
	Scheduler Runner
	// Node runs a node with the settings of a file.
	Node func(ctx context.Context, version string, loaded settings.NodeSettings) error
	// PlatformNode runs a node with the settings that the platform provides.
	PlatformNode func(ctx context.Context, version string) error
}

// Streams are a command's standard streams.
type Streams struct {
	Input  io.Reader
	Output io.Writer
	Errors io.Writer
}

// Root is the top-level command.
type Root struct {
	Gateway       *ProcessCommand       `arg:"subcommand:gateway" help:"run a gateway: serves callers' and operators' requests"`
	Scheduler     *ProcessCommand       `arg:"subcommand:scheduler" help:"run a scheduler: hosts shards and decides the order, placement and time of calls"`
	Node          *NodeCommand          `arg:"subcommand:node" help:"run a node: serves callers' requests, owns shards of programs and sends calls to engines"`
	Operator      *OperatorCommand      `arg:"subcommand:operator" help:"configure and inspect the system through a gateway"`
	Load          *LoadCommand          `arg:"subcommand:load" help:"show a node's load status: engines, queues, admission, tenants"`
	CheckSettings *CheckSettingsCommand `arg:"subcommand:check-settings" help:"validate a settings file without starting a process"`

	version string
}

// Description returns the text at the top of --help.
func (*Root) Description() string {
	return "magpielug schedules the calls of agent programs onto model engines and tool services."
}

// Epilogue returns the text at the end of --help.
func (*Root) Epilogue() string {
	return "Exit codes: 0 success, 1 refused or failed, 2 invalid flags, settings or input, 3 unreachable or outcome unknown."
}

// Version returns the output of --version.
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
		return reportUsageError(parser, streams, err)
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
	return reportUsageError(parser, streams, errors.New("no command given"))
}

func reportUsageError(parser *arg.Parser, streams Streams, err error) int {
	_ = parser.WriteUsageForSubcommand(streams.Errors, parser.SubcommandNames()...)
	fmt.Fprintf(streams.Errors, "%s: %v\n", programName, err)
	return ExitUsage
}

// reportError writes err and returns its exit code.
func reportError(streams Streams, err error) int {
	fmt.Fprintf(streams.Errors, "%s: %v\n", programName, err)
	switch resultcode.CodeOf(err) {
	case resultcode.InvalidSettings, resultcode.AddressInUse:
		return ExitUsage
	}
	return ExitRefused
}
