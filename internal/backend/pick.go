package backend

import (
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/region"
)

// Request is what a choice of an engine depends on.
type Request struct {
	Service string
	// Program, Session and Prompt, where set, name what requests share that find
	// their shared part in an engine's memory: a program's turns, those of one of
	// its lines, and prompts that begin alike.
	Program string
	Session string
	Prompt  string
	// Assigned, where set, is the engine that keeps the line of turns; it is
	// taken where all filters admit it.
	Assigned string
	// Zone is the asker's.
	Zone string
	// Zones are those in which the request may be served.
	Zones region.ZoneSet
	// Tried holds the ids of engines that were asked already.
	Tried []string
	// Repeatable is true where the request may run more than once.
	Repeatable bool
}

// Filter tells whether an engine may get a request.
type Filter interface {
	Admits(engine *Engine, request *Request, now time.Time) bool
}

// untried admits engines that were not asked already.
type untried struct{}

func (untried) Admits(engine *Engine, request *Request, _ time.Time) bool {
	for _, id := range request.Tried {
		if id == engine.ID {
			return false
		}
	}
	return true
}

// sound admits engines that are not passed over for what was seen of them.
type sound struct{ heedDoubt bool }

func (filter sound) Admits(engine *Engine, _ *Request, now time.Time) bool {
	return !engine.unfit(now) && !(filter.heedDoubt && engine.doubted(now))
}

// roomy admits engines below the node's bound of requests under way.
type roomy struct{}

func (roomy) Admits(engine *Engine, _ *Request, now time.Time) bool {
	return engine.limit.admits(engine.running, now)
}

// Pick chooses an engine and counts the request there, or returns nil. Filters
// are given up one after another where nothing is left: an engine that is
// passed over is better than none, one asked already, without room or with an open breaker
// is not.
func (directory *Directory) Pick(request *Request, now time.Time) *Engine {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	candidates := directory.reached(inZones(directory.closedEngines(request.Service, now), request.Zones), request, now)
	if probed := directory.dueProbe(request, now); probed != nil {
		return probed.taken(now)
	}
	directory.estimateOthers(request.Service, candidates, now)
	for _, filters := range directory.filterSets(request.Service, candidates, now) {
		admitted := admit(candidates, filters, request, now)
		if len(admitted) > 0 {
			return directory.choose(admitted, request, now).taken(now)
		}
	}
	return nil
}

// filterSets returns the filters for a request to a service, those to be used first in front.
func (directory *Directory) filterSets(service string, candidates []*Engine, now time.Time) [][]Filter {
	noticed := sound{heedDoubt: heedsDoubt(candidates, now)}
	warm := warmEnough{directory: directory}
	if !feature.Enabled(feature.LoadBasedCapacity) {
		return [][]Filter{{untried{}, warm, noticed, roomy{}}, {untried{}, warm, roomy{}}}
	}
	room := hasRoom{
		left:  directory.leftHere(service, candidates, now),
		share: directory.queueShareOf(service, candidates),
	}
	sets := [][]Filter{{untried{}, notFull{}, warm, noticed, roomy{}, room}, {untried{}, notFull{}, warm, roomy{}, room}}
	if runningHere(candidates) == 0 {
		// A view that is wrong does not stop a node: all nodes together thereby add some one
		// request an engine.
		sets = append(sets, []Filter{untried{}, notFull{}, warm, noticed, roomy{}})
	}
	return sets
}

// choose takes the assigned engine where it is admitted, for the prompt of the line lies in
// its memory, or else what the policy takes.
func (directory *Directory) choose(admitted []*Engine, request *Request, now time.Time) *Engine {
	if assigned := byID(admitted, request.Assigned); assigned != nil {
		return assigned
	}
	return directory.policy.Choose(admitted, request, now)
}

// byID returns the engine of an id, nil where it is not admitted.
func byID(admitted []*Engine, id string) *Engine {
	for _, candidate := range admitted {
		if candidate.ID == id {
			return candidate
		}
	}
	return nil
}

func admit(candidates []*Engine, filters []Filter, request *Request, now time.Time) []*Engine {
	admitted := make([]*Engine, 0, len(candidates))
	for _, candidate := range candidates {
		if admits(filters, candidate, request, now) {
			admitted = append(admitted, candidate)
		}
	}
	return admitted
}

func admits(filters []Filter, candidate *Engine, request *Request, now time.Time) bool {
	for _, filter := range filters {
		if !filter.Admits(candidate, request, now) {
			return false
		}
	}
	return true
}
