// Package reach tells which zones a node reaches. A zone that is cut off says nothing: its
// nodes and engines time out one by one, each for itself, and a node within it goes on
// taking callers whom it can't serve. What is seen of any node or engine of a zone is
// therefore put together here, and probes confirm a suspicion within a second.
package reach

import (
	"slices"
	"sync"
	"time"
)

const (
	// unreachedAfter is how long nothing of a zone may have answered for it to count as
	// unreached. Callers give a stream up after two seconds without an event; half of that
	// is left for another try.
	unreachedAfter = 700 * time.Millisecond
	// leastUnanswered is how many probes in a row have to be unanswered as well: without
	// calls between them two zones hear nothing of each other for long.
	leastUnanswered = 2
	// suspectedAfter is how long after its last answer a suspected zone is probed.
	suspectedAfter = 300 * time.Millisecond
	// suspicion is how long a failed call makes its zone a suspect, and how long a zone counts
	// as unreached after the last probe of it: a zone without nodes is not probed any more,
	// and its engines would get no work for good.
	suspicion = 2 * time.Second
)

// zone is what was seen of one zone.
type zone struct {
	// heard is when a node or an engine there last answered, failed when one last did not.
	heard  time.Time
	failed time.Time
	// unanswered counts probes in a row.
	unanswered int
	// enginesAnswer is true where the engine there that was asked last has answered.
	enginesAnswer bool
}

func (zone *zone) unreached(now time.Time) bool {
	return zone.unanswered >= leastUnanswered && now.Sub(zone.heard) > unreachedAfter && now.Sub(zone.failed) <= suspicion
}

func (zone *zone) suspected(now time.Time) bool {
	return zone.failed.After(zone.heard) && now.Sub(zone.failed) <= suspicion
}

// Zones holds what was seen of the zones but the node's own. It is safe for concurrent use.
type Zones struct {
	mutex sync.Mutex
	own   string
	zones map[string]*zone
}

// NewZones returns the zones of a node that has seen nothing yet. All count as reached.
func NewZones(own string) *Zones { return &Zones{own: own, zones: map[string]*zone{}} }

// of returns a zone's state, nil for the own one. The caller holds the mutex.
func (zones *Zones) of(name string) *zone {
	if name == "" || name == zones.own {
		return nil
	}
	found := zones.zones[name]
	if found == nil {
		found = &zone{}
		zones.zones[name] = found
	}
	return found
}

// RecordNodeResponse notes an answer of a node.
func (zones *Zones) RecordNodeResponse(name string, now time.Time) {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	if found := zones.of(name); found != nil {
		found.heard = now
		found.unanswered = 0
	}
}

// RecordNodeFailure notes that a node did not answer.
func (zones *Zones) RecordNodeFailure(name string, now time.Time) {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	if found := zones.of(name); found != nil {
		found.failed = now
	}
}

// RecordEngineResponse notes an answer of an engine.
func (zones *Zones) RecordEngineResponse(name string, now time.Time) {
	zones.noteEngine(name, true, now)
}

// RecordEngineFailure notes that an engine did not answer.
func (zones *Zones) RecordEngineFailure(name string, now time.Time) {
	zones.noteEngine(name, false, now)
}

func (zones *Zones) noteEngine(name string, answers bool, now time.Time) {
	if answers {
		zones.RecordNodeResponse(name, now)
	} else {
		zones.RecordNodeFailure(name, now)
	}
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	if found := zones.of(name); found != nil {
		found.enginesAnswer = answers
	}
}

// EnginesRespond tells whether the engine of a zone that was asked last has answered.
func (zones *Zones) EnginesRespond(name string) bool {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	found := zones.zones[name]
	return found != nil && found.enginesAnswer
}

// RecordProbeTimeout notes that a probe sent at a time was not answered. It says nothing where the
// zone was heard since.
func (zones *Zones) RecordProbeTimeout(name string, sent, now time.Time) {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	if found := zones.of(name); found != nil && !found.heard.After(sent) {
		found.failed = now
		found.unanswered++
	}
}

// Reachable tells whether a zone is reached as far as is known.
func (zones *Zones) Reachable(name string, now time.Time) bool {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	found := zones.zones[name]
	return found == nil || !found.unreached(now)
}

// Isolated tells whether none of the other zones named is reached, false where there is none.
func (zones *Zones) Isolated(others []string, now time.Time) bool {
	return len(others) > 0 && !slices.ContainsFunc(others, func(name string) bool { return zones.Reachable(name, now) })
}

// ProbeTargets returns those of the zones named that are to be probed now. all has each probed that
// was not heard just now, whether calls there failed or not.
func (zones *Zones) ProbeTargets(others []string, all bool, now time.Time) []string {
	zones.mutex.Lock()
	defer zones.mutex.Unlock()
	var due []string
	for _, name := range others {
		found := zones.of(name)
		if found == nil || now.Sub(found.heard) <= suspectedAfter {
			continue
		}
		if all || found.unanswered > 0 || found.suspected(now) {
			due = append(due, name)
		}
	}
	return due
}
