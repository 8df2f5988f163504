package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

const (
	// followerUnresponsiveAfter is how long the durable log may be unresponsive to a follower before
	// other nodes are asked; learnInterval is the interval between requests.
	followerUnresponsiveAfter = 700 * time.Millisecond
	learnInterval             = 300 * time.Millisecond
	// learnTimeout bounds one request.
	learnTimeout = 250 * time.Millisecond
	// learnTTL is how long a reply from the zone's reader makes reading the log unnecessary: one
	// interval and one timeout, plus a margin.
	learnTTL = learnInterval + learnTimeout + 100*time.Millisecond
	// readerRetryDelay is how long a node reads the log itself after its reader failed to answer
	// or was not current.
	readerRetryDelay = 3 * time.Second
	// maxCurrentAge is the maximum age of a reader's engine list for others to rely on it: two
	// polls of the node that reads it from the log, plus one request to that node.
	maxCurrentAge = 2*enginePollInterval + learnInterval + learnTimeout
	// fullListTimeout bounds a request that transfers the full engine list.
	fullListTimeout = 1500 * time.Millisecond
	// sameZoneStartupPeriod is how long a newly started node asks only nodes of its own zone.
	sameZoneStartupPeriod = 4 * time.Second
	// startupLearnInterval is the interval between requests of a node that looks for a recent engine list.
	startupLearnInterval = 60 * time.Millisecond
	// nodesPerReader is the number of nodes of a zone per log reader.
	nodesPerReader = 8
)

// learner obtains configuration, engine and node records from other nodes: from the log reader of
// its zone, or from any node while the log does not answer.
type learner struct {
	node    *Node
	started time.Time
	// skipLogUntil is when the log has to be read again.
	skipLogUntil atomicTime
	// engineSource obtains engine records when this node reads the other topics itself.
	engineSource engineSource
	// retryReaderAt is when to ask the zone's reader again after a failure.
	retryReaderAt time.Time
	// currentReader is the reader in use, kept to log changes.
	currentReader string
	// speedsReceivedAt is when engine speeds were last received.
	speedsReceivedAt time.Time
}

func newLearner(node *Node) *learner {
	created := &learner{node: node, started: time.Now()}
	created.engineSource.learner = created
	return created
}

// hasReader reports whether another node currently reads the log for this one.
func (learner *learner) hasReader() bool {
	return learner.skipLogUntil.age(time.Now()) < 0
}

// run requests records until ctx ends.
func (learner *learner) run(ctx context.Context, followers []*follower) {
	node := learner.node
	followerUnresponsive := false
	for ctx.Err() == nil {
		wait.Sleep(ctx, learner.interval(followerUnresponsive))
		now := time.Now()
		if anyFollowerUnresponsive(followers, now) != followerUnresponsive {
			followerUnresponsive = !followerUnresponsive
			node.logger.Info("learning from other nodes", zap.Bool("active", followerUnresponsive))
		}
		switch {
		case followerUnresponsive:
			learner.learnFromRandomPeer(ctx)
		case now.After(learner.retryReaderAt):
			learner.learnFromReader(ctx, now)
		}
		if !learner.hasReader() {
			learner.engineSource.refresh(ctx, now)
		}
	}
}

// interval returns the pause between two requests. While the log answers this node, it is short as the engine list
// becomes too old to rely on, so that another source is found at once.
func (learner *learner) interval(followerUnresponsive bool) time.Duration {
	if learner.engineSource.awaitsFirstList() {
		return startupLearnInterval
	}
	view := learner.node.engineView
	age := view.age()
	if followerUnresponsive || !view.loaded() || age > maxCurrentAge+learnInterval {
		return learnInterval
	}
	return min(max(maxCurrentAge-age, startupLearnInterval), learnInterval)
}

// learnFromRandomPeer asks a random node while the log does not answer this one. The log may
// reject single nodes while it serves others.
func (learner *learner) learnFromRandomPeer(ctx context.Context) {
	address, found := learner.choosePeer()
	if found && feature.Enabled(feature.LearningFromPeers) {
		_, _ = learner.learnFrom(ctx, address)
	}
}

// choosePeer returns the address of a random node to ask. A newly started node without engines
// prefers its own zone: full engine lists sent between zones could saturate those links.
func (learner *learner) choosePeer() (string, bool) {
	node := learner.node
	if !node.engineView.loaded() && time.Since(learner.started) < sameZoneStartupPeriod {
		peer, found := node.members.randomInZone(node.settings.Zone, node.settings.Name)
		if found {
			return peer.Address, true
		}
	}
	return node.randomPeerAddress()
}

