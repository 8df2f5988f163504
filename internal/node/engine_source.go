package node

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
	"go.uber.org/zap"
)

const (
	// firstListTimeout is how long a newly started node waits for its first engine list from its
	// sources before reading it from the durable log.
	firstListTimeout = 1500 * time.Millisecond
	// staleListTolerance is how long a node keeps an engine list that neither its sources nor the zone's
	// backup readers can refresh. They read the log for the whole zone; additional readers would only add
	// load to a link that delays them.
	staleListTolerance = 3 * time.Second
)

// engineSource keeps a node's engine list current from other nodes of its zone. Engines renew
// their records continuously, so few nodes of a zone read them from the log: its first reader, the
// second while the first is not current, and the backup readers while neither is.
type engineSource struct {
	learner *learner
	// skipLogUntil is when the engine records have to be read from the durable log again.
	skipLogUntil atomicTime
	// staleSince is when refresh first found no current source, zero while one is current.
	staleSince time.Time
	// sourcesUnreachable is true if no source answered the last refresh.
	sourcesUnreachable atomic.Bool
	// currentSource is the source in use, kept to log changes.
	currentSource string
}

// skipsLog reports whether another node supplies the engine list now, or is about to.
func (source *engineSource) skipsLog() bool {
	return source.learner.hasReader() || source.skipLogUntil.age(time.Now()) < 0 || source.awaitsFirstList()
}

// awaitsFirstList reports whether a newly started node is waiting for its first engine list. If
// all nodes started at once and read the list from the log, they would saturate its links.
func (source *engineSource) awaitsFirstList() bool {
	node := source.learner.node
	if node.engineView.loaded() || time.Since(source.learner.started) > firstListTimeout || source.sourcesUnreachable.Load() || !feature.Enabled(feature.SharedReader) {
		return false
	}
	return !node.memberView.loaded() || len(node.members.engineSources(node.self())) > 0
}

// extendLogSkip defers reading the durable log by learnTTL.
func (source *engineSource) extendLogSkip() { source.skipLogUntil.set(time.Now().Add(learnTTL)) }

// refresh merges the engine records of the first current source, or of those reached if none is
// current, and decides whether this node has to read the durable log itself.
func (source *engineSource) refresh(ctx context.Context, now time.Time) {
	node := source.learner.node
	sources := node.members.engineSources(node.self())
	if len(sources) == 0 || !feature.Enabled(feature.SharedReader) {
		source.skipLogUntil.set(now)
		source.setSource("")
		return
	}
	current, reached := source.learnFromFirst(ctx, sources)
	if current {
		return
	}
	backups := node.members.backupReaders(node.settings.Zone)
	if slices.ContainsFunc(backups, func(backup Member) bool { return backup.Name == node.settings.Name }) {
		source.skipLogUntil.set(now)
		source.setSource("")
		return
	}
	if reached && len(sources) > 1 {
		current, _ = source.learnFromFirst(ctx, backups)
		if current {
			return
		}
	}
	source.setSource("")
	source.sourcesUnreachable.Store(!reached)
	if source.staleSince.IsZero() {
		source.staleSince = now
	}
	// A node with a single source is the zone's second reader or has no alternative.
	if reached && len(sources) > 1 && now.Sub(source.staleSince) < staleListTolerance {
		source.extendLogSkip()
		return
	}
	source.skipLogUntil.set(now)
}

// learnFromFirst merges the engine records of the first node that is current, or of those reached if none is.
func (source *engineSource) learnFromFirst(ctx context.Context, nodes []Member) (current, reached bool) {
	for _, member := range nodes {
		current, err := source.learner.learnRecordsFrom(ctx, member.Address)
		reached = reached || err == nil
		if err == nil && current {
			source.staleSince = time.Time{}
			source.setSource(member.Name)
			source.extendLogSkip()
			return true, true
		}
	}
	return false, reached
}

// setSource records the source in use and logs a change.
func (source *engineSource) setSource(name string) {
	if source.currentSource == name {
		return
	}
	source.currentSource = name
	source.learner.node.logger.Info("engine source changed", zap.String("node", name))
}
