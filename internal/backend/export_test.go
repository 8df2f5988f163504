package backend

import (
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

// EndsReport is what a node reports of how its requests ended.
func (directory *Directory) EndsReport(now time.Time) load.Report {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	report := load.NewReport()
	for id, engine := range directory.engines {
		answered, failed := directory.outcomes(engine, now)
		report.Engines[id] = load.Engine{Running: engine.running, Succeeded: answered, Failed: failed}
	}
	return report
}
