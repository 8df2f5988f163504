package backend

import (
	"math"
	"time"
)

// ColdLimit bounds what the engines of a service bear while they are cold: how many
// requests a second, and how many more within one second, over all nodes.
type ColdLimit struct {
	PerSecond float64
	Burst     float64
}

const (
	// coldMargin is the part of a cold engine's limit that nodes use. Nodes that have not
	// heard of the same nodes yet count themselves among those that may send: with a fifth
	// left, four nodes too many out of seventeen still keep to the limit.
	coldMargin = 0.8
	// placeKept is how long a node's place among those that may send to a cold engine is
	// kept: engines are cold for some seconds, and nodes join and leave more seldom.
	placeKept = 500 * time.Millisecond
)

// coldShares divides what cold engines bear among the nodes, without a word between them.
type coldShares struct {
	// limit returns the limit of a service, zero where there is none.
	limit func(service string) ColdLimit
	// place returns this node's place in the order of an engine's senders and the number of
	// nodes, false where the nodes are not known yet.
	place func(engine string) (place, nodes int, known bool)
}

// SetColdLimits bounds the requests to cold engines. Of all nodes the first few in an
// engine's order send to it while it is cold, each its part: with a part for every node,
// 68 nodes that each send a single request within one second are beyond what an engine
// bears that takes 24 a second. It is called before anything else.
func (directory *Directory) SetColdLimits(limit func(service string) ColdLimit, place func(engine string) (place, nodes int, known bool)) {
	directory.cold = coldShares{limit: limit, place: place}
}

// allowance is what a node may send to a cold engine.
type allowance struct {
	// left is how many requests may be sent at once, as of at.
	left float64
	at   time.Time
	// part is this node's, as of partAt.
	part   coldPart
	partAt time.Time
}

// coldPart is one node's part of what a cold engine bears: a rate, requests a second, and
// how many may come at once. The zero value is nothing.
type coldPart struct {
	rate  float64
	burst float64
}

// partOf works out the part of the node at a place in an engine's order. The parts of all
// nodes add up to no more than the limit within any second.
func (limit ColdLimit) partOf(place, nodes int) coldPart {
	spare := math.Floor(coldMargin * limit.Burst)
	senders := min(max(int(spare), 1), max(nodes, 1))
	if place >= senders {
		return coldPart{}
	}
	return coldPart{
		rate:  coldMargin * limit.PerSecond / float64(senders),
		burst: max(math.Floor(spare/float64(senders)), 1),
	}
}

// isCold tells whether an engine is slow from its start.
func (engine *Engine) isCold(now time.Time) bool { return now.Before(engine.coldUntil) }

// warms tells whether this node may send one more request to an engine as far as its being
// cold goes. The caller holds the mutex.
func (directory *Directory) warms(engine *Engine, now time.Time) bool {
	if !engine.isCold(now) || directory.cold.limit == nil {
		return true
	}
	limit := directory.cold.limit(engine.Service)
	if limit.PerSecond <= 0 {
		return true
	}
	directory.refill(engine, limit, now)
	return engine.warming.left >= 1
}

// refill brings this node's allowance at a cold engine up to now.
func (directory *Directory) refill(engine *Engine, limit ColdLimit, now time.Time) {
	held := &engine.warming
	if now.Sub(held.partAt) > placeKept {
		held.partAt = now
		held.part = coldPart{}
		if place, nodes, known := directory.cold.place(engine.ID); known {
			held.part = limit.partOf(place, nodes)
		}
	}
	if held.at.IsZero() {
		held.left = held.part.burst
	}
	held.left = min(held.left+held.part.rate*max(now.Sub(held.at), 0).Seconds(), held.part.burst)
	held.at = now
}

// spendWarming counts a request that was sent to an engine while it is cold.
func (engine *Engine) spendWarming(now time.Time) {
	if engine.isCold(now) {
		engine.warming.left--
	}
}

// warmEnough admits engines that are not cold, and cold ones to which this node may send. It
// is never given up: a cold engine that gets more than it bears falls over.
type warmEnough struct{ directory *Directory }

// Admits implements Filter.
func (filter warmEnough) Admits(engine *Engine, _ *Request, now time.Time) bool {
	return filter.directory.warms(engine, now)
}
