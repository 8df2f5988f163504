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
	// learnAfter is how long the store may be silent before other nodes are
	// asked; learnPause separates two asks.
	learnAfter = 700 * time.Millisecond
	learnPause = 300 * time.Millisecond
	// learnTimeout bounds one ask.
	learnTimeout = 250 * time.Millisecond
	// learnTrust is how long an answer of the zone's reader spares reading the
	// store: an answer's time and pause, and a little.
	learnTrust = learnPause + learnTimeout + 100*time.Millisecond
	// readerPause is how long a node reads the store itself after its reader did
	// not answer, or was not current.
	readerPause = 3 * time.Second
	// currentAge is how old a reader's list of engines may be for others to rely
	// on it: twice the poll of the node that reads it from the store, and an ask of that one.
	currentAge = 2*enginePoll + learnPause + learnTimeout
	// wholeTimeout bounds the ask that brings the whole list of engines.
	wholeTimeout = 1500 * time.Millisecond
	// neighbourPatience is how long a node that has just started asks within its zone only.
	neighbourPatience = 4 * time.Second
	// startLook separates the asks of a node that has just started.
	startLook = 60 * time.Millisecond
	// nodesPerReader is how many nodes of a zone share one that reads the store.
	nodesPerReader = 8
)

// learner learns configuration, engines and nodes from other nodes: from a node
// of its zone that reads the store for several, and from any other one while the
// store does not answer.
type learner struct {
	node *Node
	// started is when the node started.
	started time.Time
	// until is the time up to which the store need not be read.
	until moment
	// engines tells the engines where the store need not be read for them alone.
	engines engineSource
	// retry is when the zone's reader is asked again after a failure.
	retry time.Time
	// reader is the one last asked, for the log.
	reader string
	// speedsAt is when the speeds of engines were last learned.
	speedsAt time.Time
}

func newLearner(node *Node) *learner {
	made := &learner{node: node, started: time.Now()}
	made.engines.learner = made
	return made
}

// learns tells whether another node reads the store for this one now.
func (learner *learner) learns() bool {
	return learner.until.age(time.Now()) < 0
}

// run asks for as long as the node runs.
func (learner *learner) run(ctx context.Context, followers []*follower) {
	node := learner.node
	silent := false
	for ctx.Err() == nil {
		wait.Sleep(ctx, learner.pause())
		now := time.Now()
		if anySilent(followers, now) != silent {
			silent = !silent
			node.logger.Info("learning from other nodes", zap.Bool("active", silent))
		}
		switch {
		case silent:
			learner.fromAny(ctx)
		case now.After(learner.retry):
			learner.fromReader(ctx, now)
		}
		if !learner.learns() {
			learner.engines.ask(ctx, now)
		}
	}
}

// pause separates two asks.
func (learner *learner) pause() time.Duration {
	if learner.engines.awaited() {
		return startLook
	}
	return learnPause
}

// fromAny asks one node drawn from all while the store does not answer this one: it may refuse
// single nodes while it serves the operators and the others.
func (learner *learner) fromAny(ctx context.Context) {
	address, found := learner.anyAddress()
	if found && feature.Enabled(feature.LearningFromPeers) {
		_, _ = learner.ask(ctx, address)
	}
}

// anyAddress draws the node to ask. One that has just started and knows no engine yet asks within
// its zone where it knows a neighbour: where many ask others for their whole lists, the links
// between zones carry nothing else.
func (learner *learner) anyAddress() (string, bool) {
	node := learner.node
	if !node.engineView.read() && time.Since(learner.started) < neighbourPatience {
		neighbour, found := node.members.someOf(node.settings.Zone, node.settings.Name)
		if found {
			return neighbour.Address, true
		}
	}
	return node.someAddress()
}

// fromReader asks the node that reads the store for this one, if another does. One that does
// not answer, or is not current, is not asked again for a while.
func (learner *learner) fromReader(ctx context.Context, now time.Time) {
	node := learner.node
	reader := node.members.readerFor(node.self())
	if reader.Name == "" || reader.Name == node.settings.Name || !feature.Enabled(feature.SharedReader) {
		learner.until.set(now)
		learner.note("")
		return
	}
	current, err := learner.ask(ctx, reader.Address)
	if err == nil && current {
		learner.note(reader.Name)
		learner.until.set(time.Now().Add(learnTrust))
		return
	}
	learner.engines.hold()
	learner.until.set(now)
	learner.note("")
	if !learner.engines.awaited() {
		learner.retry = now.Add(readerPause)
	}
}

