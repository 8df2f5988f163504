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

// The schedule that is played to the model and to the stand-in engine: requests
// at a fixed interval, a shared beginning and a part of their own each. One
// engine is busy to about two thirds of its slots.
const (
	playedRequests  = 400
	playedInterval  = 20 * time.Millisecond
	sharedTokens    = 104
	ownTokens       = 200
	generatedTokens = 60
	tokenText       = "word"
)

func playedEngine() enginemodel.Config {
	return enginemodel.Config{
		BlockTokens: 16, Blocks: 6144, RunningLimit: 16, PrefillTokensPerStep: 512,
		StepBase: 3 * time.Millisecond, StepPerSequence: 20 * time.Microsecond, StepPerPrefillToken: 20 * time.Microsecond,
	}
}

// BenchmarkModelAgainstStandIn plays one schedule of requests to the engine
// model on the virtual clock and to the stand-in engine over HTTP in real time,
// and reports the latencies of both.
func BenchmarkModelAgainstStandIn(b *testing.B) {
	for b.Loop() {
		model, modelFirst := playModel()
		overHTTP, overHTTPFirst := playStandIn(b)
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

// playModel returns the latencies of whole requests and of first tokens.
func playModel() (whole, first *hdrhistogram.Histogram) {
	whole, first = newHistogram(), newHistogram()
	var line timeline
	model := enginemodel.New(playedEngine())
	sent := map[string]time.Duration{}
	awake := false
	var step func()
	wake := func() {
		if at, busy := model.NextStep(line.now); busy && !awake {
			awake = true
			line.at(at, step)
		}
	}
	step = func() {
		awake = false
		for _, output := range model.Step(line.now) {
			if output.First {
				record(first, line.now-sent[output.RequestID])
			}
			if output.Finished {
				record(whole, line.now-sent[output.RequestID])
			}
		}
		wake()
	}
	for index := range playedRequests {
		line.at(time.Duration(index)*playedInterval, func() {
			request := modelRequest(index)
			sent[request.ID] = line.now
			if err := model.Submit(line.now, request); err != nil {
				panic(err)
			}
			wake()
		})
	}
	for line.step() {
		continue
	}
	return whole, first
}

func modelRequest(index int) enginemodel.Request {
	history := workload.NewHistory(playedEngine().BlockTokens)
	history.Append(workload.Segment{Seed: 1, Tokens: sharedTokens})
	history.Append(workload.Segment{Seed: uint64(index) + 2, Tokens: ownTokens})
	name := fmt.Sprintf("request-%03d", index)
	return enginemodel.Request{
		ID: name, Program: name, Prefix: history.Blocks(),
		PromptTokens: history.Tokens(), OutputTokens: generatedTokens, OutputSeed: uint64(index),
	}
}

// playStandIn plays the same schedule over HTTP.
func playStandIn(b *testing.B) (whole, first *hdrhistogram.Histogram) {
	whole, first = newHistogram(), newHistogram()
	played := standin.New(standin.Config{Name: "played", Model: modelName, Batching: playedEngine()})
	defer played.Close()
	server, err := httpserver.Start("127.0.0.1:0", played.Handler(), httpserver.Limits{})
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
	began := time.Now()
	for index := range playedRequests {
		time.Sleep(time.Until(began.Add(time.Duration(index) * playedInterval)))
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
			record(whole, time.Since(sent))
			record(first, firstAfter)
		})
	}
	group.Wait()
	return whole, first
}

func standInRequest(index int) outside.GenerateRequest {
	name := fmt.Sprintf("request-%03d", index)
	marker := fmt.Sprintf("%s [[tokens=%d]]", name, generatedTokens)
	own := strings.Repeat(tokenText, ownTokens)[:ownTokens*len(tokenText)-len(marker)]
	return outside.GenerateRequest{
		RequestID: name, Program: name, Model: modelName,
		Prompt:    []string{strings.Repeat(tokenText, sharedTokens), name + own + marker[len(name):]},
		MaxTokens: generatedTokens,
	}
}
