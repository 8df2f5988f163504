package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/rehearsal/caller"
	"github.com/magpielug/magpielug/rehearsal/cluster"
	"github.com/magpielug/magpielug/rehearsal/speed"
)

// Cost measures the CPU, I/O and memory use of schedulers and gateways when idle,
// under a constant call rate, and with programs in progress.
type Cost struct {
	SpeedLayout
	Rates    []float64     `arg:"--rate" help:"calls a second; default 50 200"`
	Duration time.Duration `arg:"--duration" default:"10s" help:"duration of each measurement"`
	Programs int           `arg:"--programs" default:"4000" help:"programs to create for the memory of programs in progress"`
}

// rampUp is how long a load runs before the measurement starts.
const rampUp = 2 * time.Second

// Run prints the measurements as a Markdown table.
func (command *Cost) Run(ctx context.Context) error {
	started, kind, key, err := command.start(ctx)
	if err != nil {
		return err
	}
	defer started.Stop()
	idle, err := speed.MeasureCosts(ctx, started, command.Duration)
	if err != nil {
		return err
	}
	fmt.Print(speed.CostHeader)
	speed.WriteCosts(os.Stdout, fmt.Sprintf("idle, %d shards", command.Shards), idle, nil, 0)
	rates := command.Rates
	if len(rates) == 0 {
		rates = []float64{50, 200}
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: speedRunningLimit}}
	for _, rate := range rates {
		if err := command.measureUnderLoad(ctx, started, client, key, rate, idle); err != nil {
			return err
		}
	}
	return command.measureMemory(ctx, started, caller.New(client, key), kind)
}

// measureUnderLoad measures at a constant call rate; idle is the use without calls.
func (command *Cost) measureUnderLoad(ctx context.Context, started *cluster.Cluster, client *http.Client, key string, rate float64, idle []speed.Cost) error {
	load := &speed.Load{Path: speed.Chat(started.Gateways(), key, modelName), Client: client, CallsPerSecond: rate}
	running, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		load.Run(running)
	}()
	defer func() {
		stop()
		<-ended
	}()
	time.Sleep(rampUp)
	before, _ := load.Counts()
	costs, err := speed.MeasureCosts(ctx, started, command.Duration)
	if err != nil {
		return err
	}
	after, failed := load.Counts()
	if failed > 0 {
		fmt.Fprintf(os.Stderr, "%d calls failed\n", failed)
	}
	callRate := float64(after-before) / command.Duration.Seconds()
	speed.WriteCosts(os.Stdout, fmt.Sprintf("%.0f calls/s", callRate), costs, idle, callRate)
	return nil
}

// measureMemory measures with idle programs in progress.
func (command *Cost) measureMemory(ctx context.Context, started *cluster.Cluster, client *caller.Caller, kind string) error {
	gateways := started.Gateways()
	for number := range command.Programs {
		if _, err := client.CreateProgram(ctx, gateways[number%len(gateways)], "", kind, ""); err != nil {
			return eris.Wrapf(err, "create program %d", number)
		}
	}
	costs, err := speed.MeasureCosts(ctx, started, command.Duration)
	if err != nil {
		return err
	}
	speed.WriteCosts(os.Stdout, fmt.Sprintf("idle, %d programs in progress", command.Programs), costs, nil, 0)
	return nil
}
