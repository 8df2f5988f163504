package history_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/history"
)

// BenchmarkDroppedTurn measures the memory that the locations of dropped turns take, for the turns of
// one shard that a log of 300 s holds at the target size.
func BenchmarkDroppedTurn(b *testing.B) {
	const turns = 41_000
	// dropAll returns the memory in use once a store has dropped all of its turns.
	dropAll := func(located bool) uint64 {
		store := history.NewStore(256 << 20)
		ended := time.Now()
		for number := range turns {
			dropped := &history.Turn{ID: fmt.Sprintf("%016x", number), Program: "p", EndedAt: ended}
			if located {
				store.AddRecorded(dropped, history.Location{Shard: 1, Offset: int64(number), Size: 2500})
			} else {
				store.Add(dropped)
			}
		}
		store.Expire(ended.Add(time.Hour))
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		runtime.KeepAlive(store)
		return memory.HeapAlloc
	}
	for b.Loop() {
		without := dropAll(false)
		b.ReportMetric((float64(dropAll(true))-float64(without))/turns, "B/turn")
	}
}
