package node

import (
	"context"
	"math/bits"
	"math/rand/v2"
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
	// firstListTolerance replaces firstListTimeout while its sources answer without having a list
	// themselves: more readers of full lists would only delay them.
	firstListTolerance = 3 * time.Second
	// maxListAgeShare is the share of the engines' drain time at which every node of a zone reads a
	// list that nobody has renewed. The rest is for that read, and for calls on their way.
	maxListAgeShare = 0.8
	// unknownDrainListAge replaces that age if the engines' drain time is not known.
	unknownDrainListAge = 4 * time.Second
	// maxNodesAsked bounds the nodes asked at once for a newer list.
	maxNodesAsked = 4
)

// engineSource keeps a node's engine list current from other nodes of its zone. Engines renew
// their records continuously, so few nodes of a zone read them from the log: its first reader, the
// second while the first is not current, and further ones while their lists grow old. No node in contact
// with the log believes a list for longer than the engines' drain time allows.
type engineSource struct {
	learner *learner
	// skipLogUntil is when the engine records have to be read from the durable log again.
	skipLogUntil atomicTime
	// readsItself is true while this node reads the records itself since no other is current.
	readsItself bool
	// sourcesUnreachable is true if no source answered the last refresh.
	sourcesUnreachable atomic.Bool
	// currentSource is the node that supplied the list, kept to ask it again and to log changes.
	currentSource Member
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

// refresh obtains the engine records from another node that is current, and decides whether this node has to
// read the durable log itself.
func (source *engineSource) refresh(ctx context.Context, now time.Time) {
	node := source.learner.node
	sources := node.members.engineSources(node.self())
	if len(sources) == 0 || !feature.Enabled(feature.SharedReader) {
		source.skipLogUntil.set(now)
		source.setSource(Member{})
		return
	}
	first := source.learnFromAny(ctx, sources[:1])
	if first.current {
		source.use(first.source)
		return
	}
	if !source.readsItself {
		source.skipLogUntil.set(source.readAt(now, sources))
	}
	others := source.learnFromAny(ctx, source.otherNodes(sources))
	if others.current {
		source.use(others.source)
		return
	}
	reached := first.reached || others.reached
	source.sourcesUnreachable.Store(!reached)
	source.setSource(Member{})
	if !reached {
		source.skipLogUntil.set(now)
	}
	source.readsItself = source.readsItself || source.skipLogUntil.age(time.Now()) >= 0
}

// use records that a node has supplied a current list.
func (source *engineSource) use(member Member) {
	source.readsItself = false
	source.setSource(member)
	source.extendLogSkip()
}

// readAt returns when this node has to read the log unless it learns a newer list before. The nodes of a
// zone read one group after another, so that most of them learn from those before them. A node with a
// single source is the zone's second reader or has no alternative.
func (source *engineSource) readAt(now time.Time, sources []Member) time.Time {
	node := source.learner.node
	switch {
	case len(sources) == 1:
		return now
	case !node.engineView.loaded():
		return source.learner.started.Add(firstListTolerance)
	}
	return now.Add(source.maxListAge() - node.engineView.age())
}

// maxListAge returns the age of a list at which this node reads the records: from maxCurrentAge for the
// first group of a zone to that which the engines' drain time allows for the last.
func (source *engineSource) maxListAge() time.Duration {
	node := source.learner.node
	latest := unknownDrainListAge
	if drainTime := node.settings.EngineDrainTime; drainTime > 0 {
		latest = time.Duration(maxListAgeShare * float64(drainTime))
	}
	group, groups := node.members.readerGroup(node.self())
	if latest <= maxCurrentAge || groups == 1 {
		return maxCurrentAge
	}
	return maxCurrentAge + (latest-maxCurrentAge)*time.Duration(group)/time.Duration(groups-1)
}

// otherNodes returns the nodes to ask for a newer list if the first source has none: the other sources, the
// node that supplied the last one, and some of those that read the log before this one.
func (source *engineSource) otherNodes(sources []Member) []Member {
	node := source.learner.node
	others := slices.Clone(sources[1:])
	if !node.engineView.loaded() {
		return others
	}
	earlier := node.members.earlierReaders(node.self())
	rand.Shuffle(len(earlier), func(left, right int) { earlier[left], earlier[right] = earlier[right], earlier[left] })
	if last := source.currentSource; slices.ContainsFunc(earlier, last.hasNameOf) {
		earlier = slices.Insert(earlier, 0, last)
	}
	for _, member := range earlier {
		if len(others) < maxNodesAsked && !slices.ContainsFunc(sources, member.hasNameOf) && !slices.ContainsFunc(others, member.hasNameOf) {
			others = append(others, member)
		}
	}
	return others
}

// listReply is the outcome of asking nodes for their engine lists.
type listReply struct {
	// current is true if a node has a list that this one may rely on; source is that node.
	current bool
	source  Member
	// reached is true if any node answered.
	reached bool
}

// learnFromAny merges the engine records of several nodes, all asked at once, until one of them is current.
func (source *engineSource) learnFromAny(ctx context.Context, nodes []Member) listReply {
	replies := make(chan listReply, len(nodes))
	for _, member := range nodes {
		go func() {
			current, err := source.learner.learnRecordsFrom(ctx, member.Address)
			replies <- listReply{current: err == nil && current, source: member, reached: err == nil}
		}()
	}
	var merged listReply
	for range nodes {
		reply := <-replies
		if reply.current {
			return reply
		}
		merged.reached = merged.reached || reply.reached
	}
	return merged
}

// setSource records the source in use and logs a change.
func (source *engineSource) setSource(member Member) {
	if source.currentSource.Name == member.Name {
		return
	}
	source.currentSource = member
	source.learner.node.logger.Info("engine source changed", zap.String("node", member.Name))
}

// readerGroupOf returns the group of a node by its position behind a zone's engine sources. Each group has
// twice as many nodes as the one before it, the first has firstGroupSize.
func readerGroupOf(position int) int { return bits.Len(uint(max(position, 0)/firstGroupSize+1)) - 1 }

// firstGroupSize is the number of nodes of a zone that read the engine records as soon as its sources are
// not current.
const firstGroupSize = 2
