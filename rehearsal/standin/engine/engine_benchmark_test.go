package engine

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/platform"
	"github.com/magpielug/magpielug/internal/platform/httpadapter"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
)

// BenchmarkStreams measures events a second from the engine over HTTP to the
// adapter, both in this process. At 3 ms the steps bound it; at 1 µs the HTTP
// path does.
func BenchmarkStreams(b *testing.B) {
	for _, step := range []time.Duration{3 * time.Millisecond, time.Microsecond} {
		for _, streams := range []int{1, 64, 256} {
			b.Run(fmt.Sprintf("step_%s/%d_streams", step, streams), func(b *testing.B) {
				benchmarkStreams(b, step, streams)
			})
		}
	}
}

func benchmarkStreams(b *testing.B, step time.Duration, streams int) {
	const tokens = 200
	batching := enginemodel.DefaultConfig()
	batching.RunningLimit = streams
	batching.StepBase = step
	batching.StepPerSequence = 0
	standIn := New(Config{Model: testModel, Batching: batching})
	defer standIn.Close()
	server, err := httpserver.Start("127.0.0.1:0", standIn.Handler(), httpserver.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	pool, err := httpadapter.NewClient(httpadapter.Config{})
	if err != nil {
		b.Fatal(err)
	}
	client := httpadapter.NewEngine(pool)
	rounds := 0
	for b.Loop() {
		rounds++
		var group sync.WaitGroup
		for stream := range streams {
			group.Go(func() {
				asked := request(fmt.Sprintf("%d-%d", rounds, stream), strings.Repeat("word", 50)+fmt.Sprintf("[[tokens=%d]]", tokens))
				err := client.Generate(context.Background(), server.Address(), asked, func(platform.EngineChunk) error { return nil })
				if err != nil {
					b.Error(err)
				}
			})
		}
		group.Wait()
	}
	elapsed := b.Elapsed().Seconds()
	b.ReportMetric(float64(rounds*streams*(tokens+1))/elapsed, "events/s")
	b.ReportMetric(float64(standIn.Stats().Steps)/elapsed, "steps/s")
	pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		b.Fatal(err)
	}
}
