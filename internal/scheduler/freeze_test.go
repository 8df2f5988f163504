package scheduler

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/outside"
)

const (
	// leavingBound is how long an engine may get new calls after it has left; listLag is the lag
	// of the machine list.
	leavingBound = 3 * time.Second
	listLag      = 300 * time.Millisecond
	// freezeLength exceeds leavingBound; slowListDelay is the latency of reading the machine
	// list after the freeze.
	freezeLength  = 3500 * time.Millisecond
	slowListDelay = 300 * time.Millisecond
)

// leave marks an engine as leaving in the machine list, which each process receives after its
// own delay.
func (cluster *testCluster) leave(engine string, delay func(process string) time.Duration) {
	for index := range cluster.machines {
		if cluster.machines[index].ID == engine {
			cluster.machines[index].State = outside.MachineLeaving
		}
	}
	for _, name := range sortedKeys(cluster.nodes) {
		node := cluster.nodes[name]
		cluster.after(delay(name), func() {
			node.step(MachinesListed{Machines: cluster.machines, RequestedAt: cluster.now})
		})
	}
}

// Guards against a resumed scheduler that sends a call to an engine that has left during the
// freeze, because it still uses the machine list from before.
var _ = Describe("a scheduler that was frozen while an engine left", func() {
	for _, frozen := range [][]string{{"s0"}, {"s1"}, {"s2"}, {"s0", "s1", "s2"}} {
		It(fmt.Sprintf("sends it no call after leavingBound: %v", frozen), func() {
			for seed := int64(60); seed < 70; seed++ {
				cluster := newTestCluster(seed, 3)
				var clients []*testClient
				for number := range 8 {
					client := cluster.addClient(fmt.Sprintf("p%d", number), 40)
					client.maximumThinkTime = 50 * time.Millisecond
					clients = append(clients, client)
				}
				cluster.runFor(4 * time.Second)
				left := cluster.now
				isFrozen := make(map[string]bool)
				for _, name := range frozen {
					isFrozen[name] = true
					node := cluster.nodes[name]
					node.paused = true
					cluster.after(freezeLength, node.resume)
				}
				cluster.listDelay = slowListDelay
				cluster.leave("e0", func(process string) time.Duration {
					if isFrozen[process] {
						return freezeLength + slowListDelay
					}
					return listLag
				})
				Expect(cluster.runUntil(120*time.Second, func() bool { return allFinished(clients) })).To(BeTrue(), "seed %d", seed)
				Expect(cluster.engines["e0"].lastCall).To(BeNumerically("<=", left+leavingBound+listLag), "seed %d", seed)
				for _, client := range clients {
					Expect(client.violations()).To(BeEmpty(), "seed %d", seed)
				}
			}
		})
	}
})

func allFinished(clients []*testClient) bool {
	for _, client := range clients {
		if !client.finished {
			return false
		}
	}
	return true
}
