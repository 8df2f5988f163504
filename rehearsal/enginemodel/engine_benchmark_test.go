package enginemodel

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkStep measures the throughput of decoding with full batches.
func BenchmarkStep(b *testing.B) {
	for _, running := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprint(running, "_running"), func(b *testing.B) {
			config := DefaultConfig()
			config.RunningLimit = running
			engine := New(config)
			var now time.Duration
			submitted, tokens := 0, 0
			submit := func() {
				submitted++
				request := Request{ID: fmt.Sprint(submitted), Program: fmt.Sprint(submitted % 100), PromptTokens: 200, OutputTokens: 200}
				request.Prefix = ExtendPrefix(nil, uint64(submitted), request.PromptTokens, config.BlockTokens)
				if err := engine.Submit(now, request); err != nil {
					b.Fatal(err)
				}
			}
			for range running {
				submit()
			}
			b.ReportAllocs()
			for b.Loop() {
				now, _ = engine.NextStep(now)
				for _, output := range engine.Step(now) {
					tokens += output.Tokens
					if output.Finished {
						submit()
					}
				}
			}
			b.ReportMetric(float64(tokens)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}
