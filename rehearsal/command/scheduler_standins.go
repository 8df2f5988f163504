package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/httpadapter"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
	"github.com/magpielug/magpielug/rehearsal/standin/engine"
	"github.com/magpielug/magpielug/rehearsal/standin/logservice"
	"github.com/magpielug/magpielug/rehearsal/standin/machines"
	"github.com/magpielug/magpielug/rehearsal/standin/tool"
	"github.com/magpielug/magpielug/rehearsal/standin/weights"
)

const (
	maxBodyBytes = 16 << 20
	// maxInFlight limits a stand-in's connections and its concurrent requests.
	maxInFlight = 16384
	// drainTimeout bounds the wait for in-flight requests on shutdown.
	drainTimeout = 10 * time.Second
)

// PoolEngine runs a stand-in model engine for the schedulers' engine pools.
type PoolEngine struct {
	Listen string `arg:"--listen,required" placeholder:"HOST:PORT" help:"address to listen on"`
	Registration
	Model          string        `arg:"--model" default:"default" help:"model served from the start"`
	Version        string        `arg:"--version" default:"1" help:"version of the model"`
	Adapters       []string      `arg:"--adapter,separate" help:"adapter loaded from the start (repeatable)"`
	Blocks         int           `arg:"--blocks" default:"8192" help:"cache blocks"`
	BlockTokens    int           `arg:"--block-tokens" default:"16" help:"tokens a cache block"`
	RunningLimit   int           `arg:"--running-limit" default:"64" help:"requests in one batch"`
	StepBase       time.Duration `arg:"--step" default:"3ms" help:"duration of an empty step"`
	ReportLag      time.Duration `arg:"--report-lag" default:"100ms" help:"age of a load report"`
	EventDelay     time.Duration `arg:"--event-delay" default:"200ms" help:"delay of cache events"`
	EventLoss      float64       `arg:"--event-loss" default:"0.05" help:"share of cache events that are lost"`
	Seed           uint64        `arg:"--seed" default:"1" help:"seed of the lost events"`
	WeightsAddress string        `arg:"--weights" placeholder:"HOST:PORT" help:"weight store; none grants every load"`
	LoadDuration   time.Duration `arg:"--load-duration" default:"500ms" help:"time to move weights"`
}

// Run serves until ctx is done.
func (command *PoolEngine) Run(ctx context.Context) error {
	config, err := command.config()
	if err != nil {
		return err
	}
	standIn := engine.New(config)
	defer standIn.Close()
	command.role = outside.RoleEngine
	command.service = command.Model
	return serveStandIn(ctx, command.Listen, standIn.Handler(), &command.Registration)
}

func (command *PoolEngine) config() (engine.Config, error) {
	batching := enginemodel.DefaultConfig()
	batching.Blocks = command.Blocks
	batching.BlockTokens = command.BlockTokens
	batching.RunningLimit = command.RunningLimit
	batching.StepBase = command.StepBase
	config := engine.Config{
		Name:         command.ID,
		Model:        command.Model,
		Version:      command.Version,
		Adapters:     command.Adapters,
		Role:         engine.RoleMixed,
		Batching:     batching,
		ReportLag:    command.ReportLag,
		EventDelay:   command.EventDelay,
		EventLoss:    command.EventLoss,
		EventSeed:    command.Seed,
		LoadDuration: command.LoadDuration,
	}
	if err := batching.Validate(); err != nil {
		return config, err
	}
	if command.WeightsAddress == "" {
		return config, nil
	}
	client, err := httpadapter.NewClient(httpadapter.Config{})
	if err != nil {
		return config, err
	}
	config.Weights = httpadapter.NewWeights(client, command.WeightsAddress)
	return config, nil
}

// StandInLog runs a stand-in log service.
type StandInLog struct {
	Listen   string `arg:"--listen,required" placeholder:"HOST:PORT" help:"address to listen on"`
	MaxBytes int    `arg:"--max-bytes" default:"1073741824" help:"bound on all records together"`
}

// Run serves until ctx is done.
func (command *StandInLog) Run(ctx context.Context) error {
	standIn := logservice.New(logservice.Config{MaxBytes: command.MaxBytes})
	return serveStandIn(ctx, command.Listen, standIn.Handler(), nil)
}

// StandInMachines runs a stand-in machine list.
type StandInMachines struct {
	Listen string        `arg:"--listen,required" placeholder:"HOST:PORT" help:"address to listen on"`
	Lag    time.Duration `arg:"--lag" default:"1s" help:"how late a change shows"`
}

// Run serves until ctx is done.
func (command *StandInMachines) Run(ctx context.Context) error {
	standIn := machines.New(machines.Config{Lag: command.Lag})
	return serveStandIn(ctx, command.Listen, standIn.Handler(), nil)
}

// StandInWeights runs a stand-in weight store.
type StandInWeights struct {
	Listen    string  `arg:"--listen,required" placeholder:"HOST:PORT" help:"address to listen on"`
	PerSecond float64 `arg:"--per-second" default:"1" help:"moves granted a second"`
	Burst     int     `arg:"--burst" default:"2" help:"moves granted at once"`
}

// Run serves until ctx is done.
func (command *StandInWeights) Run(ctx context.Context) error {
	standIn := weights.New(weights.Config{PerSecond: command.PerSecond, Burst: command.Burst})
	return serveStandIn(ctx, command.Listen, standIn.Handler(), nil)
}

// PoolTool runs a stand-in tool or application service for schedulers.
type PoolTool struct {
	Listen string `arg:"--listen,required" placeholder:"HOST:PORT" help:"address to listen on"`
	Registration
	Service string        `arg:"--service" help:"service served; none serves every name"`
	Delay   time.Duration `arg:"--delay" default:"0s" help:"least duration of a call"`
}

// Run serves until ctx is done.
func (command *PoolTool) Run(ctx context.Context) error {
	standIn := tool.New(tool.Config{Service: command.Service, Delay: command.Delay})
	command.role = outside.RoleTool
	command.service = command.Service
	return serveStandIn(ctx, command.Listen, standIn.Handler(), &command.Registration)
}

// serveStandIn serves until ctx is done, then drains in-flight requests. With a
// registration, the machine list shows the stand-in as live, as leaving while it
// drains, and no longer afterwards. It returns an error if requests were still in
// flight after drainTimeout.
func serveStandIn(ctx context.Context, listen string, handler http.Handler, entry *Registration) error {
	server, err := httpserver.Start(listen, handler, httpserver.Limits{
		MaxConnections: maxInFlight,
		MaxInFlight:    maxInFlight,
		MaxBodyBytes:   maxBodyBytes,
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "event=listening address=%s\n", server.Address())
	if entry != nil {
		go entry.register(ctx, entry.machineEntry(server.Address()))
	}
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	if entry != nil {
		entry.updateList(drain, machines.PathLeave)
		defer entry.updateList(drain, machines.PathRemove)
	}
	err = server.Shutdown(drain)
	if errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("requests still in flight after %s were aborted: %w", drainTimeout, err)
	}
	return err
}
