package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/quarantine"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

const (
	// lossForwardTimeout bounds a message of a relay to a node of its zone, maxForwardWait its wait
	// for all of them, and lossRelayTimeout a message to a relay, which replies after that wait.
	lossForwardTimeout = 120 * time.Millisecond
	maxForwardWait     = 150 * time.Millisecond
	lossRelayTimeout   = 200 * time.Millisecond
	// maxLossWait is how long a failed call is held until other nodes know of its loss.
	maxLossWait = 250 * time.Millisecond
	// relayAttempts is how many candidates for a zone's relay are tried before its work is done without one.
	relayAttempts = 2
	// lossBatchDelay is how long losses that no caller waits for are collected into one message.
	lossBatchDelay = 100 * time.Millisecond
	// lossProbeInterval is the time between the first probes of a node that did not respond. Meanwhile it gets no losses;
	// it obtains them with its next exchange. lossProbeCheckInterval is how often due probes are looked for.
	lossProbeInterval      = time.Second
	lossProbeCheckInterval = 100 * time.Millisecond
	// lossExchangeInterval is the interval at which a node compares the losses that it knows with
	// its zone's relay, to obtain those told while it was frozen or cut off. Until
	// memberStartupPeriod is over, it is newNodeExchangeInterval: others do not tell a node before
	// they have read its record.
	lossExchangeInterval    = 2 * time.Second
	newNodeExchangeInterval = 300 * time.Millisecond
	// startupExchangeInterval is the interval until a newly started node has done so once. It is not
	// ready before, for at most maxStartupExchange: the records of the other nodes may be out of reach.
	startupExchangeInterval = 50 * time.Millisecond
	maxStartupExchange      = 2 * time.Second
	// maxLossesPerMessage bounds a message, to some 200 KB.
	maxLossesPerMessage = 4096
)

// lossSharing tells all nodes of losses. The node that observes one tells a relay in each zone, which
// tells the nodes of its zone: messages grow with the number of nodes and not with its square, and
// losses that arrive together, as when a rack of engines ends, travel in one message.
type lossSharing struct {
	node    *Node
	tracker *quarantine.Tracker
	merge   mergeLosses
	silent  *unresponsivePeers
	// synchronized is true once a newly started node knows what the others know.
	synchronized atomic.Bool

	// toZones and toNodes hold what is yet to be told.
	toZones *outboxes[quarantine.Loss]
	toNodes *outboxes[quarantine.Loss]
}

// mergeLosses adds losses to a node's own and returns those that were new or newly refuted.
type mergeLosses func(losses []quarantine.Loss, now time.Time) []quarantine.Loss

func newLossSharing(node *Node, tracker *quarantine.Tracker, merge mergeLosses) *lossSharing {
	sharing := &lossSharing{node: node, tracker: tracker, merge: merge, silent: newUnresponsivePeers(lossProbeInterval)}
	sharing.toZones = newOutboxes(maxLossesPerMessage, sharing.tellRelayOf)
	sharing.toNodes = newOutboxes(maxLossesPerMessage, sharing.tellNode)
	return sharing
}

// shareNow tells all nodes and returns once they know and recorded is closed, or after maxLossWait.
// recorded may be nil.
func (sharing *lossSharing) shareNow(losses []quarantine.Loss, recorded <-chan struct{}) {
	var awaited []<-chan struct{}
	if len(losses) > 0 {
		awaited = sharing.tellZones(losses, 0)
	}
	if recorded != nil {
		awaited = append(awaited, recorded)
	}
	awaitAll(awaited, maxLossWait)
}

// shareSoon tells all nodes within lossBatchDelay. It does not block.
func (sharing *lossSharing) shareSoon(losses []quarantine.Loss) {
	if len(losses) > 0 {
		sharing.tellZones(losses, lossBatchDelay)
	}
}

// awaitAll returns once all channels are closed, or after a timeout.
func awaitAll(channels []<-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for _, channel := range channels {
		select {
		case <-channel:
		case <-timer.C:
			return
		}
	}
}

// tellZones tells the relays of all zones that are in reach, after a delay at the latest. The
// channels are closed once they know.
func (sharing *lossSharing) tellZones(losses []quarantine.Loss, delay time.Duration) []<-chan struct{} {
	var delivered []<-chan struct{}
	for zone := range sharing.node.members.nodesPerZone() {
		if !sharing.node.zones.Reachable(zone, time.Now()) {
			continue
		}
		delivered = append(delivered, sharing.toZones.to(zone).add(losses, delay))
	}
	return delivered
}

