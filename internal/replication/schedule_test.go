package replication_test

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/replication"
)

const (
	// schedulesEnvironment sets the number of schedules, seedEnvironment the first seed.
	schedulesEnvironment = "REPLICATION_SCHEDULES"
	seedEnvironment      = "REPLICATION_SEED"
	defaultSchedules     = 150
	highFaultIntensity   = 5
	faultyTime           = 25 * time.Second
	recoveryTime         = 20 * time.Second
	// settleTime lets the members apply all entries, without new proposals.
	settleTime = 3 * time.Second
	// finalProposals are made after the network has healed and must all commit.
	finalProposals = 3
)

func environmentNumber(name string, otherwise int) int {
	number, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return number
}

// drawRates chooses the fault rates of a schedule. Half of the schedules have high
// rates, under which leaders seldom last long.
func drawRates(random *rand.Rand) faultRates {
	intensity := 1.0
	if random.Intn(2) == 0 {
		intensity = highFaultIntensity
	}
	chance := func(highest float64) float64 {
		if random.Intn(2) == 0 {
			return 0
		}
		return highest * random.Float64()
	}
	often := func(highest float64) float64 {
		return intensity * chance(highest)
	}
	return faultRates{
		drop:           chance(0.3),
		duplicate:      chance(0.3),
		longDelay:      chance(0.1),
		pause:          often(0.4),
		partition:      often(0.4),
		restart:        chance(0.4),
		adminOperation: often(0.5),
	}
}

// injectFaults injects random faults and administrative operations at a process's tick.
func (sim *simulation) injectFaults(node *process) {
	happens := func(perSecond float64) bool {
		return sim.random.Float64() < perSecond*tickInterval.Seconds()
	}
	if happens(sim.rates.partition) {
		sim.partitionProcess(node)
	}
	if happens(sim.rates.pause) {
		node.pausedUntil = sim.now + time.Duration(sim.random.Int63n(int64(3*time.Second)))
	}
	if happens(sim.rates.partition / 2) {
		sim.archiveDownUntil = sim.now + time.Duration(sim.random.Int63n(int64(8*time.Second)))
	}
	if happens(sim.rates.restart) {
		sim.restart(node)
	}
	if node.replica.Role() != replication.RoleLeader {
		return
	}
	if happens(sim.rates.adminOperation) {
		sim.runAdminOperation(node)
	}
	if sim.now >= sim.archiveDownUntil && sim.random.Intn(2) == 0 {
		sim.archive(node)
	}
	sim.propose(node)
}

// partitionProcess separates a process's zone from another or, half of the time, all.
func (sim *simulation) partitionProcess(node *process) {
	if sim.random.Intn(2) == 0 {
		sim.partitionZones(node.zone, sim.processes[sim.random.Intn(len(sim.processes))].zone)
		return
	}
	for _, other := range sim.processes {
		sim.partitionZones(node.zone, other.zone)
	}
}

// runAdminOperation requests a leadership transfer or a membership change.
func (sim *simulation) runAdminOperation(node *process) {
	now := node.clock(sim.now)
	members := node.replica.Members()
	other := sim.processes[sim.random.Intn(len(sim.processes))]
	switch sim.random.Intn(3) {
	case 0:
		_ = node.replica.TransferLeadership(now, "")
	case 1:
		if len(members) == sim.config.GroupSize {
			_ = node.replica.Admit(now, other.replica.Self())
		}
	case 2:
		if len(members) > sim.config.GroupSize {
			_ = node.replica.Remove(now, members[sim.random.Intn(len(members))].Incarnation)
		}
	}
}

func (sim *simulation) propose(node *process) {
	if sim.proposalsStopped {
		return
	}
	for range sim.random.Intn(4) {
		sim.proposals++
		data := fmt.Appendf(nil, "%s/%d", node.name, sim.proposals)
		_, _ = node.replica.Propose(node.clock(sim.now), data)
	}
}

// converged reports whether every member has applied all committed entries.
func (sim *simulation) converged() bool {
	applied := 0
	for _, member := range sim.committedMembers {
		for _, node := range sim.processes {
			if node.replica.Self().Incarnation == member.Incarnation && node.state.index == sim.lastIndex {
				applied++
			}
		}
	}
	return applied == len(sim.committedMembers)
}

// proposeAfterHealing proposes at the lease holder and returns the last index.
func (sim *simulation) proposeAfterHealing() uint64 {
	last := uint64(0)
	for _, node := range sim.processes {
		for range finalProposals {
			index, err := node.replica.Propose(node.clock(sim.now), []byte(node.name))
			if err == nil {
				last = index
			}
		}
	}
	return last
}

// runSchedule runs one schedule and returns its simulation with any failure.
func runSchedule(seed int64) *simulation {
	random := rand.New(rand.NewSource(seed))
	zones := []string{"a", "b", "c", "d"}[:3+random.Intn(2)]
	sim := newSimulation(seed, zones, drawRates(random))
	sim.run(faultyTime)
	sim.heal()
	sim.archiveDownUntil = 0
	sim.run(faultyTime + recoveryTime)
	last := sim.proposeAfterHealing()
	sim.check(last > 0, "no lease holder after the network healed")
	sim.run(faultyTime + recoveryTime + time.Second)
	sim.check(sim.lastIndex >= last, "the final proposals are not committed")
	sim.check(len(sim.committedMembers) >= sim.config.GroupSize, "the group has only %d members", len(sim.committedMembers))
	sim.proposalsStopped = true
	sim.run(sim.now + settleTime)
	sim.check(sim.converged(), "not all members have applied all committed entries")
	return sim
}

var _ = Describe("Replicas on a faulty network", func() {
	It("have one leader per epoch, one lease holder, and keep every committed entry", func() {
		schedules := environmentNumber(schedulesEnvironment, defaultSchedules)
		first := environmentNumber(seedEnvironment, 1)
		start := time.Now()
		totals := checker{}
		for seed := first; seed < first+schedules; seed++ {
			sim := runSchedule(int64(seed))
			Expect(sim.failure).To(BeEmpty(), "seed %d", seed)
			totals.lastIndex += sim.lastIndex
			totals.restarts += sim.restarts
			totals.elections += sim.elections
			totals.changes += sim.changes
			totals.snapshots += sim.snapshots
		}
		GinkgoWriter.Printf("schedules %d in %s: %d entries, %d elections, %d restarts, %d member changes, %d snapshot chunks\n",
			schedules, time.Since(start).Round(time.Millisecond),
			totals.lastIndex, totals.elections, totals.restarts, totals.changes, totals.snapshots)
	})
})
