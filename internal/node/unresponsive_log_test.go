package node

import (
	"bytes"
	"context"
	"testing"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/history"
)

// oldWriter is a group writer of a build before pending_after_ms: it replies after pendingReplyAfter.
type oldWriter struct{ *observedServer }

func (server *oldWriter) Record(ctx context.Context, request *nodev1.RecordRequest) (*nodev1.RecordReply, error) {
	request.PendingAfterMs = 0
	return server.observedServer.Record(ctx, request)
}

func (run *fleet) makeOld(node *Node) {
	run.network.nodes[node.settings.Name] = nodev1.NewNodeServer(&oldWriter{&observedServer{peerServer: &peerServer{node: node}, run: run}})
}

// Guards against a rolling update in a slow log: a writer of an older build replies later than
// firstReplyTimeout, so its turns would be sent to another writer too and appended by the requester.
func TestOldGroupWriterIsNotTakenForUnresponsive(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 3, time.Millisecond)
		run.start = time.Now()
		const shard = 1
		var requester *Node
		for _, node := range run.nodes {
			run.makeOld(node)
		}
		writers := run.nodes[0].groupWriters(shard, namedTurn("x"))
		for _, node := range run.nodes {
			if node.settings.Name != writers[0].Name && node.settings.Name != writers[1].Name {
				requester = node
			}
		}
		run.turns["<turn-0>"] = &fleetTurn{shard: shard, origin: requester.settings.Name, asked: time.Now()}
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		if err := requester.recorder.Record(ctx, shard, namedTurn("<turn-0>")); err != nil {
			t.Errorf("not recorded: %v", err)
		}
		time.Sleep(20 * time.Second)
		for _, call := range run.log.calls {
			t.Logf("%v %s partition %d %v", call.sent.Sub(run.start), call.node, call.number, call.reasons)
		}
		if len(run.log.calls) > 1 {
			t.Errorf("one turn was appended %d times", len(run.log.calls))
		}
	})
}

// The same in a fleet whose writers are of the old build.
func TestFleetWithOldWritersInASlowLog(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 84, time.Millisecond)
		for index, node := range run.nodes {
			if index%2 == 0 {
				run.makeOld(node)
			}
		}
		run.play(1, 6*time.Second)
		run.expectNoneLost(t, 0, 250*time.Millisecond, time.Second, 2*time.Second, 3*time.Second, 6*time.Second)
	})
}

// Guards against a turn that waits for a writer to which the log is silent in a quiet fleet, where no
// other append tells that the log is fast.
func TestLogSilentToTheWriterOfAQuietFleet(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 2, time.Millisecond)
		run.start = time.Now()
		run.log.appendTime = func(time.Time) time.Duration { return fastAppendTime }
		const shard = 1
		writer, requester := run.ownerAndRequester(shard)
		run.log.silentTo = func(node string, _ time.Time) bool { return node == writer.settings.Name }
		run.turns["<turn-0>"] = &fleetTurn{shard: shard, origin: requester.settings.Name, asked: time.Now()}
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		err := requester.recorder.Record(ctx, shard, namedTurn("<turn-0>"))
		t.Logf("took %v", time.Since(run.start))
		if err != nil {
			t.Errorf("not recorded: %v", err)
		}
		time.Sleep(20 * time.Second)
	})
}

// onePartitionLog is a log of which one partition does not respond, or refuses, to anyone.
type onePartitionLog struct {
	durable.Log
	number  int
	refuses bool
	from    time.Time
}

func (log *onePartitionLog) Append(ctx context.Context, partition durable.Partition, records [][]byte, condition durable.Condition) (durable.AppendResult, error) {
	if partition.Number == log.number && !time.Now().Before(log.from) {
		if log.refuses {
			time.Sleep(time.Millisecond)
			return durable.AppendResult{}, durable.ErrUnavailable
		}
		<-ctx.Done()
		return durable.AppendResult{}, ctx.Err()
	}
	return log.Log.Append(ctx, partition, records, condition)
}

