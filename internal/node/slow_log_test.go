package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/ownership"
)

var sampleTimes = []time.Duration{60 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond,
	time.Second, 1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, 3 * time.Second, 3500 * time.Millisecond, 4 * time.Second, 5 * time.Second}

// Guards against programs lost in the first seconds of a slow log: one append per partition at a
// time, with all that waits behind it, would record every turn within two appends.
func TestTurnsAreRecordedFromTheMomentTheLogBecomesSlow(t *testing.T) {
	for _, transit := range []time.Duration{time.Millisecond, 10 * time.Millisecond} {
		for _, nodeCount := range []int{48, 84} {
			t.Run(fmt.Sprintf("%d nodes, %v apart", nodeCount, transit), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					run := newFleet(t, nodeCount, transit)
					run.sampleKnowledge(t, sampleTimes...)
					run.play(1, 6*time.Second)
					run.expectNoneLost(t, 0, 60*time.Millisecond, 100*time.Millisecond, 250*time.Millisecond, time.Second, 2*time.Second, 3*time.Second, 4*time.Second, 6*time.Second)
				})
			})
		}
	}
}

// Guards against the same losses where only appends are slow: a read at once does not tell a lost
// answer from a slow append then.
func TestTurnsAreRecordedInALogWithSlowAppendsAndFastReads(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 84, time.Millisecond)
		run.log.fastReads = true
		run.play(1, 6*time.Second)
		run.expectNoneLost(t, 0, 250*time.Millisecond, time.Second, 2*time.Second, 3*time.Second, 6*time.Second)
	})
}

// Guards against turns that wait at a group writer to which the log does not respond while it is fast
// for the others.
func TestTurnsAreRecordedWhenTheLogIsSilentToAGroupWriter(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 84, time.Millisecond)
		run.log.appendTime = func(time.Time) time.Duration { return fastAppendTime }
		cut := run.owners[3].settings.Name
		run.log.silentTo = func(node string, at time.Time) bool { return node == cut && !at.Before(run.start) }
		run.play(1, 6*time.Second)
		run.expectNoneLost(t, 0, 250*time.Millisecond, time.Second, 2*time.Second, 3*time.Second, 6*time.Second)
	})
}

// Guards against the same losses where group writers don't answer, or where nodes disagree about the
// owner of a shard. The candidates that take their place need one recordTimeout more.
func TestTurnsAreRecordedInASlowLogWhenGroupWritersFail(t *testing.T) {
	const nodeCount = 84
	for name, harm := range map[string]func(run *fleet){
		"two owners frozen from the beginning": func(run *fleet) {
			run.frozen[run.owners[3].settings.Name] = true
			run.frozen[run.owners[7].settings.Name] = true
		},
		"half of the nodes know another owner": func(run *fleet) {
			for index, node := range run.nodes {
				node.programs.mutex.Lock()
				for shard := range slowLogShards {
					if index%2 == 0 {
						node.programs.owners[shard] = ownership.Owner{Node: run.nodes[0].members.candidates(shard)[1].Name, Epoch: 1}
					}
				}
				node.programs.mutex.Unlock()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				run := newFleet(t, nodeCount, time.Millisecond)
				go func() {
					time.Sleep(time.Until(run.start))
					run.mutex.Lock()
					defer run.mutex.Unlock()
					harm(run)
				}()
				run.sampleKnowledge(t, sampleTimes...)
				run.play(1, 6*time.Second)
				run.expectNoneLost(t, 0, 250*time.Millisecond, time.Second, 2*time.Second, 3*time.Second, 4*time.Second, 6*time.Second)
			})
		})
	}
}

// Guards against turns lost with the responses of a fast log, of which 3 in 10 are lost here: bounds
// for a slow log must not delay a further append to this one.
func TestTurnsAreRecordedInALogThatLosesAnswers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 84, time.Millisecond)
		run.log.appendTime = func(time.Time) time.Duration { return fastAppendTime }
		random := rand.New(rand.NewPCG(7, 7))
		run.log.answerLost = func(at time.Time) bool { return !at.Before(run.start) && random.IntN(10) < 3 }
		run.sampleKnowledge(t, sampleTimes...)
		run.play(1, 6*time.Second)
		run.expectNoneLost(t, 0, 250*time.Millisecond, time.Second, 2*time.Second, 3*time.Second, 6*time.Second)
	})
}

// Guards against an observation that seems newer with each repetition of a request: nodes then
// believe that an append was fast since the log became slow, and send hedges that add to its queues.
func TestARepeatedGroupRelayDoesNotRenewWhatItObserved(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 2, time.Millisecond)
		run.start = time.Now()
		const shard = 1
		writer, requester := run.ownerAndRequester(shard)
		run.log.free[durable.Partition{Topic: history.Topic, Number: shard}] = run.start.Add(partitionQueueLimit)
		requester.logHealth.observe(durable.OperationAppend, fastAppendTime, nil)
		time.Sleep(fastAppendTime)
		requester.logHealth.ObserveSlowAppend(time.Now())
		run.turns["<turn-0>"] = &fleetTurn{shard: shard, origin: requester.settings.Name, asked: time.Now()}
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		go func() {
			_ = requester.recorder.Record(ctx, shard, namedTurn("<turn-0>"))
		}()
		time.Sleep(time.Second)
		// The one fast append ended at the start; ages are whole milliseconds and travel for one more.
		if tolerance := 10 * time.Millisecond; writer.logHealth.FastAppendSince(run.start.Add(tolerance)) {
			t.Errorf("after 1 s the writer believes that an append ended %v ago and was fast", writer.logHealth.lastFastAppend.age(time.Now()))
		}
		time.Sleep(20 * time.Second)
	})
}

