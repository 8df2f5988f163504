package scheduler

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/outside"
)

const (
	// leavingBound is how long an engine may get new calls after it has left, listLag how
	// late the machine list shows that.
	leavingBound = 3 * time.Second
	listLag      = 300 * time.Millisecond
	// freezeLength ends after the bound, and slowList is how long a reading takes then.
	freezeLength = 3500 * time.Millisecond
	slowList     = 300 * time.Millisecond
)

// leave takes an engine out of the machine list, which every process reads as late as its
// own delay says.
func (cluster *testCluster) leave(engine string, delay func(process string) time.Duration) {
	for index := range cluster.machines {
		if cluster.machines[index].ID == engine {
			cluster.machines[index].State = outside.MachineLeaving
		}
	}
	for _, name := range sortedKeys(cluster.nodes) {
		node := cluster.nodes[name]
		cluster.after(delay(name), func() {
			node.step(MachinesListed{Machines: cluster.machines, AskedAt: cluster.now})
		})
	}
}

// A scheduler that was frozen while an engine left sent a call there, in a run of
// rehearsal/scenarios/ci/freeze.yaml and, with later wakes, in one of three runs of
// frozen-past-leaving.yaml. It had woken 0.05 s before and sent by a list of 4.9 s of age;
// the reading that told of the leaving was through 0.02 s later (call_sent with
// list_age=4.918s, then machine_list_changed).
var _ = Describe("a scheduler that was frozen while an engine left", func() {
	for _, frozen := range [][]string{{"s0"}, {"s1"}, {"s2"}, {"s0", "s1", "s2"}} {
		It(fmt.Sprintf("sends it no call after its bound: %v", frozen), func() {
			for seed := int64(60); seed < 70; seed++ {
				cluster := newTestCluster(seed, 3)
				var clients []*testClient
				for number := range 8 {
					client := cluster.addClient(fmt.Sprintf("p%d", number), 40)
					client.think = 50 * time.Millisecond
					clients = append(clients, client)
				}
				cluster.runFor(4 * time.Second)
				left := cluster.now
				isFrozen := make(map[string]bool)
				for _, name := range frozen {
					isFrozen[name] = true
					node := cluster.nodes[name]
					node.paused = true
					cluster.after(freezeLength, node.wake)
				}
				cluster.listDelay = slowList
				cluster.leave("e0", func(process string) time.Duration {
					if isFrozen[process] {
						return freezeLength + slowList
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
