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
	// groupRelayPeriod is how long a turn's group relay is repeated after failures while appends
	// are slow.
	groupRelayPeriod = time.Second
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
	// done receives the results of appends, relayed those of relay calls, groupRelayed that of
	// the group relay.
	done         chan error
	relayed      chan error
	groupRelayed chan error
	// partitionsTried counts the partitions to which the turn was sent, pendingAppends those
	// that have not responded.
	partitionsTried int
	pendingAppends  int
	relaying        bool
	groupRelaying   bool
	// groupRelayBegan is when the group relay was first started, zero if it was not.
	groupRelayBegan time.Time
	// lastTry is when the turn was last sent to a partition.
	lastTry time.Time
}

func (operation *recordOperation) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !operation.recorder.appendsSlow() || !operation.startGroupRelay(ctx) {
		operation.tryNextPartition()
	}
	// Without a response, the turn is sent elsewhere after hedgeDelay, which doubles each time.
	hedgeDelay := operation.recorder.appendLatency.HedgeDelay()
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	backoff := initialBackoff
	for {
		select {
		case err := <-operation.done:
			if err == nil {
				return nil
			}
			operation.pendingAppends--
			operation.startRelay(ctx)
			if operation.pendingAppends == 0 {
				timer.Reset(backoff)
				backoff = min(2*backoff, maxBackoff)
			}
		case err := <-operation.relayed:
			if err == nil {
				return nil
			}
			operation.relaying = false
		case err := <-operation.groupRelayed:
			if err == nil {
				return nil
			}
			operation.handleGroupRelayFailure(ctx, err)
		case <-timer.C:
			if operation.postponeHedge() {
				timer.Reset(hedgeDelay)
				continue
			}
			operation.hedge(ctx)
			hedgeDelay = max(min(2*hedgeDelay, appendTimeout), operation.recorder.appendLatency.HedgeDelay())
			timer.Reset(hedgeDelay)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// postponeHedge reports whether an append to another partition has to wait: no append was fast
// since the turn's last one, and slowLogHedgeDelay has not passed.
func (operation *recordOperation) postponeHedge() bool {
	if operation.groupRelayUnused() || operation.pendingAppends == 0 || time.Since(operation.lastTry) >= slowLogHedgeDelay {
		return false
	}
	return !operation.recorder.fastAppendSince(operation.lastTry)
}

// groupRelayUnused reports whether there is a group relay that was not started yet.
func (operation *recordOperation) groupRelayUnused() bool {
	return operation.groupRelay != nil && operation.groupRelayBegan.IsZero()
}

// hedge sends the turn elsewhere after appends without a response or with failures. The group
// relay comes first: appends to further partitions delay a slow log even more.
func (operation *recordOperation) hedge(ctx context.Context) {
	if operation.pendingAppends > 0 {
		operation.recorder.observeSlowAppend(operation.lastTry)
	}
	if operation.groupRelaying {
		return
	}
	if operation.pendingAppends > 0 && operation.groupRelayUnused() {
		operation.startGroupRelay(ctx)
		return
	}
	if operation.partitionsTried > 1 {
		operation.startRelay(ctx)
	}
	operation.tryNextPartition()
}

// startGroupRelay starts the group relay, and reports whether it did. It does not start it again
// once groupRelayPeriod has passed since its first start.
func (operation *recordOperation) startGroupRelay(ctx context.Context) bool {
	if operation.groupRelayUnused() {
		operation.groupRelayBegan = time.Now()
	}
	if operation.groupRelay == nil || time.Since(operation.groupRelayBegan) >= groupRelayPeriod {
		return false
	}
	operation.groupRelaying = true
	go func() {
		err := operation.groupRelay(ctx, operation.shard, operation.turn)
		if err != nil && !errors.Is(err, ErrGroupWriter) {
			wait.Sleep(ctx, relayRetryDelay)
		}
		operation.groupRelayed <- err
	}()
	return true
}

// handleGroupRelayFailure starts the group relay again while appends are slow. Otherwise this node
// appends the turn itself.
func (operation *recordOperation) handleGroupRelayFailure(ctx context.Context, err error) {
	operation.groupRelaying = false
	if errors.Is(err, ErrGroupWriter) {
		operation.groupRelay = nil
	}
	if operation.recorder.appendsSlow() && operation.startGroupRelay(ctx) {
		return
	}
	if operation.pendingAppends == 0 {
		operation.tryNextPartition()
	}
}

// tryNextPartition queues the turn for the next partition, the shard's own first.
func (operation *recordOperation) tryNextPartition() {
	number := (operation.shard + operation.partitionsTried) % operation.recorder.shards
	operation.recorder.enqueue(durable.Partition{Topic: Topic, Number: number}, operation.record, operation.done)
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
