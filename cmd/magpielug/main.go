// Command magpielug runs the gateway and scheduler processes and the operators'
// command line.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/magpielug/magpielug/internal/process"
	"github.com/magpielug/magpielug/internal/settings"
)

type roleArguments struct {
	Settings string `arg:"--settings,required"`
}

type arguments struct {
	Gateway   *roleArguments `arg:"subcommand:gateway"`
	Scheduler *roleArguments `arg:"subcommand:scheduler"`
}

func main() {
	var given arguments
	arg.MustParse(&given)
	var err error
	switch {
	case given.Gateway != nil:
		err = start(given.Gateway, process.RunGateway)
	case given.Scheduler != nil:
		err = start(given.Scheduler, process.RunScheduler)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "magpielug:", err)
		os.Exit(2)
	}
}

func start(role *roleArguments, run func(context.Context, string, settings.Settings) error) error {
	loaded, err := settings.Load(role.Settings, nil)
	if err != nil {
		return err
	}
	return run(context.Background(), "development", loaded)
}
