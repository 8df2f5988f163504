package history

import (
	"context"
	"errors"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/wait"
)

const (
	// initialBackoff is the delay after all appends of a turn have failed. It doubles up
	// to maxBackoff to limit the load on a recovering store.
	initialBackoff = 40 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
	// relayRetryDelay is the delay after a failed relay call.
	relayRetryDelay = 100 * time.Millisecond
	// minPartitionHedgeDelay is the minimum delay before a turn is sent to another partition. The
	// first one's writer has checked an overdue append by then.
	minPartitionHedgeDelay = 150 * time.Millisecond
	// silentLogHedgeDelay is the delay before a turn is sent to another partition while no append is
	// known to be fast or slow.
	silentLogHedgeDelay = time.Second
)

// recordOperation is the state of one Record call.
type recordOperation struct {
	recorder *Recorder
	relay    Relay
	// groupRelay is nil without group commit.
	groupRelay Relay
	shard      int
	turn       *Turn
	record     []byte
	// done receives the results of appends, relayed those of relay calls, groupRelayed that of the
	// group relay. This node appends the turn once the group relay has failed.
	done         chan error
	relayed      chan error
	groupRelayed chan error
	// partitionsTried counts the partitions to which the turn was sent, pendingAppends those
	// that have not responded.
	partitionsTried int
	pendingAppends  int
	relaying        bool
	groupRelaying   bool
	// lastTry is when the turn was last sent to a partition.
	lastTry time.Time
}

func (operation *recordOperation) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	operation.begin(ctx)
	// Without a response, the turn is sent elsewhere after hedgeDelay, which doubles each time.
	hedgeDelay := max(operation.recorder.appendLatency.OverdueAfter(), minPartitionHedgeDelay)
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	backoff := initialBackoff
	for {
		select {
		case err := <-operation.done:
			if err == nil || errors.Is(err, durable.ErrRejected) {
				return err
			}
			operation.pendingAppends--
			operation.handleAppendFailure(ctx)
			if operation.pendingAppends == 0 {
				timer.Reset(backoff)
				backoff = min(2*backoff, maxBackoff)
			}
		case err := <-operation.relayed:
			if err == nil || errors.Is(err, durable.ErrRejected) {
				return err
			}
			operation.relaying = false
		case err := <-operation.groupRelayed:
			if err == nil || errors.Is(err, durable.ErrRejected) {
				return err
			}
			operation.groupRelaying = false
			operation.tryNextPartition(ctx)
			timer.Reset(hedgeDelay)
		case <-timer.C:
			if operation.postponeHedge() {
				timer.Reset(hedgeDelay)
				continue
			}
			operation.hedge(ctx)
			hedgeDelay = min(2*hedgeDelay, appendTimeout)
			timer.Reset(hedgeDelay)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// begin leaves the turn to the group relay, or appends it if there is none.
func (operation *recordOperation) begin(ctx context.Context) {
	if operation.groupRelay == nil {
		operation.tryNextPartition(ctx)
		return
	}
	operation.groupRelaying = true
	go func() { operation.groupRelayed <- operation.groupRelay(ctx, operation.shard, operation.turn) }()
}

// handleAppendFailure lets another node record the turn, unless the log is slow: it has refused the
// append because too many wait, and the turn goes to the same partition again.
func (operation *recordOperation) handleAppendFailure(ctx context.Context) {
	if operation.recorder.appendsSlow() {
		operation.partitionsTried = 0
		return
	}
	operation.startRelay(ctx)
}

// postponeHedge reports whether an append to another partition has to wait: another node is
// recording the turn, or no append that began after the turn's last one was fast. The log is then
// probably slow, and each further append makes it slower for all turns.
func (operation *recordOperation) postponeHedge() bool {
	if operation.groupRelaying {
		return true
	}
	if operation.pendingAppends == 0 || operation.recorder.fastAppendSince(operation.lastTry) {
		return false
	}
	return operation.recorder.appendsSlow() || time.Since(operation.lastTry) < silentLogHedgeDelay
}

// hedge sends the turn elsewhere after appends without a response or with failures: to another
// partition, and to another node, since the log may not respond to this one.
func (operation *recordOperation) hedge(ctx context.Context) {
	if operation.partitionsTried > 0 {
		operation.startRelay(ctx)
	}
	operation.tryNextPartition(ctx)
}

// tryNextPartition queues the turn for the next partition, the shard's own first.
func (operation *recordOperation) tryNextPartition(ctx context.Context) {
	number := (operation.shard + operation.partitionsTried) % operation.recorder.shards
	operation.recorder.writer(durable.Partition{Topic: Topic, Number: number}).add(ctx, operation.record, operation.done)
	operation.partitionsTried++
	operation.pendingAppends++
	operation.lastTry = time.Now()
}

// startRelay starts a relay call unless one is in progress.
func (operation *recordOperation) startRelay(ctx context.Context) {
	if operation.relaying || operation.relay == nil {
		return
	}
	operation.relaying = true
	go func() {
		err := operation.relay(ctx, operation.shard, operation.turn)
		if err != nil {
			wait.Sleep(ctx, relayRetryDelay)
		}
		operation.relayed <- err
	}()
}