// Guards against the same where nodes tell each other: a time that gains a transit with each hop never
// gets old in a fleet of many hops.
func TestWhatNodesTellOfTheLogDoesNotGetNewer(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const transit = 10 * time.Millisecond
		run := newFleet(t, 84, transit)
		run.nodes[0].logHealth.observe(durable.OperationAppend, fastAppendTime, nil)
		ended := time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		run.gossip(ctx, rand.New(rand.NewPCG(1, 0)))
		time.Sleep(3 * time.Second)
		cancel()
		latest := time.Duration(0)
		for _, node := range run.nodes {
			if !node.logHealth.lastFastAppend.isZero() {
				latest = max(latest, time.Since(ended)-node.logHealth.lastFastAppend.age(time.Now()))
			}
		}
		// A slow append counts from 100 ms on: an error as large takes a slow log for a fast one.
		if latest >= durable.SlowAppend {
			t.Errorf("3 s after an append some node believes that it ended %v later than it did", latest)
		}
		time.Sleep(time.Second)
	})
}

// Guards against a turn that is appended again for its requester's next request, when the append ended
// between two of them. With an append as long as pendingReplyAfter and one way to the writer, it is
// appended for as long as its requester asks, and never acknowledged.
func TestARecordingThatEndedBetweenRequestsIsNotMadeAgain(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		run := newFleet(t, 2, 10*time.Millisecond)
		run.start = time.Now()
		const shard = 1
		_, requester := run.ownerAndRequester(shard)
		requester.logHealth.ObserveSlowAppend(time.Now())
		run.turns["<turn-0>"] = &fleetTurn{shard: shard, origin: requester.settings.Name, asked: time.Now()}
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		defer cancel()
		err := requester.recorder.Record(ctx, shard, namedTurn("<turn-0>"))
		if err != nil {
			t.Errorf("turn not recorded: %v", err)
		}
		time.Sleep(20 * time.Second)
		run.log.mutex.Lock()
		defer run.log.mutex.Unlock()
		if len(run.log.calls) > 1 {
			t.Errorf("a turn was appended %d times by its one writer", len(run.log.calls))
		}
	})
}

// Guards against a group writer that adds to the queue it waits in: while appends are slow, one of its
// appends waits for one other of its own at most, and none goes to a neighbour's partition.
func TestGroupWriterDoesNotQueueItsAppendsWhileTheLogIsSlow(t *testing.T) {
	// The partition holds some appends of other nodes, from before they knew that the log is slow.
	for _, foreign := range []int{0, 3} {
		t.Run(strconv.Itoa(foreign)+" appends before it", func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				run := newFleet(t, 4, time.Millisecond)
				run.start = time.Now()
				const shard = 1
				partition := durable.Partition{Topic: history.Topic, Number: shard}
				run.log.free[partition] = time.Now().Add(time.Duration(foreign) * slowAppendTime)
				for _, node := range run.nodes {
					node.logHealth.ObserveSlowAppend(time.Now())
				}
				ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
				defer cancel()
				var group sync.WaitGroup
				// A partition's share of the turns, for one second.
				for number := range fleetTurnsPerSecond / slowLogShards {
					name := fmt.Sprintf("<turn-%d>", number)
					node := run.nodes[number%len(run.nodes)]
					run.mutex.Lock()
					turn := &fleetTurn{shard: shard, origin: node.settings.Name, asked: time.Now()}
					run.turns[name] = turn
					run.mutex.Unlock()
					group.Go(func() {
						turn.err = node.recorder.Record(ctx, shard, namedTurn(name))
						turn.recorded = time.Since(turn.asked)
					})
					time.Sleep(time.Second * slowLogShards / fleetTurnsPerSecond)
				}
				group.Wait()
				time.Sleep(20 * time.Second)
				if run.report(t, 2*time.Second) > 0 {
					t.Error("turns not recorded")
				}
				for _, call := range run.log.calls {
					t.Logf("%v: %s to partition %d, taken %v later: %d turns, %v", call.sent.Sub(run.start).Round(time.Millisecond), call.node, call.number,
						call.taken.Sub(call.sent).Round(time.Millisecond), len(call.turns), call.reasons)
					ahead := time.Duration(foreign)*slowAppendTime - call.sent.Sub(run.start)
					if call.taken.Sub(call.sent) > max(ahead, 0)+slowAppendTime || call.number != shard || call.onlyRepeats {
						t.Errorf("append at %v to partition %d, taken %v later, only repeats: %v", call.sent.Sub(run.start), call.number, call.taken.Sub(call.sent), call.onlyRepeats)
					}
				}
			})
		})
	}
}
