package replication_test

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/replication"
)

const (
	rebuildSchedules = 150
	// killDuration outlasts the schedule.
	killDuration = 24 * time.Hour
	// observationTime is how long the previous group is observed after the rebuild delay.
	observationTime = 20 * time.Second
	// archiveBytes limits the size of an archive record in these tests.
	archiveBytes = 4 << 10
)

func (sim *simulation) archiveClaim(group replication.Group) {
	record, err := replication.EncodeClaim(replication.Claim{
		Shard: shardNumber, Generation: generation, Members: group.Members, ID: "first",
	})
	sim.check(err == nil, "encoding claim: %v", err)
	sim.stream = append(sim.stream, record)
}

// archive appends committed entries to the stream. A quarter of the responses are
// lost.
func (sim *simulation) archive(node *process) {
	entries := node.replica.CommittedEntries(node.replica.ArchivedIndex(), archiveBytes)
	if len(entries) == 0 {
		return
	}
	record, err := replication.EncodeEntries(shardNumber, generation, entries)
	sim.check(err == nil, "encoding entries: %v", err)
	sim.stream = append(sim.stream, record)
	if sim.random.Intn(4) > 0 {
		node.replica.SetArchived(entries[len(entries)-1].Index)
	}
}

// readStream reads the stream from its start and checks it against the committed
// entries.
func (sim *simulation) readStream() *replication.Archive {
	archive := replication.NewArchive(shardNumber)
	for _, record := range sim.stream {
		entries, err := archive.Apply(record)
		sim.check(err == nil, "reading record: %v", err)
		for _, entry := range entries {
			sim.check(entry.Epoch == sim.entries[entry.Index].Epoch, "stream has a different entry at index %d", entry.Index)
		}
	}
	return archive
}

// killAndRebuild kills random processes. If the stream then allows a claim, it checks
// that the previous group commits nothing more.
func killAndRebuild(seed int64) (*simulation, bool) {
	random := rand.New(rand.NewSource(seed))
	rates := drawRates(random)
	rates.adminOperation = highFaultIntensity * random.Float64()
	sim := newSimulation(seed, []string{"a", "b", "c", "d", "e"}, rates)
	sim.run(time.Duration(random.Int63n(int64(faultyTime))) + time.Second)
	killed := map[string]bool{}
	isGone := func(name string) bool { return killed[name] }
	for _, victim := range random.Perm(len(sim.processes))[:1+random.Intn(4)] {
		node := sim.processes[victim]
		node.pausedUntil = sim.now + killDuration
		killed[node.name] = true
		sim.run(sim.now + time.Duration(random.Int63n(int64(2*time.Second))))
	}
	_, err := sim.readStream().NextClaim("rebuilt", nil, isGone)
	if err != nil {
		return sim, false
	}
	sim.heal()
	sim.run(sim.now + sim.config.RebuildDelay())
	committed := sim.lastIndex
	sim.check(sim.leaseHolder() == nil, "a lease is held after the rebuild delay")
	sim.run(sim.now + observationTime)
	sim.check(sim.lastIndex == committed, "the previous group committed entries after the rebuild delay")
	return sim, true
}

var _ = Describe("Rebuilding a group", func() {
	It("is allowed only if the previous group can commit nothing more", func() {
		claimed := 0
		for seed := range int64(environmentNumber(schedulesEnvironment, rebuildSchedules)) {
			sim, claims := killAndRebuild(seed)
			Expect(sim.failure).To(BeEmpty(), "seed %d", seed)
			if claims {
				claimed++
			}
		}
		GinkgoWriter.Printf("rebuilds claimed: %d\n", claimed)
		Expect(claimed).To(BeNumerically(">", 0))
	})
})
