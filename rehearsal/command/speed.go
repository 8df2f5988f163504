package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/internal/outside/httpadapter"
	"github.com/magpielug/magpielug/rehearsal/cluster"
	"github.com/magpielug/magpielug/rehearsal/speed"
)

// SpeedLayout holds the options of the cluster that Speed and Cost measure: one
// gateway and one scheduler per zone, and one engine at which calls don't queue.
type SpeedLayout struct {
	Port      int           `arg:"--port" default:"7700" help:"port of every machine; the platform's services take this one and the next two"`
	Directory string        `arg:"--directory" default:"out/speed" help:"where logs and settings files go"`
	Magpielug string        `arg:"--magpielug" help:"program to start; default is the one beside this program"`
	Shards    int           `arg:"--shards" default:"16" help:"number of shards"`
	Settle    time.Duration `arg:"--settle" default:"15s" help:"wait before the first measurement: leaders hand over to the preferred processes"`
}

// Speed measures the latency that gateway and scheduler add to a call's tokens.
type Speed struct {
	SpeedLayout
	InFlight []int         `arg:"--in-flight" help:"numbers of calls in flight; default 1 64 512"`
	Rounds   int           `arg:"--rounds" default:"3" help:"rounds of each way at each number"`
	Duration time.Duration `arg:"--duration" default:"5s" help:"duration of a round"`
	WarmUp   time.Duration `arg:"--warm-up" default:"1s" help:"first part of a round, which is not counted"`
	Seed     int64         `arg:"--seed" default:"1" help:"seed of the outputs' lengths"`
}

const (
	// speedRunningLimit is high enough that calls don't queue at the engine.
	speedRunningLimit = 1024
	// speedBlocks is enough cache for all calls in flight and the prefixes of earlier
	// calls.
	speedBlocks = 1 << 17
)

// Run prints the latencies as a Markdown table.
func (command *Speed) Run(ctx context.Context) error {
	started, kind, key, err := command.start(ctx)
	if err != nil {
		return err
	}
	defer started.Stop()
	adapters, err := httpadapter.NewClient(httpadapter.Config{})
	if err != nil {
		return err
	}
	defer adapters.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: speedRunningLimit}}
	inFlight := command.InFlight
	if len(inFlight) == 0 {
		inFlight = []int{1, 64, 512}
	}
	rounds := speed.Compare(ctx, speed.Config{
		Paths: []speed.CallPath{
			speed.Direct(adapters, started.Engines()[0], modelName),
			speed.Program(client, started.Gateways(), key, kind, modelName),
			speed.Chat(started.Gateways(), key, modelName),
		},
		InFlight:      inFlight,
		Rounds:        command.Rounds,
		RoundDuration: command.Duration,
		WarmUp:        command.WarmUp,
		Seed:          command.Seed,
		Client:        client,
		Engine:        started.Engines()[0],
		Progress:      printRound,
	})
	if err := ctx.Err(); err != nil {
		return eris.Wrap(err, "measure")
	}
	fmt.Print(speed.Table(rounds))
	return nil
}

// start starts the cluster and returns after the settle time, with a program kind
// and the API key of its tier.
func (command *SpeedLayout) start(ctx context.Context) (started *cluster.Cluster, kind, key string, err error) {
	layout := Layout{
		Deployment:        "namibia",
		Port:              command.Port,
		GatewaysPerZone:   1,
		SchedulersPerZone: 1,
		Engines:           1,
		Tools:             1,
		Shards:            command.Shards,
		Blocks:            speedBlocks,
		RunningLimit:      speedRunningLimit,
		LogLevel:          "info",
		Directory:         command.Directory,
		Magpielug:         command.Magpielug,
	}
	started, deployment, err := layout.start(ctx)
	if err != nil {
		return nil, "", "", err
	}
	select {
	case <-ctx.Done():
	case <-time.After(command.Settle):
	}
	first := deployment.Kinds[0]
	return started, first.Name, cluster.TierKey(first.Tier), nil
}

func printRound(round speed.Round) {
	fmt.Fprintf(os.Stderr, "%d in flight, %s: %d calls, first token p50 %s, inter-token mean %s", round.InFlight, round.Path,
		round.Calls, round.FirstToken.Median.Round(time.Microsecond), round.InterToken.Mean.Round(time.Microsecond))
	if round.Failed > 0 {
		fmt.Fprintf(os.Stderr, ", %d failed, first error: %s", round.Failed, round.FirstError)
	}
	fmt.Fprintln(os.Stderr)
}
