package backend

import (
	"time"

	"github.com/magpielug/magpielug/internal/reach"
)

// noteZone tells what a request's end says of the engine's zone.
func (directory *Directory) noteZone(engine *Engine, outcome Outcome, now time.Time) {
	if directory.zones == nil {
		return
	}
	switch outcome {
	case Answered, Full, Misdirected:
		directory.zones.Heard(engine.Zone, now)
	case Failed, Unreachable, Silent:
		directory.zones.Failed(engine.Zone, now)
	case Abandoned:
	}
}

// reachable admits engines of zones that are reached. Each node finds out for itself that an
// engine behind a cut is silent, a second a connection; with a third of the engines there,
// that second is all the time that a request has.
type reachable struct{ zones *reach.Zones }

// Admits implements Filter.
func (filter reachable) Admits(engine *Engine, _ *Request, now time.Time) bool {
	return filter.zones == nil || filter.zones.Reached(engine.Zone, now)
}
