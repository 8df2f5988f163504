package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// heapBytes returns the live heap. Pools keep garbage over one collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return float64(statistics.HeapAlloc)
}

// BenchmarkProgramMemory is the memory of programs in progress, in all three
// processes of a group together: just created, then with one call running. Buffers of back-end connections are not in it.
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
	group.holding = true
	group.makeAll(programs)
	for end := group.now + benchmarkSettling; group.running() < count; {
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

// running counts the calls that have been sent to an engine and not ended.
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

// makeAll takes every program one step on, a few at a time.
func (group *benchmarkGroup) makeAll(programs []*benchmarkProgram) {
	for begin := 0; begin < len(programs); begin += benchmarkPrograms {
		for _, program := range programs[begin:min(begin+benchmarkPrograms, len(programs))] {
			program.next()
		}
		for range 8 {
			group.hop()
		}
	}
}

// BenchmarkIdleTick is the time of one tick of a process that hosts replicas of
// all shards and leads a part of them, with no calls.
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

// BenchmarkIdlePeers shows what three processes without calls say to one another
// in a second of virtual time: messages with their answers, and their bytes
// without HTTP, for each process.
func BenchmarkIdlePeers(b *testing.B) {
	const watched = 20 * time.Second
	for _, shards := range []uint32{4, 16, 32, 64} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			for range b.N {
				group := newBenchmarkGroup(3, shards)
				for end := group.now + watched; group.now < end; {
					group.hop()
				}
				group.messages, group.bytes = 0, 0
				for end := group.now + watched; group.now < end; {
					group.hop()
				}
				seconds := watched.Seconds() * float64(len(group.names))
				b.ReportMetric(float64(group.messages)/seconds, "messages/s")
				b.ReportMetric(float64(group.bytes)/seconds, "B/s")
			}
		})
	}
}
