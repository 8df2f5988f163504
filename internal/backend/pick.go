package backend

import (
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/region"
)

// Request holds the properties of a request that determine the choice of its engine.
type Request struct {
	Service string
	// Program, Session and Prompt, if set, are affinity keys of requests that share a prefix in
	// an engine's prefix cache: the turns of a program, the turns of one of its sessions, and
	// prompts with the same beginning.
	Program string
	Session string
	Prompt  string
	// Assigned, if set, is the engine assigned to the session. It is chosen if all filters
	// admit it.
	Assigned string
	// Avoid holds the IDs of engines that are chosen only if all filters admit no other.
	Avoid []string
	// Zone is the zone of the requesting node.
	Zone string
	// Zones are the zones in which the request may be served; nil means all.
	Zones region.ZoneSet
	// Tried holds the IDs of engines that were already tried.
	Tried []string
	// Repeatable is true if the request may be executed more than once.
	Repeatable bool
	// Version, if not nil, is the software version that the engine must have: the request resumes a
	// stream that an engine of this version began.
	Version *string
}

// Filter reports whether an engine may get a request.
type Filter interface {
	Admits(engine *Engine, request *Request, now time.Time) bool
}

// untried admits engines that were not yet tried.
type untried struct{}

func (untried) Admits(engine *Engine, request *Request, _ time.Time) bool {
	for _, id := range request.Tried {
		if id == engine.ID {
			return false
		}
	}
	return true
}

// notAvoided admits engines that are neither backing off nor, if suspicion is honored,
// suspected.
type notAvoided struct{ honorSuspicion bool }

func (filter notAvoided) Admits(engine *Engine, _ *Request, now time.Time) bool {
	return !engine.backingOff(now) && !(filter.honorSuspicion && engine.suspected(now))
}

// withinLimit admits engines whose concurrency limit allows another request.
type withinLimit struct{}

func (withinLimit) Admits(engine *Engine, _ *Request, now time.Time) bool {
	return engine.limit.admits(engine.running, now)
}

// Pick chooses an engine and counts the request there, or returns nil. If no engine passes all
// filters, avoided engines are admitted as a last resort; engines that were tried, are full or
// have an open breaker are not.
func (directory *Directory) Pick(request *Request, now time.Time) *Engine {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	candidates := directory.candidates(request, now)
	if probe := directory.dueProbe(request, now); probe != nil {
		return probe.startRequest(now)
	}
	admitted := directory.admitted(candidates, request, now)
	if len(admitted) == 0 {
		return nil
	}
	return directory.choose(admitted, request, now).startRequest(now)
}

// candidates returns the engines of the request's service, version and zones, except those with an open
// breaker and those in unreachable zones. If a request requires a version of which all engines are
// draining, these are the candidates. The caller holds the mutex.
func (directory *Directory) candidates(request *Request, now time.Time) []*Engine {
	candidates := inZones(directory.enginesWithClosedBreaker(request.Service, now), request.Zones)
	candidates = ofVersion(candidates, request.Version)
	if len(candidates) == 0 && request.Version != nil {
		candidates = directory.drainingOfVersion(request, now)
	}
	return directory.inReachableZones(candidates, request, now)
}

// admitted returns the candidates that may get a request now. The caller holds the mutex.
func (directory *Directory) admitted(candidates []*Engine, request *Request, now time.Time) []*Engine {
	directory.estimateRemoteLoad(request.Service, candidates, now)
	for _, filters := range directory.filterSets(request, candidates, now) {
		admitted := admittedEngines(candidates, filters, request, now)
		if len(admitted) > 0 {
			return admitted
		}
	}
	return nil
}

// filterSets returns the sets of filters for a request, in the order in which they are applied until
// one admits an engine.
func (directory *Directory) filterSets(request *Request, candidates []*Engine, now time.Time) [][]Filter {
	service := request.Service
	healthy := notAvoided{honorSuspicion: honorsSuspicion(candidates, now)}
	coldLimit := coldLimitFilter{directory: directory}
	if !feature.Enabled(feature.LoadBasedCapacity) {
		return [][]Filter{{untried{}, coldLimit, healthy, withinLimit{}}, {untried{}, coldLimit, withinLimit{}}}
	}
	capacity := hasCapacity{
		quota:      directory.remainingQuota(service, candidates, now),
		queueShare: directory.queueShare(service, candidates),
	}
	sets := [][]Filter{{untried{}, notFull{}, coldLimit, healthy, withinLimit{}, capacity}, {untried{}, notFull{}, coldLimit, withinLimit{}, capacity}}
	if localRunning(candidates) == 0 || request.Version != nil {
		// An idle node may send a request even if the view shows no free capacity, as the view may be
		// wrong. Over all nodes this adds about one request per engine. A resumed stream has only the
		// engines of its version to choose from, and leaves it to them to refuse it.
		sets = append(sets, []Filter{untried{}, notFull{}, coldLimit, healthy, withinLimit{}})
	}
	return sets
}

// choose returns the assigned engine if it is admitted, since its prefix cache holds the
// session's prompt, or else the choice of the policy
// among those that are not to be avoided.
func (directory *Directory) choose(admitted []*Engine, request *Request, now time.Time) *Engine {
	if assigned := byID(admitted, request.Assigned); assigned != nil {
		return assigned
	}
	return directory.policy.Choose(preferred(admitted, request.Avoid), request, now)
}

// preferred returns the admitted engines that are not to be avoided, or all if there are no others.
func preferred(admitted []*Engine, avoid []string) []*Engine {
	if len(avoid) == 0 {
		return admitted
	}
	remaining := make([]*Engine, 0, len(admitted))
	for _, candidate := range admitted {
		if !slices.Contains(avoid, candidate.ID) {
			remaining = append(remaining, candidate)
		}
	}
	if len(remaining) == 0 {
		return admitted
	}
	return remaining
}

// byID returns the admitted engine with an ID, or nil.
func byID(admitted []*Engine, id string) *Engine {
	for _, candidate := range admitted {
		if candidate.ID == id {
			return candidate
		}
	}
	return nil
}

func admittedEngines(candidates []*Engine, filters []Filter, request *Request, now time.Time) []*Engine {
	admitted := make([]*Engine, 0, len(candidates))
	for _, candidate := range candidates {
		if passesAll(filters, candidate, request, now) {
			admitted = append(admitted, candidate)
		}
	}
	return admitted
}

func passesAll(filters []Filter, candidate *Engine, request *Request, now time.Time) bool {
	for _, filter := range filters {
		if !filter.Admits(candidate, request, now) {
			return false
		}
	}
	return true
}
