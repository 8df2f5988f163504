package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/rehearsal/cluster"
	"github.com/magpielug/magpielug/rehearsal/workload"
)

// Layout holds the options of a cluster of gateways and schedulers.
type Layout struct {
	Deployment        string `arg:"--deployment" default:"namibia" help:"namibia or cairo: zones, back ends, tiers and program kinds"`
	Port              int    `arg:"--port" default:"7700" help:"port of every machine; the platform's services take this one and the next two"`
	GatewaysPerZone   int    `arg:"--gateways" default:"1" help:"gateways in each zone"`
	SchedulersPerZone int    `arg:"--schedulers" default:"1" help:"schedulers in each zone"`
	Engines           int    `arg:"--engines" help:"model engines; 0 takes the deployment's number"`
	Tools             int    `arg:"--tools" help:"tool back ends; 0 takes the deployment's number"`
	Shards            int    `arg:"--shards" default:"16" help:"number of shards"`
	Blocks            int    `arg:"--blocks" default:"8192" help:"cache blocks of an engine, 16 tokens each"`
	RunningLimit      int    `arg:"--running-limit" default:"32" help:"requests in one batch of an engine"`
	LogLevel          string `arg:"--log-level" default:"info" help:"least level of events logged"`
	Directory         string `arg:"--directory" default:"out/rehearsal" help:"where logs and settings files go"`
	Magpielug         string `arg:"--magpielug" help:"program to start; default is the one beside this program"`
}

// Names of the model and the tool service that the cluster's engines and tools serve.
const (
	modelName = "small"
	toolName  = "records"
)

func (layout *Layout) plan() (cluster.Plan, workload.Deployment, error) {
	deployment, err := workload.DeploymentByName(layout.Deployment)
	if err != nil {
		return cluster.Plan{}, deployment, err
	}
	plan := cluster.Plan{
		Zones:             len(deployment.Zones),
		GatewaysPerZone:   layout.GatewaysPerZone,
		SchedulersPerZone: layout.SchedulersPerZone,
		Engines:           positiveOrDefault(layout.Engines, deployment.ModelEngines),
		Tools:             positiveOrDefault(layout.Tools, deployment.ApplicationBackEnds),
		Model:             modelName,
		Tool:              toolName,
		Port:              layout.Port,
		Shards:            layout.Shards,
		Blocks:            layout.Blocks,
		RunningLimit:      layout.RunningLimit,
		LogLevel:          layout.LogLevel,
		Deployment:        deployment.Name,
	}
	return plan, deployment, nil
}

func positiveOrDefault(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

func (layout *Layout) binaries() (cluster.Binaries, error) {
	self, err := os.Executable()
	if err != nil {
		return cluster.Binaries{}, eris.Wrap(err, "locate the rehearsal executable")
	}
	magpielug := layout.Magpielug
	if magpielug == "" {
		magpielug = filepath.Join(filepath.Dir(self), "magpielug")
	}
	return cluster.Binaries{Magpielug: magpielug, Rehearsal: self}, nil
}

// start starts the layout's processes and waits until they are ready.
func (layout *Layout) start(ctx context.Context) (*cluster.Cluster, workload.Deployment, error) {
	plan, deployment, err := layout.plan()
	if err != nil {
		return nil, deployment, err
	}
	binaries, err := layout.binaries()
	if err != nil {
		return nil, deployment, err
	}
	fmt.Fprintf(os.Stderr, "starting %d processes, logs in %s\n", len(plan.Machines())+3, layout.Directory)
	started, err := cluster.Start(ctx, plan, binaries, layout.Directory)
	return started, deployment, err
}
