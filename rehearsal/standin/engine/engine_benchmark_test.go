package engine

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/httpadapter"
	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
	"github.com/magpielug/magpielug/rehearsal/standin/reply"
)

// BenchmarkStreams measures events per second from the engine over HTTP to the adapter in
// one process. At 3 ms the step duration is the bottleneck, at 1 µs the HTTP path.
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
				request := newRequest(fmt.Sprintf("%d-%d", rounds, stream), strings.Repeat("word", 50)+fmt.Sprintf("[[tokens=%d]]", tokens))
				err := client.Generate(context.Background(), server.Address(), request, func(outside.EngineChunk) error { return nil })
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

// BenchmarkReports measures one poll of a load report over HTTP to the adapter in one
// process: "whole" sends the full report, "changes" a delta of 2 % of the programs, and
// "unchanged" no body.
func BenchmarkReports(b *testing.B) {
	for _, programs := range []int{100, 1000} {
		for _, mode := range []string{"whole", "changes", "unchanged"} {
			b.Run(fmt.Sprintf("%d_programs/%s", programs, mode), func(b *testing.B) {
				benchmarkReports(b, programs, mode)
			})
		}
	}
}

func benchmarkReports(b *testing.B, programs int, mode string) {
	const changedPart = 50
	blocks := make(map[string]int, programs)
	for program := range programs {
		blocks[fmt.Sprintf("program-%020d", program)] = program + 1
	}
	changes := newCacheChanges()
	report := wire.LoadReport{ProgramBlocks: blocks, Sequence: changes.record(nil, blocks)}
	mux := http.NewServeMux()
	serve := func(request *http.Request) (wire.LoadReport, error) {
		after, err := reply.UintParameter(request, wire.ParameterAfter, 0)
		return changes.deltaSince(report, after), err
	}
	if mode == "whole" {
		report.Sequence = 0
		reply.HandleGet(mux, wire.PathReport, serve)
	} else {
		reply.HandleGetWithETag(mux, wire.PathReport, serve, withoutVolatileFields)
	}
	bodyBytes := 0
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		counted := httptest.NewRecorder()
		mux.ServeHTTP(counted, request)
		bodyBytes += counted.Body.Len()
		maps.Copy(writer.Header(), counted.Header())
		writer.WriteHeader(counted.Code)
		_, _ = writer.Write(counted.Body.Bytes())
	}))
	defer server.Close()
	pool, err := httpadapter.NewClient(httpadapter.Config{})
	if err != nil {
		b.Fatal(err)
	}
	client := httpadapter.NewEngine(pool)
	for b.Loop() {
		if mode != "unchanged" {
			next := maps.Clone(blocks)
			for program := range programs / changedPart {
				next[fmt.Sprintf("program-%020d", program)]++
			}
			sequence := changes.record(blocks, next)
			blocks = next
			report.ProgramBlocks = next
			if mode == "changes" {
				report.Sequence = sequence
			}
		}
		if _, err := client.Report(context.Background(), strings.TrimPrefix(server.URL, "http://")); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bodyBytes)/float64(b.N), "body-bytes/poll")
}
