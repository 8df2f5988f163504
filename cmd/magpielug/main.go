// Command magpielug runs a node, gateway or scheduler process, and provides the
// operators' command line.
package main

import (
	"os"

	"github.com/magpielug/magpielug/internal/command"
	"github.com/magpielug/magpielug/internal/process"
	"github.com/magpielug/magpielug/platform"
)

// version is set at link time in release builds.
var version = "development"

func main() {
	os.Exit(command.Main(version, command.Runners{
		Gateway:      process.RunGateway,
		Scheduler:    process.RunScheduler,
		Node:         platform.RunWithSettings,
		PlatformNode: platform.Run,
	}))
}
