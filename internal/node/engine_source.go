package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	"go.uber.org/zap"
)

const (
	// startPatience is how long a node that has just started leaves its first list of engines
	// to the nodes that tell it of them.
	startPatience = 1500 * time.Millisecond
	// stalePatience is how long a node makes do with a list of engines that its sources can't
	// renew. They read the store for the whole zone: what holds them up would hold up all, and
	// more readers on a full link let nobody through.
	stalePatience = 3 * time.Second
)

// engineSource keeps a node's list of engines current from other nodes of its zone. Engines
// repeat their records all the time, so that two nodes of a zone read them at the most: its
// first reader, and its second one while the first is not current.
type engineSource struct {
	learner *learner
	// until is the time up to which the engines' records need not be read from the store.
	until moment
	// staleSince is since when no source was current, zero while one is.
	staleSince time.Time
	// unreached is true once no source was reached.
	unreached atomic.Bool
	// source is the node last relied on, for the log.
	source string
}

// sparesStore tells whether another node tells this one of the engines now, or is about to.
func (source *engineSource) sparesStore() bool {
	return source.learner.learns() || source.until.age(time.Now()) < 0 || source.awaited()
}

// awaited tells whether a node that has just started waits for its first list. Where all nodes
// start at once and each reads the whole list, the links to the store carry nothing else.
func (source *engineSource) awaited() bool {
	node := source.learner.node
	if node.engineView.read() || time.Since(source.learner.started) > startPatience || source.unreached.Load() || !feature.Enabled(feature.SharedReader) {
		return false
	}
	return !node.memberView.read() || len(node.members.engineSources(node.self())) > 0
}

// hold spares the store while the next sources are asked.
func (source *engineSource) hold() { source.until.set(time.Now().Add(learnTrust)) }

// ask takes in the engines that the first current source knows, or the newest of those that
// are reached, and decides whether this node has to read the store.
func (source *engineSource) ask(ctx context.Context, now time.Time) {
	node := source.learner.node
	sources := node.members.engineSources(node.self())
	if len(sources) == 0 || !feature.Enabled(feature.SharedReader) {
		source.until.set(now)
		source.note("")
		return
	}
	reached := false
	for _, member := range sources {
		current, err := source.learner.askRecords(ctx, member.Address)
		reached = reached || err == nil
		if err == nil && current {
			source.staleSince = time.Time{}
			source.note(member.Name)
			source.hold()
			return
		}
	}
	source.note("")
	source.unreached.Store(!reached)
	if source.staleSince.IsZero() {
		source.staleSince = now
	}
	// With a single source this node is the zone's second reader, or has nobody else.
	if reached && len(sources) > 1 && now.Sub(source.staleSince) < stalePatience {
		source.hold()
		return
	}
	source.until.set(now)
}

// note logs a change of the node that tells of the engines.
func (source *engineSource) note(name string) {
	if source.source == name {
		return
	}
	source.source = name
	source.learner.node.logger.Info("engines told by", zap.String("node", name))
}
