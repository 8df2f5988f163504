package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// Counts the turns lost where the log is silent to one owner and the fleet records few turns: a requester
// learns that the log is fast only from other turns' appends.
func TestLogSilentToOneWriterWithFewTurns(t *testing.T) {
	for _, nodeCount := range []int{2, 3, 12} {
		for _, perSecond := range []int{1, 5, 20} {
			t.Run(fmt.Sprintf("%d nodes, %d turns per second", nodeCount, perSecond), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					run := newFleet(t, nodeCount, time.Millisecond)
					run.start = time.Now()
					run.log.appendTime = func(time.Time) time.Duration { return fastAppendTime }
					cut := run.owners[3].settings.Name
					run.log.silentTo = func(node string, _ time.Time) bool { return node == cut }
					random := rand.New(rand.NewPCG(1, 1))
					ctx, stop := context.WithCancel(context.Background())
					run.gossip(ctx, random)
					var group sync.WaitGroup
					lost, ofCut := 0, 0
					for number := range 20 * perSecond {
						name := fmt.Sprintf("<turn-%d>", number)
						shard, origin := random.IntN(slowLogShards), run.nodes[random.IntN(nodeCount)]
						if origin.settings.Name == cut { // its own callers are another matter
							continue
						}
						run.mutex.Lock()
						run.turns[name] = &fleetTurn{shard: shard, origin: origin.settings.Name, asked: time.Now()}
						run.mutex.Unlock()
						if run.owners[shard].settings.Name == cut {
							ofCut++
						}
						group.Go(func() {
							bounded, cancel := context.WithTimeout(context.Background(), callerTimeout)
							defer cancel()
							if origin.recorder.Record(bounded, shard, namedTurn(name)) != nil {
								run.mutex.Lock()
								lost++
								run.mutex.Unlock()
							}
						})
						time.Sleep(time.Second / time.Duration(perSecond))
					}
					group.Wait()
					stop()
					if lost > 0 {
						t.Errorf("%d turns lost, of %d whose owner the log is silent to", lost, ofCut)
					}
					time.Sleep(20 * time.Second)
				})
			})
		}
	}
}
