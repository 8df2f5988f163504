package backend

import (
	"math"
	"time"
)

// ColdLimit bounds the requests of all nodes to one cold engine of a service: a rate per
// second, and a burst on top of it within any second.
type ColdLimit struct {
	PerSecond float64
	Burst     float64
}

const (
	// coldLimitUsage is the share of a cold engine's limit that nodes use. The rest covers
	// nodes that do not know of each other yet and therefore count themselves among the
	// senders: a quarter more senders than intended stay within the limit.
	coldLimitUsage = 0.8
	// coldLimitRefresh is how long a node keeps its computed share of an engine's cold limit.
	// Nodes join and leave more rarely.
	coldLimitRefresh = 500 * time.Millisecond
)

// coldLimits divides the limits of cold engines among the nodes without coordination.
type coldLimits struct {
	// limit returns the limit of a service, zero if there is none.
	limit func(service string) ColdLimit
	// position returns this node's position in the order of an engine's senders and the number
	// of nodes, false if the nodes are not known yet.
	position func(engine string) (position, nodes int, known bool)
}

// SetColdLimits bounds the requests to cold engines. Only the first nodes in an engine's order
// send to it while it is cold, each with a share of the limit: with a share for every node, one
// request from each of many nodes would already exceed it. It must be called before any other
// method.
func (directory *Directory) SetColdLimits(limit func(service string) ColdLimit, position func(engine string) (position, nodes int, known bool)) {
	directory.cold = coldLimits{limit: limit, position: position}
}

// tokenBucket limits this node's requests to a cold engine.
type tokenBucket struct {
	// tokens is the number of requests that may be sent at once, as of updated.
	tokens  float64
	updated time.Time
	// limit is this node's share of the engine's limit, as of limitUpdated.
	limit        nodeColdLimit
	limitUpdated time.Time
}

// nodeColdLimit is one node's share of a cold engine's limit: requests per second, and the size
// of a burst. The zero value admits nothing.
type nodeColdLimit struct {
	rate  float64
	burst float64
}

// forNode returns the share of the node at a position in an engine's order of senders. The
// shares of all nodes add up to no more than the limit within any second.
func (limit ColdLimit) forNode(position, nodes int) nodeColdLimit {
	burst := math.Floor(coldLimitUsage * limit.Burst)
	senders := min(max(int(burst), 1), max(nodes, 1))
	if position >= senders {
		return nodeColdLimit{}
	}
	return nodeColdLimit{
		rate:  coldLimitUsage * limit.PerSecond / float64(senders),
		burst: max(math.Floor(burst/float64(senders)), 1),
	}
}

// isCold reports whether the engine is still warming up after its start.
func (engine *Engine) isCold(now time.Time) bool { return now.Before(engine.coldUntil) }

// withinColdLimit reports whether the cold limit allows this node one more request to an
// engine. The caller holds the mutex.
func (directory *Directory) withinColdLimit(engine *Engine, now time.Time) bool {
	if !engine.isCold(now) || directory.cold.limit == nil {
		return true
	}
	limit := directory.cold.limit(engine.Service)
	if limit.PerSecond <= 0 {
		return true
	}
	directory.refillColdBucket(engine, limit, now)
	return engine.coldBucket.tokens >= 1
}

// refillColdBucket adds the tokens accrued up to now.
func (directory *Directory) refillColdBucket(engine *Engine, limit ColdLimit, now time.Time) {
	bucket := &engine.coldBucket
	if now.Sub(bucket.limitUpdated) > coldLimitRefresh {
		bucket.limitUpdated = now
		bucket.limit = nodeColdLimit{}
		if position, nodes, known := directory.cold.position(engine.ID); known {
			bucket.limit = limit.forNode(position, nodes)
		}
	}
	if bucket.updated.IsZero() {
		bucket.tokens = bucket.limit.burst
	}
	bucket.tokens = min(bucket.tokens+bucket.limit.rate*max(now.Sub(bucket.updated), 0).Seconds(), bucket.limit.burst)
	bucket.updated = now
}

// takeColdToken counts a request sent to an engine while it is cold.
func (engine *Engine) takeColdToken(now time.Time) {
	if engine.isCold(now) {
		engine.coldBucket.tokens--
	}
}

// coldLimitFilter admits engines that are warm or whose cold limit allows another request. It
// is never dropped, because an overloaded cold engine fails.
type coldLimitFilter struct{ directory *Directory }

// Admits implements Filter.
func (filter coldLimitFilter) Admits(engine *Engine, _ *Request, now time.Time) bool {
	return filter.directory.withinColdLimit(engine, now)
}
