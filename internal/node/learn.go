package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
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
	// on it: its poll, and as much again.
	currentAge = 2 * enginePoll
	// nodesPerReader is how many nodes of a zone share one that reads the store.
	nodesPerReader = 8
)

// learner learns configuration, engines and nodes from other nodes: from a node
// of its zone that reads the store for several, and from any other one while the
// store does not answer.
type learner struct {
	node *Node
	// until is the time up to which the store need not be read.
	until moment
	// retry is when the zone's reader is asked again after a failure.
	retry time.Time
	// reader is the one last asked, for the log.
	reader string
	// speedsAt is when the speeds of engines were last learned.
	speedsAt time.Time
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
		wait.For(ctx, learnPause)
		now := time.Now()
		if anySilent(followers, now) != silent {
			silent = !silent
			node.logger.Info("learning from other nodes", zap.Bool("active", silent))
		}
		if silent {
			learner.fromAny(ctx)
			continue
		}
		if now.After(learner.retry) {
			learner.fromReader(ctx, now)
		}
	}
}

// fromAny asks one node drawn from all while the store does not answer this one:
// it may refuse single nodes while it serves the operators and the others.
func (learner *learner) fromAny(ctx context.Context) {
	address, found := learner.node.someAddress()
	if found && feature.Enabled(feature.LearningFromPeers) {
		_, _ = learner.ask(ctx, address)
	}
}

// fromReader asks the node that reads the store for this one, if another does.
func (learner *learner) fromReader(ctx context.Context, now time.Time) {
	node := learner.node
	reader := node.members.readerFor(node.self())
	if reader.Name == "" || reader.Name == node.settings.Name || !feature.Enabled(feature.SharedReader) {
		learner.until.set(now)
		learner.note("")
		return
	}
	current, err := learner.ask(ctx, reader.Address)
	if err != nil || !current {
		learner.until.set(now)
		learner.retry = now.Add(readerPause)
		learner.note("")
		return
	}
	learner.note(reader.Name)
	learner.until.set(time.Now().Add(learnTrust))
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
	bounded, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	reply, err := node.peers.at(address).Learn(bounded, &nodev1.LearnRequest{
		ConfigurationEnd: node.configurationView.reached(),
		EnginesEnd:       node.engineView.reached(),
		NodesEnd:         node.memberView.reached(),
		Avoided:          node.engines.Avoided(time.Now()),
		LogAnswerAgeMs:   node.logHealth.ageMilliseconds(time.Now()),
		Paces:            toPaces(node.engines.TakePaces()),
		WantsSpeeds:      time.Since(learner.speedsAt) >= backend.SpeedPause,
	})
	if err != nil {
		node.logger.Debug("nothing learned", zap.String("address", address), logging.Cause(err))
		return false, err
	}
	node.configurationView.take(fromRecords(reply.Configuration))
	node.engineView.take(fromRecords(reply.Engines))
	node.memberView.take(fromRecords(reply.Nodes))
	node.engines.Report(reply.Avoided, time.Now())
	node.logHealth.hear(reply.LogAnswerAgeMs, time.Now())
	if reply.Current {
		node.engines.TellSlow(reply.Slow, time.Now())
		learner.takeSpeeds(reply.Speeds)
	}
	return reply.Current, nil
}

// takeSpeeds takes in the speeds of engines, where the reader has sent some.
func (learner *learner) takeSpeeds(speeds map[string]float32) {
	if len(speeds) == 0 {
		return
	}
	now := time.Now()
	learner.node.engines.TellSpeeds(speeds, now)
	learner.speedsAt = now
}

// anySilent tells whether the store has not answered a follower for a while.
func anySilent(followers []*follower, now time.Time) bool {
	return slices.ContainsFunc(followers, func(follower *follower) bool { return follower.silent(now) })
}

// readsStore tells whether this node's views come from the store itself and are recent,
// so that others may rely on them. Views that it learned from any node are as recent, and
// may have come over nodes that know less: those who rely on them would add their delays.
func (node *Node) readsStore(now time.Time) bool {
	return !node.learner.learns() && !anySilent(node.following, now) && node.engineView.age() < currentAge
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

// Learn implements nodev1.Node.
func (server *peerServer) Learn(_ context.Context, request *nodev1.LearnRequest) (*nodev1.LearnReply, error) {
	node := server.node
	now := time.Now()
	node.engines.Report(request.Avoided, now)
	node.logHealth.hear(request.LogAnswerAgeMs, now)
	node.engines.AddPaces(fromPaces(request.Paces), now)
	reply := &nodev1.LearnReply{
		Configuration:  toRecords(node.configurationView.since(request.ConfigurationEnd)),
		Engines:        toRecords(node.engineView.since(request.EnginesEnd)),
		Nodes:          toRecords(node.memberView.since(request.NodesEnd)),
		Avoided:        node.engines.AvoidedByAny(now),
		Slow:           node.engines.Slow(now),
		LogAnswerAgeMs: node.logHealth.ageMilliseconds(now),
		Current:        node.readsStore(now),
	}
	if request.WantsSpeeds {
		reply.Speeds = node.engines.Speeds(now)
	}
	return reply, nil
}

func toPaces(paces map[string]backend.Pace) map[string]*nodev1.Pace {
	messages := make(map[string]*nodev1.Pace, len(paces))
	for engine, pace := range paces {
		messages[engine] = &nodev1.Pace{Weight: pace.Weight, Sum: pace.Sum}
	}
	return messages
}

func fromPaces(messages map[string]*nodev1.Pace) map[string]backend.Pace {
	paces := make(map[string]backend.Pace, len(messages))
	for engine, message := range messages {
		paces[engine] = backend.Pace{Weight: message.GetWeight(), Sum: message.GetSum()}
	}
	return paces
}

func toRecords(records []durable.KeyedRecord, end int64) *nodev1.Records {
	message := &nodev1.Records{End: end}
	for _, record := range records {
		message.Records = append(message.Records, &nodev1.KeyedRecord{Key: record.Key, Value: record.Value, Offset: record.Offset})
	}
	return message
}

func fromRecords(message *nodev1.Records) durable.Update {
	update := durable.Update{End: message.GetEnd()}
	for _, record := range message.GetRecords() {
		update.Records = append(update.Records, durable.KeyedRecord{Key: record.Key, Value: record.Value, Offset: record.Offset})
	}
	return update
}