// tellRelayOf tells the relay of a zone, or the next candidate if it does not respond. If neither does, it tells
// the zone's nodes itself: any number of candidates may be lost.
func (sharing *lossSharing) tellRelayOf(zone string, losses []quarantine.Loss) {
	for range relayAttempts {
		relay := sharing.relayOf(zone, time.Now())
		switch relay {
		case "":
			return
		case sharing.node.settings.Name:
			sharing.forward(losses)
			return
		}
		if sharing.send(relay, lossMessage(losses, true, time.Now()), lossRelayTimeout) == nil {
			return
		}
	}
	sharing.tellNodesOf(zone, losses, 0)
}

// tellNodesOf tells the other nodes of a zone, after a delay at the latest. The channels are closed once they
// know.
func (sharing *lossSharing) tellNodesOf(zone string, losses []quarantine.Loss, delay time.Duration) []<-chan struct{} {
	var delivered []<-chan struct{}
	for _, member := range sharing.node.members.inZone(zone) {
		if member.Name == sharing.node.settings.Name || sharing.silent.passesOver(member.Name, time.Now()) {
			continue
		}
		told := sharing.toNodes.to(member.Name).add(losses, delay)
		if !member.Draining {
			delivered = append(delivered, told) // A draining node may be gone for good.
		}
	}
	return delivered
}

func (sharing *lossSharing) tellNode(name string, losses []quarantine.Loss) {
	_ = sharing.send(name, lossMessage(losses, false, time.Now()), lossForwardTimeout) // send logs failures.
}

// relayOf returns the relay of a zone, or "" if there is none.
func (sharing *lossSharing) relayOf(zone string, now time.Time) string {
	return sharing.node.members.relayOf(zone, now, sharing.silent)
}

// send sends a message to a node, and suspects the node if it does not respond. It merges what the node
// knows of the same requests: other attempts may be unfinished there.
func (sharing *lossSharing) send(name string, message *nodev1.ShareLossesRequest, timeout time.Duration) error {
	reply, err := sharing.call(context.Background(), name, message, timeout)
	if err != nil {
		return err
	}
	now := time.Now()
	sharing.merge(lossesFromProto(reply.Losses, now), now)
	return nil
}

func (sharing *lossSharing) call(ctx context.Context, name string, message *nodev1.ShareLossesRequest, timeout time.Duration) (*nodev1.ShareLossesReply, error) {
	client, err := sharing.node.peers.client(name)
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := client.ShareLosses(bounded, message)
	sharing.node.meter.countLossMessage(err)
	if err == nil {
		sharing.silent.recordAnswer(name)
	} else if ctx.Err() == nil {
		sharing.silent.recordSilence(name, time.Now())
		sharing.node.logger.Info("losses not shared", zap.String("node", name), zap.Int("losses", len(message.Losses)), logging.ErrorField(err))
	}
	return reply, err
}

// handle applies a message of another node.
func (sharing *lossSharing) handle(request *nodev1.ShareLossesRequest, now time.Time) *nodev1.ShareLossesReply {
	losses := lossesFromProto(request.Losses, now)
	news := sharing.merge(losses, now)
	if request.Forward {
		sharing.forward(withoutKnownRefutations(losses, news))
	}
	reply := &nodev1.ShareLossesReply{Complete: sharing.node.quarantine.records.complete.Load(), Losses: lossesToProto(sharing.knownOf(losses, now), now)}
	if request.WantsLosses {
		reply.Losses = lossesToProto(sharing.tracker.LossesBeyond(digestFromProto(request.Digest), now), now)
	}
	return reply
}

// withoutKnownRefutations returns the losses except those that are refuted and were known to be so: several
// nodes see the same engine go on, and a zone needs to be told once.
func withoutKnownRefutations(losses, news []quarantine.Loss) []quarantine.Loss {
	return slices.DeleteFunc(slices.Clone(losses), func(loss quarantine.Loss) bool {
		return loss.Refuted && !slices.ContainsFunc(news, func(other quarantine.Loss) bool { return other.ID == loss.ID })
	})
}

// knownOf returns what this node knows of the requests of the losses that a caller waits for, and is not
// refuted.
func (sharing *lossSharing) knownOf(losses []quarantine.Loss, now time.Time) []quarantine.Loss {
	if !feature.Enabled(feature.AllEngineEnds) {
		return nil
	}
	var known []quarantine.Loss
	seen := map[quarantine.Fingerprint]bool{}
	for index := range losses {
		if loss := &losses[index]; isAwaited(loss) && !seen[loss.Request] {
			seen[loss.Request] = true
			known = append(known, sharing.tracker.Unrefuted(loss.Request, now)...)
		}
	}
	return known
}

// isAwaited reports whether a caller waits until all nodes know of a loss.
func isAwaited(loss *quarantine.Loss) bool {
	return !loss.Refuted && (loss.Cause == quarantine.Interrupted || loss.Cause == quarantine.Unfinished)
}