// patience is how long an ask may take.
func (learner *learner) patience() time.Duration {
	if learner.node.engineView.reached() == 0 {
		return wholeTimeout
	}
	return learnTimeout
}

// note logs a change of the node that reads the store for this one.
func (learner *learner) note(reader string) {
	if learner.reader == reader {
		return
	}
	learner.reader = reader
	learner.node.logger.Info("views read by", zap.String("node", reader))
}

// ask takes in what a node knows, and tells whether that is current.
func (learner *learner) ask(ctx context.Context, address string) (bool, error) {
	node := learner.node
	request := node.learnRequest()
	request.Avoided = node.engines.Avoided(time.Now())
	request.Paces = toPaces(node.engines.DrainLatencyStats())
	request.WantsSpeeds = time.Since(learner.speedsAt) >= backend.SpeedPollInterval
	reply, err := learner.send(ctx, address, request)
	if err != nil {
		return false, err
	}
	node.engines.AddReported(reply.Avoided, time.Now())
	if reply.Current {
		node.engines.SetRemoteSlowEngines(reply.Slow, time.Now())
		learner.takeSpeeds(reply.Speeds)
	}
	return reply.Current, nil
}

// askRecords takes in the records that a node knows, and tells whether they are current. What
// is seen of the engines each reader gathers for itself.
func (learner *learner) askRecords(ctx context.Context, address string) (bool, error) {
	reply, err := learner.send(ctx, address, learner.node.learnRequest())
	return reply.GetCurrent(), err
}

// send asks a node, and takes in the records of its answer.
func (learner *learner) send(ctx context.Context, address string, request *nodev1.LearnRequest) (*nodev1.LearnReply, error) {
	node := learner.node
	bounded, cancel := context.WithTimeout(ctx, learner.patience())
	defer cancel()
	askedAt := time.Now()
	reply, err := node.peers.at(address).Learn(bounded, request)
	if err != nil {
		node.logger.Debug("nothing learned", zap.String("address", address), logging.Cause(err))
		return nil, err
	}
	node.configurationView.take(fromRecords(reply.Configuration), askedAt.Add(-milliseconds(reply.ConfigurationAgeMs)))
	node.engineView.take(fromRecords(reply.Engines), askedAt.Add(-milliseconds(reply.EnginesAgeMs)))
	node.memberView.take(fromRecords(reply.Nodes), askedAt)
	node.logHealth.hear(reply.LogAnswerAgeMs, time.Now())
	return reply, nil
}

// takeSpeeds takes in the speeds of engines, where the reader has sent some.
func (learner *learner) takeSpeeds(speeds map[string]float32) {
	if len(speeds) == 0 {
		return
	}
	now := time.Now()
	learner.node.engines.SetRemoteSpeeds(speeds, now)
	learner.speedsAt = now
}

// anySilent tells whether the store has not answered a follower for a while.
func anySilent(followers []*follower, now time.Time) bool {
	return slices.ContainsFunc(followers, func(follower *follower) bool { return follower.silent(now) })
}

// readsStore tells whether this node's views come from the store itself and are recent, so
// that others may rely on them; its engines may come from its zone's first reader. Views that
// it learned from any node are as recent, and may have come over nodes that know less: those
// who rely on them would add their delays.
func (node *Node) readsStore(now time.Time) bool {
	return !node.learner.learns() && !anySilent(node.following, now) && node.engineView.read() && node.engineView.age() < currentAge
}

// logAway tells whether the store has answered none of the followers for a while.
func (node *Node) logAway() bool {
	now := time.Now()
	for _, follower := range node.following {
		if !follower.silent(now) {
			return false
		}
	}
	return len(node.following) > 0
}

// someAddress draws another node, or a seed of the settings.
func (node *Node) someAddress() (string, bool) {
	addresses := append([]string(nil), node.settings.Seeds...)
	for _, member := range node.members.others(node.settings.Name) {
		addresses = append(addresses, member.Address)
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}
