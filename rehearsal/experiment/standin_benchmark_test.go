package experiment

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/httpadapter"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
	standin "github.com/magpielug/magpielug/rehearsal/standin/engine"
	"github.com/magpielug/magpielug/rehearsal/workload"
)

// Parameters of the request trace: requests at a fixed interval whose prompts
// have a shared prefix and a unique part. They occupy about two thirds of the
// engine's batch slots.
const (
	traceRequests          = 400
	traceInterval          = 20 * time.Millisecond
	sharedTokens           = 104
	uniqueTokens           = 200
	outputTokensPerRequest = 60
	tokenText              = "word"
)

func traceEngineConfig() enginemodel.Config {
	return enginemodel.Config{
		BlockTokens: 16, Blocks: 6144, RunningLimit: 16, PrefillTokensPerStep: 512,
		StepBase: 3 * time.Millisecond, StepPerSequence: 20 * time.Microsecond, StepPerPrefillToken: 20 * time.Microsecond,
	}
}

// BenchmarkModelAgainstStandIn replays one request trace on the engine model in
// virtual time and on the stand-in engine over HTTP in real time, and reports
// the latencies of both.
func BenchmarkModelAgainstStandIn(b *testing.B) {
	for b.Loop() {
		model, modelFirst := replayOnModel()
		overHTTP, overHTTPFirst := replayOnStandIn(b)
		for _, entry := range []struct {
			name      string
			histogram *hdrhistogram.Histogram
		}{
			{"model", model}, {"model-first", modelFirst}, {"standin", overHTTP}, {"standin-first", overHTTPFirst},
		} {
			summary := summarize(entry.histogram)
			b.ReportMetric(summary.Mean, entry.name+"-mean-ms")
			b.ReportMetric(summary.P95, entry.name+"-p95-ms")
		}
	}
}

// replayOnModel returns the end-to-end and first-token latencies of the trace on
// the engine model.
func replayOnModel() (total, first *hdrhistogram.Histogram) {
	total, first = newHistogram(), newHistogram()
	var clock virtualClock
	model := enginemodel.New(traceEngineConfig())
	sent := map[string]time.Duration{}
	stepScheduled := false
	var step func()
	scheduleStep := func() {
		if at, busy := model.NextStep(clock.now); busy && !stepScheduled {
			stepScheduled = true
			clock.at(at, step)
		}
	}
	step = func() {
		stepScheduled = false
		for _, output := range model.Step(clock.now) {
			if output.First {
				record(first, clock.now-sent[output.RequestID])
			}
			if output.Finished {
				record(total, clock.now-sent[output.RequestID])
			}
		}
		scheduleStep()
	}
	for index := range traceRequests {
		clock.at(time.Duration(index)*traceInterval, func() {
			request := modelRequest(index)
			sent[request.ID] = clock.now
			if err := model.Submit(clock.now, request); err != nil {
				panic(err)
			}
			scheduleStep()
		})
	}
	for clock.step() {
		continue
	}
	return total, first
}

func modelRequest(index int) enginemodel.Request {
	history := workload.NewHistory(traceEngineConfig().BlockTokens)
	history.Append(workload.Segment{Seed: 1, Tokens: sharedTokens})
	history.Append(workload.Segment{Seed: uint64(index) + 2, Tokens: uniqueTokens})
	name := fmt.Sprintf("request-%03d", index)
	return enginemodel.Request{
		ID: name, Program: name, Prefix: history.Blocks(),
		PromptTokens: history.Tokens(), OutputTokens: outputTokensPerRequest, OutputSeed: uint64(index),
	}
}

// replayOnStandIn returns the end-to-end and first-token latencies of the trace
// on the stand-in engine over HTTP.
func replayOnStandIn(b *testing.B) (total, first *hdrhistogram.Histogram) {
	total, first = newHistogram(), newHistogram()
	standIn := standin.New(standin.Config{Name: "played", Model: modelName, Batching: traceEngineConfig()})
	defer standIn.Close()
	server, err := httpserver.Start("127.0.0.1:0", standIn.Handler(), httpserver.Limits{})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = server.Shutdown(context.Background()) }()
	pool, err := httpadapter.NewClient(httpadapter.Config{})
	if err != nil {
		b.Fatal(err)
	}
	defer pool.Close()
	client := httpadapter.NewEngine(pool)
	var lock sync.Mutex
	var group sync.WaitGroup
	start := time.Now()
	for index := range traceRequests {
		time.Sleep(time.Until(start.Add(time.Duration(index) * traceInterval)))
		group.Go(func() {
			sent := time.Now()
			var firstAfter time.Duration
			err := client.Generate(context.Background(), server.Address(), standInRequest(index), func(outside.EngineChunk) error {
				if firstAfter == 0 {
					firstAfter = time.Since(sent)
				}
				return nil
			})
			if err != nil {
				b.Error(err)
				return
			}
			lock.Lock()
			defer lock.Unlock()
			record(total, time.Since(sent))
			record(first, firstAfter)
		})
	}
	group.Wait()
	return total, first
}

func standInRequest(index int) outside.GenerateRequest {
	name := fmt.Sprintf("request-%03d", index)
	marker := fmt.Sprintf("%s [[tokens=%d]]", name, outputTokensPerRequest)
	own := strings.Repeat(tokenText, uniqueTokens)[:uniqueTokens*len(tokenText)-len(marker)]
	return outside.GenerateRequest{
		RequestID: name, Program: name, Model: modelName,
		Prompt:    []string{strings.Repeat(tokenText, sharedTokens), name + own + marker[len(name):]},
		MaxTokens: outputTokensPerRequest,
	}
}
