package node

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/ownership"
	"go.uber.org/zap"
)

// newChainFleet returns nodes that look up turns in a log and at each other. None owns a shard. The first ones
// answer nobody.
func newChainFleet(ctx context.Context, t *testing.T, nodeCount, silent int, log durable.Log) []*Node {
	logger, err := logging.New("error", t.Output())
	if err != nil {
		t.Fatal(err)
	}
	network := &fakeNetwork{nodes: map[string]http.Handler{}, cut: map[[2]string]bool{}}
	isSilent := map[string]bool{}
	var nodes []*Node
	for number := range nodeCount {
		name := fmt.Sprint("node-", number)
		isSilent[name] = number < silent
		node := &Node{settings: Settings{Name: name, Shards: slowLogShards}, members: newMembers(), logger: logger.Sampled(), engines: backend.NewDirectory(), turns: history.NewStore(1 << 20), unownedReads: make(chan struct{}, maxUnownedReads)}
		client := network.delayedClientFor(name, time.Millisecond, func(other string) bool { return isSilent[other] })
		client.Transport = node.contact.transport(client.Transport)
		node.peers = newPeers(node.members, client)
		node.createViews()
		node.learner = newLearner(node)
		node.programs = newPrograms(node)
		node.reader = history.NewReader(log, node.turns, slowLogShards)
		node.reader.SetRemoteLookup(node.remotePartialChain)
		node.ownership = ownership.NewManager(ctx, log, zap.NewNop(), ownership.Identity{Node: name}, slowLogShards, ownership.Dependencies{})
		network.nodes[name] = node.contact.handler(nodev1.NewNodeServer(&peerServer{node: node}))
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		for number := range nodeCount {
			name := fmt.Sprint("node-", number)
			node.members.put(Member{Name: name, Address: name, Capacity: 800})
		}
	}
	return nodes
}

// Guards against turns of other shards that are not found while several nodes answer nobody.
func TestTurnsOfOtherShardsAreFoundWhileNodesAnswerNobody(t *testing.T) {
	const nodeCount = 12
	for _, silent := range []int{1, 4, 8, 11} {
		t.Run(fmt.Sprintf("%d of %d silent", silent, nodeCount), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(context.Background())
				log := durable.NewMemory()
				recorder := history.NewRecorder(log, slowLogShards)
				for shard := range slowLogShards {
					if err := recorder.Record(ctx, shard, namedTurn(fmt.Sprint("turn-", shard))); err != nil {
						t.Fatal(err)
					}
				}
				nodes := newChainFleet(ctx, t, nodeCount, silent, log)
				asking := nodes[nodeCount-1]
				var slowest time.Duration
				for shard := range slowLogShards {
					began := time.Now()
					found := false
					for !found && time.Since(began) < time.Minute {
						result, err := asking.findChain(ctx, (shard+1)%slowLogShards, history.Key{ID: fmt.Sprint("turn-", shard)})
						found = err == nil && result.Found
						if !found {
							time.Sleep(100 * time.Millisecond)
						}
					}
					slowest = max(slowest, time.Since(began))
				}
				t.Logf("found after %v at most", slowest)
				if slowest > 4*time.Second {
					t.Errorf("found after %v", slowest)
				}
				stop()
				time.Sleep(time.Minute)
			})
		})
	}
}
