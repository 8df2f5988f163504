package node

import (
	"context"
	"math/rand/v2"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/logging"
	"go.uber.org/zap"
)

const (
	// learnAfter is how long the store may be silent before other nodes are
	// asked; learnPause separates two such asks.
	learnAfter = 700 * time.Millisecond
	learnPause = 300 * time.Millisecond
	// learnTimeout bounds one ask.
	learnTimeout = 250 * time.Millisecond
)

// learnFromPeers asks other nodes, one at a time in turn, while the store does
// not answer one of the followers: a store may refuse single nodes while it
// serves the operators and the others.
func (node *Node) learnFromPeers(ctx context.Context, followers []*follower) {
	learning := false
	for ctx.Err() == nil {
		sleep(ctx, learnPause)
		silent := anySilent(followers, time.Now())
		if silent != learning {
			learning = silent
			node.logger.Info("learning from other nodes", zap.Bool("active", learning))
		}
		if learning {
			node.learnOnce(ctx)
		}
	}
}

// anySilent tells whether the store has not answered a follower for a while.
func anySilent(followers []*follower, now time.Time) bool {
	for _, follower := range followers {
		allowed := learnAfter + follower.wait
		if follower.lost.Load() {
			allowed = learnAfter
		}
		if now.Sub(time.UnixMilli(follower.lastAnswer.Load())) > allowed+follower.pause() {
			return true
		}
	}
	return false
}

// learnOnce asks one node.
func (node *Node) learnOnce(ctx context.Context) {
	address, found := node.someAddress()
	if !found {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	reply, err := node.peers.at(address).Learn(bounded, &nodev1.LearnRequest{
		ConfigurationEnd: node.configurationView.reached(),
		EnginesEnd:       node.engineView.reached(),
		NodesEnd:         node.memberView.reached(),
	})
	if err != nil {
		node.logger.Debug("nothing learned", zap.String("address", address), logging.Cause(err))
		return
	}
	node.configurationView.take(fromRecords(reply.Configuration))
	node.engineView.take(fromRecords(reply.Engines))
	node.memberView.take(fromRecords(reply.Nodes))
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
	return &nodev1.LearnReply{
		Configuration: toRecords(node.configurationView.since(request.ConfigurationEnd)),
		Engines:       toRecords(node.engineView.since(request.EnginesEnd)),
		Nodes:         toRecords(node.memberView.since(request.NodesEnd)),
	}, nil
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
