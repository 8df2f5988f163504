package node

import (
	"context"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
)

// Counts, over seeds, the turns lost where one partition is silent to all, and tells which shards they are of.
func TestOnePartitionSilentOverSeeds(t *testing.T) {
	for seed := range uint64(10) {
		inVirtualTime(t, func(t *testing.T) {
			run := newFleet(t, 84, time.Millisecond)
			run.log.appendTime = func(time.Time) time.Duration { return fastAppendTime }
			for _, node := range run.nodes {
				log := &onePartitionLog{Log: run.logOf(node), number: 3, from: run.start}
				recordIn(node, log)
			}
			run.play(seed, 8*time.Second)
			for name, turn := range run.turns {
				if turn.err != nil {
					t.Errorf("seed %d: %s of shard %d at %v from %s lost (owner of shard 3 is %s, of its shard %s): %v", seed, name, turn.shard, turn.asked.Sub(run.start), turn.origin,
						run.owners[3].settings.Name, run.owners[turn.shard].settings.Name, turn.err)
				}
			}
		})
	}
}

// The same cause with a log that is slow only in one partition.
func TestOnePartitionSlow(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 84, time.Millisecond)
		run.log.appendTime = func(time.Time) time.Duration { return fastAppendTime }
		for _, node := range run.nodes {
			log := &slowPartitionLog{run.logOf(node)}
			recordIn(node, log)
		}
		run.play(1, 6*time.Second)
		run.expectNoneLost(t, 0, time.Second, 3*time.Second, 6*time.Second)
		count := 0
		for _, call := range run.log.calls {
			if call.number == 3 && !call.sent.Before(run.start) {
				count++
			}
		}
		t.Logf("%d appends to the slow partition in 6 s", count)
	})
}

// slowPartitionLog busies partition 3 for slowAppendTime with each append.
type slowPartitionLog struct{ *nodeLog }

func (log *slowPartitionLog) Append(ctx context.Context, partition durable.Partition, records [][]byte, condition durable.Condition) (durable.AppendResult, error) {
	if partition.Number == 3 && !time.Now().Before(log.run.start) {
		log.mutex.Lock()
		free := log.free[partition]
		if free.Before(time.Now()) {
			free = time.Now()
		}
		log.free[partition] = free.Add(slowAppendTime - fastAppendTime)
		log.mutex.Unlock()
	}
	return log.nodeLog.Append(ctx, partition, records, condition)
}
