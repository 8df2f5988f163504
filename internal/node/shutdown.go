package node

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

// drain performs a graceful shutdown: it fails readiness, hands over its shards and waits for
// requests in flight until the shutdown timeout.
func (node *Node) drain(runContext context.Context) {
	started := time.Now()
	node.stopping.Store(true)
	node.logger.Info("node stopping", zap.Int("in_flight", node.inFlight()))
	ctx, cancel := context.WithTimeout(context.Background(), node.settings.ShutdownTimeout-shutdownMargin)
	defer cancel()
	node.members.put(node.self())
	node.registration.requestCheck()
	callersDone := make(chan struct{})
	released := make(chan struct{})
	go func() {
		defer close(released)
		node.awaitSuccessor(ctx, callersDone)
		node.ownership.Release(ctx)
	}()
	// Callers do not wait for the shards' last checkpoints, which a log that does not answer delays
	// until the end of the shutdown timeout.
	callers := node.servers[len(node.servers)-1]
	err := callers.Shutdown(ctx)
	close(callersDone)
	node.awaitEgress(ctx)
	<-released
	node.logger.Info("node stopped", zap.Duration("took", time.Since(started)), zap.Int("in_flight", callers.InFlight()),
		zap.Int("for_others", node.egress.InFlight()), logging.ErrorField(err))
}

const (
	// successorCheckInterval is the interval at which awaitSuccessor reads the nodes' records. The first
	// read follows the node's own record by as much, so that it shows which others are leaving as well.
	successorCheckInterval = 300 * time.Millisecond
	// releaseTime is reserved at the end of the shutdown for giving up the shards.
	releaseTime = time.Second
)

// awaitSuccessor waits until the log shows a node that is not leaving, which can take over this node's shards.
// Where all nodes leave at once, they keep their shards for as long as they serve callers.
func (node *Node) awaitSuccessor(ctx context.Context, callersDone <-chan struct{}) {
	bounded, cancel := context.WithTimeout(ctx, node.settings.ShutdownTimeout-shutdownMargin-releaseTime)
	defer cancel()
	ticker := time.NewTicker(successorCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-callersDone:
			return
		case <-bounded.Done():
			return
		case <-ticker.C:
		}
		node.rereadMembers(bounded)
		if len(node.members.activePeers(node.settings.Name)) > 0 {
			return
		}
	}
}

// rereadMembers reads the nodes' records now instead of at their follower's next poll.
func (node *Node) rereadMembers(ctx context.Context) {
	requestedAt := time.Now()
	snapshot, err := node.dependencies.Log.Latest(ctx, node.dependencies.MemberTopic)
	if err != nil {
		node.logger.Info("nodes' records not read", logging.ErrorField(err))
		return
	}
	node.memberView.merge(durable.Update{Full: true, Records: snapshot.Records, EndOffset: snapshot.EndOffset}, requestedAt)
}

// egressPollInterval is the interval at which awaitEgress checks for requests in flight.
const egressPollInterval = 20 * time.Millisecond

// awaitEgress waits for the requests that this node is sending on behalf of other nodes.
func (node *Node) awaitEgress(ctx context.Context) {
	for node.egress.InFlight() > 0 && ctx.Err() == nil {
		wait.Sleep(ctx, egressPollInterval)
	}
}

// shutdownMargin is reserved between the end of draining and the platform's kill signal.
const shutdownMargin = 400 * time.Millisecond
