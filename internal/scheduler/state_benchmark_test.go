package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// heapBytes returns the size of the live heap. Two collections are needed to empty sync.Pools.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc)
}

// BenchmarkProgramMemory measures the memory per live program in all three processes of a group
// together, after its creation and with one call running. Buffers of back-end connections are
// not included.
func BenchmarkProgramMemory(b *testing.B) {
	for _, count := range []int{2_000, 8_000} {
		b.Run(fmt.Sprintf("programs=%d", count), func(b *testing.B) {
			for range b.N {
				measureProgramMemory(b, count)
			}
		})
	}
}

func measureProgramMemory(b *testing.B, count int) {
	group := newBenchmarkGroup(3, 16)
	empty := heapBytes()
	programs := group.programs(count)
	group.makeAll(programs)
	created := heapBytes()
	group.holdRuns = true
	group.makeAll(programs)
	for end := group.now + benchmarkWarmup; group.running() < count; {
		if group.now > end {
			b.Fatalf("%d of %d calls run", group.running(), count)
		}
		group.hop()
	}
	running := heapBytes()
	b.ReportMetric((created-empty)/float64(count), "B/created")
	b.ReportMetric((running-empty)/float64(count), "B/running")
	runtime.KeepAlive(programs)
}

// running counts the calls that run at engines.
func (group *benchmarkGroup) running() int {
	count := 0
	for _, core := range group.cores {
		for _, host := range core.hosts {
			for _, live := range host.calls {
				if live.phase == phaseRunning {
					count++
				}
			}
		}
	}
	return count
}

// makeAll advances every program once, in groups of benchmarkPrograms.
func (group *benchmarkGroup) makeAll(programs []*benchmarkProgram) {
	for begin := 0; begin < len(programs); begin += benchmarkPrograms {
		for _, program := range programs[begin:min(begin+benchmarkPrograms, len(programs))] {
			program.advance()
		}
		for range 8 {
			group.hop()
		}
	}
}

// BenchmarkIdleTick measures one tick of an idle process that hosts replicas of all shards and
// leads some of them.
func BenchmarkIdleTick(b *testing.B) {
	for _, shards := range []uint32{4, 16, 64} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			group := newBenchmarkGroup(3, shards)
			core := group.cores[group.names[0]]
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				core.Step(group.now, Tick{})
			}
		})
	}
}

// BenchmarkIdlePeers measures the traffic between three idle processes: messages including
// replies, and bytes without HTTP overhead, per process and second of virtual time.
func BenchmarkIdlePeers(b *testing.B) {
	const duration = 20 * time.Second
	for _, shards := range []uint32{4, 16, 32, 64} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			for range b.N {
				group := newBenchmarkGroup(3, shards)
				for end := group.now + duration; group.now < end; {
					group.hop()
				}
				group.messages, group.bytes = 0, 0
				for end := group.now + duration; group.now < end; {
					group.hop()
				}
				seconds := duration.Seconds() * float64(len(group.names))
				b.ReportMetric(float64(group.messages)/seconds, "messages/s")
				b.ReportMetric(float64(group.bytes)/seconds, "B/s")
			}
		})
	}
}
