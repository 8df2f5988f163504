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
	// deathTime is how long a killed process stays silent: to the end.
	deathTime = 24 * time.Hour
	// afterProof is for how long the old group is watched.
	afterProof = 20 * time.Second
	// archiveBytes is the most that one record of the stream holds here.
	archiveBytes = 4 << 10
)

func (w *world) archiveClaim(group replication.Group) {
	record, err := replication.EncodeClaim(replication.Claim{
		Shard: shardNumber, Generation: generation, Members: group.Members, ID: "first",
	})
	w.check(err == nil, "no claim: %v", err)
	w.stream = append(w.stream, record)
}

// archive appends committed entries to the stream; one answer in four is lost.
func (w *world) archive(node *process) {
	entries := node.replica.CommittedEntries(node.replica.ArchivedIndex(), archiveBytes)
	if len(entries) == 0 {
		return
	}
	record, err := replication.EncodeEntries(shardNumber, generation, entries)
	w.check(err == nil, "no record: %v", err)
	w.stream = append(w.stream, record)
	if w.random.Intn(4) > 0 {
		node.replica.SetArchived(entries[len(entries)-1].Index)
	}
}

// readStream reads the stream from its start and checks that it holds what was
// committed, in order.
func (w *world) readStream() *replication.Archive {
	archive := replication.NewArchive(shardNumber)
	for _, record := range w.stream {
		entries, err := archive.Read(record)
		w.check(err == nil, "bad record: %v", err)
		for _, entry := range entries {
			w.check(entry.Epoch == w.entries[entry.Index].Epoch, "stream has another entry %d", entry.Index)
		}
	}
	return archive
}

// killAndClaim kills random processes until the stream's reader may rebuild the
// group, then watches that the old group commits no more.
func killAndClaim(seed int64) (*world, bool) {
	random := rand.New(rand.NewSource(seed))
	rates := drawRates(random)
	rates.order = stormIntensity * random.Float64()
	w := newWorld(seed, []string{"a", "b", "c", "d", "e"}, rates)
	w.run(time.Duration(random.Int63n(int64(faultyTime))) + time.Second)
	killed := map[string]bool{}
	isGone := func(name string) bool { return killed[name] }
	for _, victim := range random.Perm(len(w.processes))[:1+random.Intn(4)] {
		node := w.processes[victim]
		node.pausedUntil = w.now + deathTime
		killed[node.name] = true
		w.run(w.now + time.Duration(random.Int63n(int64(2*time.Second))))
	}
	_, err := w.readStream().NextClaim("rebuilt", nil, isGone)
	if err != nil {
		return w, false
	}
	w.heal()
	w.run(w.now + w.config.RebuildDelay())
	committed := w.lastIndex
	w.check(w.leaseHolder() == nil, "a lease is held after the rebuild's delay")
	w.run(w.now + afterProof)
	w.check(w.lastIndex == committed, "the old group commits after the proof")
	return w, true
}

var _ = Describe("The rebuilding of a group", func() {
	It("is claimed only when the old group can commit nothing more", func() {
		claimed := 0
		for seed := range int64(environmentNumber(schedulesEnvironment, rebuildSchedules)) {
			w, claims := killAndClaim(seed)
			Expect(w.failure).To(BeEmpty(), "seed %d", seed)
			if claims {
				claimed++
			}
		}
		GinkgoWriter.Printf("rebuilds claimed: %d\n", claimed)
		Expect(claimed).To(BeNumerically(">", 0))
	})
})