// forward tells the other nodes of this node's zone. It returns once they know if a caller waits for
// that; other losses are collected into one message with those of other nodes.
func (sharing *lossSharing) forward(losses []quarantine.Loss) {
	if len(losses) == 0 {
		return
	}
	if slices.ContainsFunc(losses, func(loss quarantine.Loss) bool { return isAwaited(&loss) }) {
		awaitAll(sharing.tellNodesOf(sharing.node.settings.Zone, losses, 0), maxForwardWait)
		return
	}
	sharing.tellNodesOf(sharing.node.settings.Zone, losses, lossBatchDelay)
}

// run compares the losses that this node knows with those of others until ctx ends.
func (sharing *lossSharing) run(ctx context.Context) {
	go sharing.probeSilent(ctx)
	started := time.Now()
	for ctx.Err() == nil {
		age := time.Since(started)
		if sharing.synchronized.Load() || sharing.node.memberView.loaded() {
			err := sharing.exchange(ctx) // call logs failures.
			if err == nil {
				sharing.synchronized.Store(true)
			}
		}
		if age > maxStartupExchange {
			sharing.synchronized.Store(true)
		}
		wait.Sleep(ctx, sharing.exchangeInterval(age))
	}
}

// exchangeInterval returns the interval between exchanges of a node that started some time ago.
func (sharing *lossSharing) exchangeInterval(age time.Duration) time.Duration {
	switch {
	case !sharing.synchronized.Load():
		return startupExchangeInterval
	case age < memberStartupPeriod:
		return newNodeExchangeInterval
	}
	return lossExchangeInterval
}

// probeSilent compares losses with nodes that did not respond, until they do or ctx ends.
func (sharing *lossSharing) probeSilent(ctx context.Context) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, lossProbeCheckInterval)
		for _, name := range sharing.silent.due(sharing.node.members, time.Now()) {
			go func() { _ = sharing.exchangeWith(ctx, name) }() // call logs failures.
		}
	}
}

// exchange obtains the losses that another node knows and this one does not. It asks one node after another
// until one answers, for lossExchangeInterval at most, and only one of those that did not respond before.
func (sharing *lossSharing) exchange(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, lossExchangeInterval)
	defer cancel()
	for {
		now := time.Now()
		other := sharing.exchangePartner(now)
		if other == "" {
			return nil
		}
		noneResponds := sharing.silent.passesOver(other, now)
		err := sharing.exchangeWith(ctx, other)
		if err == nil || noneResponds || bounded.Err() != nil {
			return err
		}
	}
}

// exchangeWith obtains the losses that a node knows and this one does not.
func (sharing *lossSharing) exchangeWith(ctx context.Context, other string) error {
	request := &nodev1.ShareLossesRequest{WantsLosses: true}
	if !sharing.tracker.Empty() {
		digest := sharing.tracker.Digest(time.Now())
		request.Digest = digest[:]
	}
	reply, err := sharing.call(ctx, other, request, lossRelayTimeout)
	if err != nil {
		return err
	}
	now := time.Now()
	sharing.merge(lossesFromProto(reply.Losses, now), now)
	if reply.Complete {
		sharing.node.quarantine.records.setComplete()
	}
	return nil
}

// exchangePartner returns the node to compare losses with: the relay of the zone, for relays the recorder or a
// random other node. It is "" if there is none.
func (sharing *lossSharing) exchangePartner(now time.Time) string {
	settings := sharing.node.settings
	relay := sharing.relayOf(settings.Zone, now)
	if relay != "" && relay != settings.Name {
		return relay
	}
	recorder := sharing.recorder(now)
	if recorder != "" && recorder != settings.Name && rand.IntN(2) == 0 {
		return recorder
	}
	return sharing.randomPeer(now)
}

// recorder returns the node that corrects the records of losses in the log: the first of all candidates for a
// zone's relay that responds, "" if there is none.
func (sharing *lossSharing) recorder(now time.Time) string {
	for _, candidate := range sharing.node.members.candidates(loadPseudoShard) {
		if !sharing.silent.passesOver(candidate.Name, now) {
			return candidate.Name
		}
	}
	return ""
}

// randomPeer returns a random other node that responds, any other node if none does, "" if there is none.
func (sharing *lossSharing) randomPeer(now time.Time) string {
	peers := sharing.node.members.activePeers(sharing.node.settings.Name)
	responsive := slices.DeleteFunc(slices.Clone(peers), func(member Member) bool { return sharing.silent.passesOver(member.Name, now) })
	if len(responsive) > 0 {
		peers = responsive
	}
	if len(peers) == 0 {
		return ""
	}
	return peers[rand.IntN(len(peers))].Name
}

// ShareLosses implements nodev1.Node.
func (server *peerServer) ShareLosses(_ context.Context, request *nodev1.ShareLossesRequest) (*nodev1.ShareLossesReply, error) {
	if !feature.Enabled(feature.RequestQuarantine) {
		return &nodev1.ShareLossesReply{}, nil
	}
	return server.node.quarantine.sharing.handle(request, time.Now()), nil
}
