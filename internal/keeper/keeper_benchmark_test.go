package keeper_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/keeper"
)

const (
	benchmarkEngines  = 16
	benchmarkSlots    = 16
	benchmarkWaiting  = 1000
	benchmarkPrograms = 4000
)

var benchmarkWeights = []uint32{8, 3, 1}

// loadedPool is a keeper whose slots are all taken, with calls waiting.
type loadedPool struct {
	keeper  *keeper.Keeper
	now     time.Duration
	next    int
	running []keeper.CallKey
	names   []string
}

func newLoadedPool(b *testing.B, order, placement string) *loadedPool {
	policies, err := keeper.PoliciesByName(order, placement, "", 0)
	if err != nil {
		b.Fatal(err)
	}
	pool := &loadedPool{keeper: keeper.New(keeper.Config{ReportTimeout: time.Hour}, policies)}
	for number := range benchmarkPrograms {
		pool.names = append(pool.names, fmt.Sprintf("program-%08d", number))
	}
	for number := range benchmarkEngines {
		pool.step(keeper.EngineReported{
			Engine: fmt.Sprintf("engine-%02d", number), Model: "m", Zone: "z1",
			RunningLimit: benchmarkSlots, BlocksTotal: 65536, BlockTokens: 16,
		})
	}
	for range benchmarkEngines*benchmarkSlots + benchmarkWaiting {
		pool.offer()
	}
	return pool
}

func (pool *loadedPool) step(event keeper.Event) {
	pool.now += time.Millisecond
	for _, effect := range pool.keeper.Step(pool.now, event) {
		if grant, ok := effect.(keeper.Grant); ok {
			pool.running = append(pool.running, grant.Request.Call)
		}
	}
}

// offer queues the next call, cycling through the programs.
func (pool *loadedPool) offer() {
	weight := benchmarkWeights[pool.next%len(benchmarkWeights)]
	program := pool.names[pool.next%len(pool.names)]
	turn := pool.next / len(pool.names)
	pool.step(keeper.CallQueued{Request: keeper.Request{
		Call:   keeper.CallKey{Program: program, RequestID: "request", Attempt: uint32(turn)},
		Leader: "s1", Shard: uint32(pool.next % 64), Tenant: "tenant", Tier: "tier", Weight: weight,
		Model: "m", Zone: "z1", PromptTokens: 2000 + turn*300%8000, MaxTokens: 500,
		AttainedService: float64(turn * 400),
	}})
	pool.next++
}

// finish ends the oldest grant.
func (pool *loadedPool) finish() {
	done := pool.running[0]
	pool.running = pool.running[1:]
	pool.step(keeper.CallFinished{Call: done, PromptTokens: 2000, CachedTokens: 1000, OutputTokens: 200})
}

// BenchmarkDecision measures one scheduling decision: a call finishes, its slot
// is granted to one of 1,000 waiting calls, and another call is queued.
func BenchmarkDecision(b *testing.B) {
	for _, order := range []string{"least-attained", "fcfs"} {
		for _, placement := range []string{"affinity-balanced", "round-robin"} {
			b.Run(order+"/"+placement, func(b *testing.B) {
				pool := newLoadedPool(b, order, placement)
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					pool.finish()
					pool.offer()
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
			})
		}
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc)
}

// BenchmarkMemory measures the heap size per waiting call, each of a different
// program, and per tracked program with a cached prefix and no call.
func BenchmarkMemory(b *testing.B) {
	b.Run("waiting-call", func(b *testing.B) {
		policies, _ := keeper.PoliciesByName("", "", "", 0)
		pool := &loadedPool{keeper: keeper.New(keeper.Config{MaxWaiting: b.N + 1, MaxPrograms: b.N + 1}, policies)}
		pool.names = programNamesFor(b.N)
		before := heapBytes()
		for range b.N {
			pool.now = 0
			pool.offer()
		}
		b.ReportMetric((heapBytes()-before)/float64(b.N), "B/call")
		runtime.KeepAlive(pool)
	})
	b.Run("tracked-program", func(b *testing.B) {
		policies, _ := keeper.PoliciesByName("", "", "", 0)
		pool := &loadedPool{keeper: keeper.New(keeper.Config{ReportTimeout: 1 << 60, MaxPrograms: b.N + 1}, policies)}
		pool.names = programNamesFor(b.N)
		pool.step(keeper.EngineReported{Engine: "e1", RunningLimit: 1, BlocksTotal: 1 << 40, BlockTokens: 16})
		before := heapBytes()
		for range b.N {
			pool.offer()
			pool.finish()
		}
		b.ReportMetric((heapBytes()-before)/float64(b.N), "B/program")
		runtime.KeepAlive(pool)
	})
}

func programNamesFor(count int) []string {
	names := make([]string, 0, count)
	for number := range count {
		names = append(names, fmt.Sprintf("program-%08d", number))
	}
	return names
}
