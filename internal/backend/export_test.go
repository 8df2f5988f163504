package backend

import (
	"time"

	"github.com/magpielug/magpielug/internal/load"
)

// OutcomeReport returns the node's load report, including request outcomes.
func (directory *Directory) OutcomeReport(now time.Time) load.Report {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	report := load.NewReport()
	for id, engine := range directory.engines {
		succeeded, failed := directory.localOutcomes(engine, now)
		report.Engines[id] = load.Engine{Running: engine.running, Succeeded: succeeded, Failed: failed}
	}
	return report
}
