package backend_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/load"
)

// BenchmarkPickOfManyEngines chooses among the engines of one of seven models at the target size.
func BenchmarkPickOfManyEngines(b *testing.B) {
	const engines = 600 / 7
	now := time.Unix(1000, 0)
	view := load.NewView()
	directory := backend.NewDirectory()
	directory.SetLoadView(view)
	total := load.NewReport()
	for number := range engines {
		id := "engine-" + strconv.Itoa(number)
		directory.Upsert(backend.Instance{ID: id, Service: "s", Zone: "a", Slots: 90}, time.Time{})
		total.Engines[id] = load.Engine{Running: 60}
	}
	view.Update(total, load.NewReport(), 400*time.Millisecond, now)
	directory.UpdateLoad(nil, now)
	for b.Loop() {
		engine := directory.Pick(&backend.Request{Service: "s", Zone: "a"}, now)
		if engine == nil {
			b.Fatal("no engine has room")
		}
		directory.Finish(engine, backend.Abandoned, now)
	}
}