func (log *onePartitionLog) Read(ctx context.Context, partition durable.Partition, from int64, wait time.Duration) (durable.Batch, error) {
	if partition.Number == log.number && !time.Now().Before(log.from) {
		if log.refuses {
			return durable.Batch{}, durable.ErrUnavailable
		}
		<-ctx.Done()
		return durable.Batch{}, ctx.Err()
	}
	return log.Log.Read(ctx, partition, from, wait)
}

func TestOnePartitionSilentOrRefusing(t *testing.T) {
	for name, refuses := range map[string]bool{"silent": false, "refusing": true} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				run := newFleet(t, 84, time.Millisecond)
				run.log.appendTime = func(time.Time) time.Duration { return fastAppendTime }
				for _, node := range run.nodes {
					log := &onePartitionLog{Log: run.logOf(node), number: 3, refuses: refuses, from: run.start}
					recordIn(node, log)
				}
				run.play(1, 6*time.Second)
				run.expectNoneLost(t, 0, 250*time.Millisecond, time.Second, 2*time.Second, 3*time.Second, 6*time.Second)
			})
		})
	}
}

// Guards against a recording from memory that is taken for a fast append of a slow log.
func TestARememberedRecordingIsNotAFastAppend(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 2, time.Millisecond)
		run.start = time.Now()
		const shard = 1
		_, requester := run.ownerAndRequester(shard)
		run.turns["<turn-0>"] = &fleetTurn{shard: shard, origin: requester.settings.Name, asked: time.Now()}
		turn := namedTurn("<turn-0>")
		if err := requester.recordInGroup(context.Background(), shard, turn); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		asked := time.Now()
		if err := requester.recordInGroup(context.Background(), shard, turn); err != nil {
			t.Fatal(err)
		}
		if requester.logHealth.FastAppendSince(asked.Add(-reportTolerance)) || !requester.logHealth.lastFastAppend.isZero() {
			t.Error("a recording from memory was told as a fast append while every append takes 240 ms")
		}
		time.Sleep(20 * time.Second)
	})
}

// Guards against a turn that is acknowledged although the log has another one of the same ID.
func TestAnAcknowledgedTurnIsInTheLog(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 2, time.Millisecond)
		run.log.appendTime = func(time.Time) time.Duration { return fastAppendTime }
		const shard = 1
		_, requester := run.ownerAndRequester(shard)
		run.turns["<turn-0>"] = &fleetTurn{shard: shard, origin: requester.settings.Name, asked: time.Now()}
		for _, output := range []string{"first output", "other output"} {
			turn := namedTurn("<turn-0>")
			turn.Output = []byte(output)
			if err := requester.recorder.Record(context.Background(), shard, turn); err != nil {
				t.Fatal(err)
			}
			batch, _ := run.log.Memory.Read(context.Background(), durable.Partition{Topic: history.Topic, Number: shard}, 0, 0)
			if !bytes.Contains(bytes.Join(batch.Records, nil), []byte(output)) {
				t.Errorf("%q is acknowledged and not in the log", output)
			}
		}
		time.Sleep(20 * time.Second)
	})
}

// Guards against turns lost with a writer that freezes while it has them, in a slow log.
func TestWritersFreezeOneAfterAnother(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 84, time.Millisecond)
		go func() {
			for index := range 4 {
				time.Sleep(time.Until(run.start.Add(time.Duration(index+1) * time.Second)))
				run.mutex.Lock()
				run.frozen[run.owners[index*3].settings.Name] = true
				run.mutex.Unlock()
			}
		}()
		run.play(2, 6*time.Second)
		run.expectNoneLost(t, 0, 250*time.Millisecond, time.Second, 2*time.Second, 3*time.Second, 6*time.Second)
	})
}

// One node alone, and two, in a slow log.
func TestSmallFleetsInASlowLog(t *testing.T) {
	for _, nodeCount := range []int{1, 2} {
		inVirtualTime(t, func(t *testing.T) {
			run := newFleet(t, nodeCount, time.Millisecond)
			run.play(3, 6*time.Second)
			if lost := run.report(t, 0, time.Second, 3*time.Second, 6*time.Second); lost > 0 {
				t.Errorf("%d nodes: %d turns not recorded within %v", nodeCount, lost, callerTimeout)
			}
		})
	}
}
