package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/logging"
	"go.uber.org/zap"
)

const (
	// findWait is how long an owner looks for a chain before it tells the asker
	// to wait; findTimeout bounds the search itself.
	findWait    = 180 * time.Millisecond
	findTimeout = 4 * time.Second
	// lineTimeout is how long a node may take to read its partition before
	// another one is asked.
	lineTimeout = time.Second
	// lineAsks is how many nodes are asked for one partition before this node
	// reads it itself.
	lineAsks = 3
	// recordAsks is how many nodes are asked to record a turn in one round, and
	// recordTimeout is how long each may take.
	recordAsks    = 3
	recordTimeout = 500 * time.Millisecond
	// foreignReadings is how many partitions of shards that it does not own a node reads at a
	// time. After the loss of all nodes the links to the log carry each partition some times;
	// where each of 34 nodes behind a link of 60 Mbit/s read all 16, as often as others did
	// not answer in time, nothing came through for twenty seconds.
	foreignReadings = 1
	// foreignPatience is how long another node's ask waits for a place among them: a reading of
	// what is new takes some milliseconds, and one that takes longer had better be asked of the
	// next node.
	foreignPatience = 50 * time.Millisecond
)

// find looks for a chain, and gives up waiting after a while; the search goes
// on, so that a later ask finds more. Asks for the same turn share a search.
func (node *Node) find(ctx context.Context, shard int, key history.Key) (history.Lookup, error) {
	searched := node.searches.DoChan(strconv.Quote(key.Tenant)+key.ID, func() (any, error) {
		searching, cancel := context.WithTimeout(context.Background(), findTimeout)
		defer cancel()
		return node.reader.Find(searching, shard, key)
	})
	timer := time.NewTimer(findWait)
	defer timer.Stop()
	select {
	case result := <-searched:
		return result.Val.(history.Lookup), result.Err
	case <-timer.C:
		return history.Lookup{}, errStillReading
	case <-ctx.Done():
		return history.Lookup{}, errStillReading
	}
}

// lineElsewhere asks the node that is likely to have read a shard's partition:
// the shard's owner, or the one that would own it. It implements
// history.Elsewhere.
func (node *Node) lineElsewhere(ctx context.Context, shard int, key history.Key) ([]*history.Turn, error) {
	asked := map[string]bool{}
	for range lineAsks {
		target, found := node.programs.target(shard, asked)
		if !found || target == node.settings.Name {
			return node.lineHere(ctx, shard, key, findTimeout)
		}
		asked[target] = true
		line, err := node.askLine(ctx, target, shard, key)
		if err == nil {
			return line, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err() // Found in another shard, or the search is over.
		}
		node.logger.Info("turns not read elsewhere", zap.String("turn", key.ID), zap.Int("shard", shard),
			zap.String("node", target), logging.Cause(err))
	}
	return node.lineHere(ctx, shard, key, 0)
}

// lineHere reads a shard's partition on this node. Of those that it does not own it reads few
// at a time: further ones wait for their place, and are told that they are still being read
// after a while. A node that nobody else can tell for waits as long as its search: a search of
// all shards asks for each at once, and would else be refused all but one each time.
func (node *Node) lineHere(ctx context.Context, shard int, key history.Key, patience time.Duration) ([]*history.Turn, error) {
	if node.ownership.Owns(shard) {
		return node.reader.PartialChain(ctx, shard, key)
	}
	line := node.turns.PartialChain(key)
	if len(line) > 0 {
		return line, nil
	}
	if !node.takeForeign(ctx, patience) {
		return nil, errStillReading
	}
	defer func() { <-node.foreign }()
	return node.reader.PartialChain(ctx, shard, key)
}

// takeForeign takes a place for reading another node's partition, and tells whether there was
// one in time.
func (node *Node) takeForeign(ctx context.Context, patience time.Duration) bool {
	select {
	case node.foreign <- struct{}{}:
		return true
	default:
	}
	waiting, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	select {
	case node.foreign <- struct{}{}:
		return true
	case <-waiting.Done():
		return false
	}
}

func (node *Node) askLine(ctx context.Context, target string, shard int, key history.Key) ([]*history.Turn, error) {
	client, err := node.peers.client(target)
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, lineTimeout)
	defer cancel()
	reply, err := client.Line(bounded, &nodev1.LineRequest{Shard: uint32(shard), Id: key.ID, Tenant: key.Tenant})
	if err != nil {
		return nil, err
	}
	return history.FromProtos(reply.Line), nil
}

// Line implements nodev1.Node. The reading outlasts an asker that gives up, so
// that a later ask finds more.
func (server *peerServer) Line(_ context.Context, request *nodev1.LineRequest) (*nodev1.LineReply, error) {
	if int(request.Shard) >= server.node.settings.Shards {
		return nil, errUnknownShard
	}
	reading, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	line, err := server.node.lineHere(reading, int(request.Shard), history.Key{Tenant: request.Tenant, ID: request.Id}, foreignPatience)
	if err != nil {
		return nil, err
	}
	return &nodev1.LineReply{Line: history.ToProtos(line)}, nil
}

// recordElsewhere has another node record a turn. The shard's owner is asked
// first: where the store takes too few calls for all nodes, what waits at the
// owner goes into one append. It implements history.Relay.
func (node *Node) recordElsewhere(ctx context.Context, shard int, turn *history.Turn) error {
	others := node.members.others(node.settings.Name)
	rand.Shuffle(len(others), func(left, right int) { others[left], others[right] = others[right], others[left] })
	others = slices.DeleteFunc(others, func(other Member) bool { return !turn.Zones.Contains(other.Zone) })
	owner := node.programs.believedOwner(shard).Node
	preferred := slices.IndexFunc(others, func(other Member) bool { return other.Name == owner })
	if preferred > 0 {
		others[0], others[preferred] = others[preferred], others[0]
	}
	failure := errUnknownNode
	for _, other := range others[:min(recordAsks, len(others))] {
		bounded, cancel := context.WithTimeout(ctx, recordTimeout)
		_, err := node.peers.at(other.Address).Record(bounded, &nodev1.RecordRequest{Shard: uint32(shard), Turn: history.ToProto(turn)})
		cancel()
		if err == nil {
			node.logger.Info("turn recorded elsewhere", zap.String("request", turn.ID), zap.String("program", turn.Program), zap.String("node", other.Name))
			return nil
		}
		failure = err
		if ctx.Err() != nil {
			break
		}
	}
	return failure
}

// mayGet tells whether a node may be sent a turn: this one, or one of a zone where the turn may
// be kept.
func (node *Node) mayGet(name string, turn *history.Turn) bool {
	if turn.Zones == nil || name == node.settings.Name {
		return true
	}
	member, known := node.members.get(name)
	return known && turn.Zones.Contains(member.Zone)
}

// Record implements nodev1.Node.
func (server *peerServer) Record(ctx context.Context, request *nodev1.RecordRequest) (*nodev1.RecordReply, error) {
	if int(request.Shard) >= server.node.settings.Shards || request.Turn == nil {
		return nil, errUnknownShard
	}
	if server.node.recorder.RecentlyRefused() {
		return nil, errLogRefuses
	}
	bounded, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := server.node.recorder.RecordLocally(bounded, int(request.Shard), history.FromProto(request.Turn))
	if err != nil {
		return nil, err
	}
	return &nodev1.RecordReply{}, nil
}
