package scheduler

import (
	"fmt"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/shard"
)

const (
	// ciSchedules is the number of schedules in CI; SCHEDULER_SCHEDULES overrides it.
	ciSchedules       = 12
	schedulesVariable = "SCHEDULER_SCHEDULES"
	faultTime         = 20 * time.Second
	completionTime    = 90 * time.Second
	faultStart        = 2500 * time.Millisecond
	// replaceWait bounds the wait until everything is archived; rebuildTime is the time in which
	// the groups must be rebuilt.
	replaceWait       = time.Second
	rebuildTime       = 15 * time.Second
	faultInterval     = 300 * time.Millisecond
	recoveryTime      = 3 * time.Second
	scheduleClients   = 6
	scheduleTurns     = 60
	scheduleThinkTime = 300 * time.Millisecond
	scheduleBudget    = 5_000
)

func scheduleCount() int {
	if asked, err := strconv.Atoi(os.Getenv(schedulesVariable)); err == nil {
		return asked
	}
	return ciSchedules
}

// faults injects one random fault at a time and reverts it later. A fault of a process affects
// only one process, so that every group keeps a majority, except that all processes may be
// replaced at once if everything is archived. The log may be unavailable, or lose appends or
// acknowledgements.
type faults struct {
	cluster *testCluster
	busy    bool
}

func (faults *faults) inject() {
	cluster := faults.cluster
	if cluster.now > faultTime {
		return
	}
	cluster.after(faultInterval, faults.inject)
	if cluster.random.Intn(4) == 0 {
		cluster.crashEngine(fmt.Sprintf("e%d", cluster.random.Intn(2)))
	}
	if faults.busy {
		return
	}
	faults.busy = true
	names := sortedKeys(cluster.nodes)
	name := names[cluster.random.Intn(len(names))]
	length := time.Duration(cluster.random.Int63n(int64(3 * time.Second)))
	switch cluster.random.Intn(6) {
	case 5:
		faults.replaceAll()
	case 4:
		cluster.log.lost, cluster.log.lostAnswers = 0.2, 0.4
		faults.undo(length, func() { cluster.log.lost, cluster.log.lostAnswers = 0, 0 })
	case 0:
		cluster.nodes[name].dead = true
		faults.undo(length, func() { cluster.start(name) })
	case 1:
		node := cluster.nodes[name]
		node.paused = true
		faults.undo(length, node.resume)
	case 2:
		cluster.partitioned = func(from, to string) bool { return from == name || to == name }
		faults.undo(length, func() { cluster.partitioned = func(string, string) bool { return false } })
	case 3:
		cluster.log.down = true
		faults.undo(length, func() { cluster.log.down = false })
	}
}

// replaceAll replaces all processes at once when everything committed is archived. It gives up
// after replaceWait.
func (faults *faults) replaceAll() {
	cluster := faults.cluster
	end := cluster.now + replaceWait
	var try func()
	try = func() {
		switch {
		case cluster.archivedAll():
			cluster.replacements++
			cluster.replaceAll()
			cluster.after(rebuildTime, func() { faults.busy = false })
		case cluster.now > end:
			faults.busy = false
		default:
			cluster.after(testLatency, try)
		}
	}
	try()
}

// undo reverts the fault after a time, and allows the next one after the groups had time to
// recover.
func (faults *faults) undo(length time.Duration, end func()) {
	faults.cluster.after(length, func() {
		end()
		faults.cluster.after(recoveryTime, func() { faults.busy = false })
	})
}

// budgetViolation checks that money spent, reserved and granted is within the budget, over all
// shards. It reads the most advanced replica of each shard: others may still show reservations
// whose escrow is in use elsewhere.
func (cluster *testCluster) budgetViolation(budget uint64) string {
	key := shard.TierKey{Tenant: testTenant, Tier: testTier}
	total := uint64(0)
	for number := range testConfig("s0").Shards {
		host := cluster.furthest(number)
		if host == nil {
			continue
		}
		escrow := host.state.Escrow(key)
		total += uint64(escrow.Spent() + escrow.Reserved())
		if outstanding := uint64(host.state.Account(key).Outstanding()); outstanding > budget {
			return fmt.Sprintf("outstanding escrow %d exceeds the budget %d", outstanding, budget)
		}
	}
	if total > budget {
		return fmt.Sprintf("spent and reserved %d exceed the budget %d", total, budget)
	}
	return ""
}

// furthest returns the replica of a shard with the highest committed index.
func (cluster *testCluster) furthest(number uint32) *host {
	var found *host
	for _, name := range sortedKeys(cluster.nodes) {
		candidate := cluster.nodes[name].core.hosts[number]
		if candidate == nil {
			continue
		}
		if found == nil || candidate.replica.CommittedIndex() > found.replica.CommittedIndex() {
			found = candidate
		}
	}
	return found
}

// runSchedule runs one seeded fault schedule. It returns the violations and the number of times
// that all processes were replaced at once.
func runSchedule(seed int64) ([]string, int) {
	cluster := newTestCluster(seed, 4)
	cluster.callSteps = 20
	cluster.budget = scheduleBudget
	var clients []*testClient
	for number := range scheduleClients {
		client := cluster.addClient(fmt.Sprintf("p%d", number), scheduleTurns)
		client.maximumThinkTime = scheduleThinkTime
		clients = append(clients, client)
	}
	var found []string
	var check func()
	check = func() {
		if violation := cluster.budgetViolation(scheduleBudget); violation != "" && len(found) == 0 {
			found = append(found, violation)
		}
		cluster.after(20*time.Millisecond, check)
	}
	check()
	injector := &faults{cluster: cluster}
	cluster.after(faultStart, injector.inject)
	cluster.runUntil(faultTime+completionTime, func() bool {
		for _, client := range clients {
			if !client.finished {
				return false
			}
		}
		return true
	})
	for _, client := range clients {
		if !client.finished {
			found = append(found, fmt.Sprintf("%s did not finish: %d of %d calls", client.program, len(client.results), client.turns))
		}
		found = append(found, client.violations()...)
	}
	return found, cluster.replacements
}

var _ = Describe("scheduler under seeded faults", func() {
	It("keeps order, history, at-most-once and budgets", func() {
		replacements := 0
		for seed := int64(1); seed <= int64(scheduleCount()); seed++ {
			violations, replaced := runSchedule(seed)
			Expect(violations).To(BeEmpty(), "seed %d", seed)
			replacements += replaced
		}
		GinkgoWriter.Printf("all processes replaced at once: %d times\n", replacements)
		Expect(replacements).To(BeNumerically(">", 0))
	})
})