// learnFromReader asks the zone's log reader if that is another node. A reader that fails to
// answer, or is not current, is not asked again for readerRetryDelay.
func (learner *learner) learnFromReader(ctx context.Context, now time.Time) {
	node := learner.node
	reader := node.members.logReaderFor(node.self())
	if reader.Name == "" || reader.Name == node.settings.Name || !feature.Enabled(feature.SharedReader) {
		learner.skipLogUntil.set(now)
		learner.setReader("")
		return
	}
	current, err := learner.learnFrom(ctx, reader.Address)
	if err == nil && current {
		learner.setReader(reader.Name)
		learner.skipLogUntil.set(time.Now().Add(learnTTL))
		return
	}
	learner.engineSource.extendLogSkip()
	learner.skipLogUntil.set(now)
	learner.setReader("")
	if !learner.engineSource.awaitsFirstList() {
		learner.retryReaderAt = now.Add(readerRetryDelay)
	}
}

// timeout returns the timeout of a request.
func (learner *learner) timeout() time.Duration {
	if learner.node.engineView.endOffset() == 0 {
		return fullListTimeout
	}
	return learnTimeout
}

// setReader records the reader in use and logs a change.
func (learner *learner) setReader(reader string) {
	if learner.currentReader == reader {
		return
	}
	learner.currentReader = reader
	learner.node.logger.Info("log reader changed", zap.String("node", reader))
}

// learnFrom merges a node's records and engine observations, and reports whether its views are
// current.
func (learner *learner) learnFrom(ctx context.Context, address string) (bool, error) {
	node := learner.node
	request := node.learnRequest()
	request.Avoided = node.engines.Avoided(time.Now())
	request.Paces = toLatencyMessages(node.engines.DrainLatencyStats())
	request.WantsSpeeds = time.Since(learner.speedsReceivedAt) >= backend.SpeedPollInterval
	reply, err := learner.sendLearn(ctx, address, request)
	if err != nil {
		return false, err
	}
	node.engines.AddReported(reply.Avoided, time.Now())
	if reply.Current {
		node.engines.SetRemoteSlowEngines(reply.Slow, time.Now())
		learner.applySpeeds(reply.Speeds)
	}
	return reply.Current, nil
}

// learnRecordsFrom merges another node's records and reports whether that node's views are
// current. Unlike learnFrom, it exchanges no engine observations: a reader collects those only of
// the nodes that it reads for.
func (learner *learner) learnRecordsFrom(ctx context.Context, address string) (bool, error) {
	reply, err := learner.sendLearn(ctx, address, learner.node.learnRequest())
	return reply.GetCurrent(), err
}

// sendLearn sends a request and merges the records in the reply.
func (learner *learner) sendLearn(ctx context.Context, address string, request *nodev1.LearnRequest) (*nodev1.LearnReply, error) {
	node := learner.node
	bounded, cancel := context.WithTimeout(ctx, learner.timeout())
	defer cancel()
	requestedAt := time.Now()
	reply, err := node.peers.clientAt(address).Learn(bounded, request)
	if err != nil {
		node.logger.Debug("learn request failed", zap.String("address", address), logging.ErrorField(err))
		return nil, err
	}
	node.configurationView.merge(fromRecords(reply.Configuration), requestedAt.Add(-milliseconds(reply.ConfigurationAgeMs)))
	node.engineView.merge(fromRecords(reply.Engines), requestedAt.Add(-milliseconds(reply.EnginesAgeMs)))
	node.memberView.merge(fromRecords(reply.Nodes), requestedAt)
	node.logHealth.observeRemote(logObservations{responseAge: reply.LogAnswerAgeMs, slowAppendAge: reply.SlowAppendAgeMs, fastAppendAge: reply.FastAppendAgeMs}, time.Now())
	return reply, nil
}

// applySpeeds applies the engine speeds in a reply, if there are any.
func (learner *learner) applySpeeds(speeds map[string]float32) {
	if len(speeds) == 0 {
		return
	}
	now := time.Now()
	learner.node.engines.SetRemoteSpeeds(speeds, now)
	learner.speedsReceivedAt = now
}

// anyFollowerUnresponsive reports whether the log has not answered some follower for too long.
func anyFollowerUnresponsive(followers []*follower, now time.Time) bool {
	return slices.ContainsFunc(followers, func(follower *follower) bool { return follower.unresponsive(now) })
}

// readsLog reports whether other nodes may rely on this node's views: it reads them from the log
// (engine records possibly through the zone's first reader) and they are recent. Views learned from
// arbitrary nodes do not qualify, since delays would add up from node to node.
func (node *Node) readsLog(now time.Time) bool {
	return !node.learner.hasReader() && !anyFollowerUnresponsive(node.followers, now) && node.engineView.loaded() && node.engineView.age() < maxCurrentAge
}

// logUnavailable reports whether the log has answered none of the followers for too long.
func (node *Node) logUnavailable() bool {
	now := time.Now()
	for _, follower := range node.followers {
		if !follower.unresponsive(now) {
			return false
		}
	}
	return len(node.followers) > 0
}

// randomPeerAddress returns the address of a random active node or configured seed.
func (node *Node) randomPeerAddress() (string, bool) {
	addresses := append([]string(nil), node.settings.Seeds...)
	for _, member := range node.members.activePeers(node.settings.Name) {
		addresses = append(addresses, member.Address)
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}
