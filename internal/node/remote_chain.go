package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/logging"
	"go.uber.org/zap"
)

const (
	// partialChainTimeout bounds a request to read a partition at another node.
	partialChainTimeout = time.Second
	// silenceCheckDelay is how long such a request may be unanswered before the node is probed: one that reads
	// the partition takes longer than one that answers nobody.
	silenceCheckDelay = 150 * time.Millisecond
	// maxPartialChainNodes is how many nodes that answer are asked to read a partition before this
	// node reads it itself.
	maxPartialChainNodes = 3
	// maxUnownedReads bounds the partitions of other nodes' shards that a node reads concurrently.
	// After the loss of all nodes, unbounded reads would saturate the links to the durable log.
	maxUnownedReads = 1
	// unownedReadWait is how long a request from another node waits until the node may read a
	// partition of a shard that it does not own. Reading only the new records takes milliseconds;
	// while a longer read is in progress, the requester should try another node.
	unownedReadWait = 50 * time.Millisecond
)

// errNodeSilent means that a node answers no request.
var errNodeSilent = errors.New("node does not answer")

// remotePartialChain reads a partition through a node that has probably read it already: the
// shard's owner or a candidate. Nodes that answer nobody are passed over; if there are no others, this node
// reads it itself. It serves as the history reader's remote lookup.
func (node *Node) remotePartialChain(ctx context.Context, shard int, key history.Key) ([]*history.Turn, error) {
	tried := map[string]bool{}
	for answered := 0; answered < maxPartialChainNodes; {
		target, found := node.programs.nextUnsuspected(shard, tried)
		if !found || target == node.settings.Name {
			return node.localPartialChain(ctx, shard, key, findTimeout)
		}
		tried[target] = true
		chain, err := node.requestPartialChain(ctx, target, shard, key)
		if err == nil {
			return chain, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err() // Found in another shard, or the search has ended.
		}
		node.logger.Info("remote partition read failed", zap.String("turn", key.ID), zap.Int("shard", shard),
			zap.String("node", target), logging.ErrorField(err))
		if !errors.Is(err, errNodeSilent) {
			answered++
		}
	}
	return node.localPartialChain(ctx, shard, key, 0)
}

// localPartialChain reads a shard's partition on this node. Reads of shards that it does not own
// are limited; a read that cannot start within maxWait fails with errStillReading. A search over
// all shards needs a maxWait as long as its timeout, since it starts all reads at once.
func (node *Node) localPartialChain(ctx context.Context, shard int, key history.Key, maxWait time.Duration) ([]*history.Turn, error) {
	if node.ownership.OwnsOrClaims(shard) {
		return node.reader.PartialChain(ctx, shard, key)
	}
	chain := node.turns.PartialChain(key)
	if len(chain) > 0 {
		return chain, nil
	}
	if !node.acquireUnownedRead(ctx, maxWait) {
		return nil, errStillReading
	}
	defer func() { <-node.unownedReads }()
	return node.reader.PartialChain(ctx, shard, key)
}

// acquireUnownedRead acquires a slot for reading another node's partition, and reports whether one
// became free within maxWait. The caller releases it.
func (node *Node) acquireUnownedRead(ctx context.Context, maxWait time.Duration) bool {
	select {
	case node.unownedReads <- struct{}{}:
		return true
	default:
	}
	waitContext, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	select {
	case node.unownedReads <- struct{}{}:
		return true
	case <-waitContext.Done():
		return false
	}
}

// requestPartialChain asks a node to read a partition. It fails with errNodeSilent if the node does not answer a
// probe meanwhile.
func (node *Node) requestPartialChain(ctx context.Context, target string, shard int, key history.Key) ([]*history.Turn, error) {
	client, err := node.peers.client(target)
	if err != nil {
		return nil, err
	}
	bounded, cancel := context.WithTimeout(ctx, partialChainTimeout)
	defer cancel()
	began := time.Now()
	var silent atomic.Bool
	check := time.AfterFunc(silenceCheckDelay, func() {
		if node.isSilent(bounded, client) {
			silent.Store(true)
			cancel()
		}
	})
	defer check.Stop()
	reply, err := client.Line(bounded, &nodev1.LineRequest{Shard: uint32(shard), Id: key.ID, Tenant: key.Tenant})
	if err != nil && silent.Load() {
		node.programs.recordSilence(target, began)
		return nil, errNodeSilent
	}
	if err != nil {
		return nil, err
	}
	return history.FromProtos(reply.Line), nil
}

// isSilent reports whether a node does not answer a probe. It is false if ctx ends before.
func (node *Node) isSilent(ctx context.Context, client nodev1.Node) bool {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := client.Learn(bounded, node.probeRequest())
	return err != nil && ctx.Err() == nil
}

// Line implements nodev1.Node. The read continues if the requester gives up, so that a later
// request finds more.
func (server *peerServer) Line(_ context.Context, request *nodev1.LineRequest) (*nodev1.LineReply, error) {
	if int(request.Shard) >= server.node.settings.Shards {
		return nil, errUnknownShard
	}
	readContext, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	chain, err := server.node.localPartialChain(readContext, int(request.Shard), history.Key{Tenant: request.Tenant, ID: request.Id}, unownedReadWait)
	if err != nil {
		return nil, err
	}
	return &nodev1.LineReply{Line: history.ToProtos(chain)}, nil
}
