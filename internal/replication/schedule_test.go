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
	// schedulesEnvironment asks for a longer run, seedEnvironment for the first seed.
	schedulesEnvironment = "REPLICATION_SCHEDULES"
	seedEnvironment      = "REPLICATION_SEED"
	defaultSchedules     = 150
	stormIntensity       = 5
	faultyTime           = 25 * time.Second
	healedTime           = 20 * time.Second
	// settleTime lets the members apply all, with no new proposals.
	settleTime = 3 * time.Second
	// finalProposals are made after the healing and must all commit.
	finalProposals = 3
)

func environmentNumber(name string, otherwise int) int {
	number, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return number
}

// drawRates draws what goes wrong in a schedule, and how often. One in two is a
// storm, in which leaders seldom last long.
func drawRates(random *rand.Rand) faultRates {
	intensity := 1.0
	if random.Intn(2) == 0 {
		intensity = stormIntensity
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
		drop:      chance(0.3),
		duplicate: chance(0.3),
		longDelay: chance(0.1),
		pause:     often(0.4),
		cut:       often(0.4),
		restart:   chance(0.4),
		order:     often(0.5),
	}
}

// act lets faults and the host's orders happen at a process's tick.
func (w *world) act(node *process) {
	happens := func(perSecond float64) bool {
		return w.random.Float64() < perSecond*tickInterval.Seconds()
	}
	if happens(w.rates.cut) {
		w.cutOff(node)
	}
	if happens(w.rates.pause) {
		node.pausedUntil = w.now + time.Duration(w.random.Int63n(int64(3*time.Second)))
	}
	if happens(w.rates.cut / 2) {
		w.storeDownUntil = w.now + time.Duration(w.random.Int63n(int64(8*time.Second)))
	}
	if happens(w.rates.restart) {
		w.restart(node)
	}
	if node.replica.Role() != replication.RoleLeader {
		return
	}
	if happens(w.rates.order) {
		w.order(node)
	}
	if w.now >= w.storeDownUntil && w.random.Intn(2) == 0 {
		w.archive(node)
	}
	w.propose(node)
}

// cutOff cuts a process's zone from one other or, half of the time, from all.
func (w *world) cutOff(node *process) {
	if w.random.Intn(2) == 0 {
		w.cutZones(node.zone, w.processes[w.random.Intn(len(w.processes))].zone)
		return
	}
	for _, other := range w.processes {
		w.cutZones(node.zone, other.zone)
	}
}

// order is a transfer of the leadership, or a change of the group's processes.
func (w *world) order(node *process) {
	now := node.clock(w.now)
	members := node.replica.Members()
	other := w.processes[w.random.Intn(len(w.processes))]
	switch w.random.Intn(3) {
	case 0:
		_ = node.replica.TransferLeadership(now, "")
	case 1:
		if len(members) == w.config.GroupSize {
			_ = node.replica.Admit(now, other.replica.Self())
		}
	case 2:
		if len(members) > w.config.GroupSize {
			_ = node.replica.Remove(now, members[w.random.Intn(len(members))].Incarnation)
		}
	}
}

func (w *world) propose(node *process) {
	if w.quiet {
		return
	}
	for range w.random.Intn(4) {
		w.proposals++
		data := fmt.Appendf(nil, "%s/%d", node.name, w.proposals)
		_, _ = node.replica.Propose(node.clock(w.now), data)
	}
}

// converged tells whether every member has applied all that was committed.
func (w *world) converged() bool {
	applied := 0
	for _, member := range w.committedMembers {
		for _, node := range w.processes {
			if node.replica.Self().Incarnation == member.Incarnation && node.state.index == w.lastIndex {
				applied++
			}
		}
	}
	return applied == len(w.committedMembers)
}

// proposeFinally proposes at the lease holder and returns the last index.
func (w *world) proposeFinally() uint64 {
	last := uint64(0)
	for _, node := range w.processes {
		for range finalProposals {
			index, err := node.replica.Propose(node.clock(w.now), []byte(node.name))
			if err == nil {
				last = index
			}
		}
	}
	return last
}

// playSchedule runs one schedule and returns its world with any failure.
func playSchedule(seed int64) *world {
	random := rand.New(rand.NewSource(seed))
	zones := []string{"a", "b", "c", "d"}[:3+random.Intn(2)]
	w := newWorld(seed, zones, drawRates(random))
	w.run(faultyTime)
	w.heal()
	w.storeDownUntil = 0
	w.run(faultyTime + healedTime)
	last := w.proposeFinally()
	w.check(last > 0, "no lease holder after the healing")
	w.run(faultyTime + healedTime + time.Second)
	w.check(w.lastIndex >= last, "final proposals are not committed")
	w.check(len(w.committedMembers) >= w.config.GroupSize, "group is left with %d members", len(w.committedMembers))
	w.quiet = true
	w.run(w.now + settleTime)
	w.check(w.converged(), "members have not applied the same")
	return w
}

var _ = Describe("Replicas on a faulty network", func() {
	It("keeps one leader an epoch, one lease and every committed entry", func() {
		schedules := environmentNumber(schedulesEnvironment, defaultSchedules)
		first := environmentNumber(seedEnvironment, 1)
		start := time.Now()
		totals := checker{}
		for seed := first; seed < first+schedules; seed++ {
			w := playSchedule(int64(seed))
			Expect(w.failure).To(BeEmpty(), "seed %d", seed)
			totals.lastIndex += w.lastIndex
			totals.restarts += w.restarts
			totals.elections += w.elections
			totals.changes += w.changes
			totals.snapshots += w.snapshots
		}
		GinkgoWriter.Printf("schedules %d in %s: %d entries, %d elections, %d restarts, %d member changes, %d snapshot chunks\n",
			schedules, time.Since(start).Round(time.Millisecond),
			totals.lastIndex, totals.elections, totals.restarts, totals.changes, totals.snapshots)
	})
})
