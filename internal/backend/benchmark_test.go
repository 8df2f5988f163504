package backend_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/load"
)

// BenchmarkPickManyEngines picks among 85 engines of one service, whose load is known from a
// view.
func BenchmarkPickManyEngines(b *testing.B) {
	const engines = 600 / 7
	now := time.Unix(1000, 0)
	view := load.NewView()
	directory := backend.NewDirectory()
	directory.SetLoadView(view)
	report := load.NewReport()
	for number := range engines {
		id := "engine-" + strconv.Itoa(number)
		directory.Upsert(backend.Instance{ID: id, Service: "s", Zone: "a", Slots: 90}, time.Time{})
		report.Engines[id] = load.Engine{Running: 60}
	}
	view.Update(report, load.NewReport(), 400*time.Millisecond, now)
	directory.UpdateLoad(nil, now)
	for b.Loop() {
		engine := directory.Pick(&backend.Request{Service: "s", Zone: "a"}, now)
		if engine == nil {
			b.Fatal("no engine has free capacity")
		}
		directory.Finish(engine, backend.Abandoned, now)
	}
}
