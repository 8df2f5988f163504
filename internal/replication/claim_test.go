package replication_test

import (
	"math/rand"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magpielug/magpielug/internal/replication"
)

func namedMembers(names ...string) []replication.Member {
	members := make([]replication.Member, len(names))
	for position, name := range names {
		members[position] = replication.Member{Incarnation: replication.Incarnation(name), Zone: name[:1]}
	}
	return members
}

func claimRecord(shard, generation uint32, id string, names ...string) []byte {
	record, err := replication.EncodeClaim(replication.Claim{
		Shard: shard, Generation: generation, Members: namedMembers(names...), ID: id,
	})
	Expect(err).NotTo(HaveOccurred())
	return record
}

func entriesRecord(shard, generation uint32, first, last uint64) []byte {
	entries := []replication.Entry{}
	for index := first; index <= last; index++ {
		entries = append(entries, replication.Entry{Index: index, Epoch: replication.MakeEpoch(generation, 1)})
	}
	record, err := replication.EncodeEntries(shard, generation, entries)
	Expect(err).NotTo(HaveOccurred())
	return record
}

func indexesOf(entries []replication.Entry) []uint64 {
	indexes := []uint64{}
	for _, entry := range entries {
		indexes = append(indexes, entry.Index)
	}
	return indexes
}

var _ = Describe("A shard's archive", func() {
	var archive *replication.Archive
	read := func(record []byte) []uint64 {
		entries, err := archive.Apply(record)
		Expect(err).NotTo(HaveOccurred())
		return indexesOf(entries)
	}

	BeforeEach(func() {
		archive = replication.NewArchive(3)
		read(claimRecord(3, 1, "first", "a#1", "b#1", "c#1"))
	})

	It("accepts the first claim to the next generation", func() {
		read(claimRecord(3, 1, "late", "a#2", "b#2", "c#2"))
		read(claimRecord(3, 3, "skipping", "a#3", "b#3", "c#3"))
		read(claimRecord(4, 2, "other shard", "a#3", "b#3", "c#3"))
		Expect(archive.Claim().ID).To(Equal("first"))
		read(claimRecord(3, 2, "next", "a#4", "b#4", "c#4"))
		Expect(archive.Claim().ID).To(Equal("next"))
	})

	It("returns each entry once, in order and without gaps", func() {
		Expect(read(entriesRecord(3, 1, 1, 3))).To(Equal([]uint64{1, 2, 3}))
		Expect(read(entriesRecord(3, 1, 2, 4))).To(Equal([]uint64{4}))
		Expect(read(entriesRecord(3, 1, 6, 7))).To(BeEmpty())
		Expect(archive.Last().Index).To(BeEquivalentTo(4))
	})

	It("ignores entries of a superseded generation after the claim", func() {
		read(entriesRecord(3, 1, 1, 3))
		read(claimRecord(3, 2, "rebuilt", "a#4", "b#4", "c#4"))
		Expect(read(entriesRecord(3, 1, 4, 5))).To(BeEmpty())
		Expect(archive.Base().Index).To(BeEquivalentTo(3))
		Expect(read(entriesRecord(3, 2, 4, 4))).To(Equal([]uint64{4}))
	})

	It("allows a claim only with a majority of processes gone", func() {
		founders := namedMembers("a#5", "b#5", "d#5")
		gone := map[string]bool{"a": true}
		_, err := archive.NextClaim("x", founders, func(process string) bool { return gone[process] })
		Expect(err).To(MatchError(replication.ErrMajorityMayBeAlive))
		gone["c"] = true
		claim, err := archive.NextClaim("x", founders, func(process string) bool { return gone[process] })
		Expect(err).NotTo(HaveOccurred())
		Expect(claim.Generation).To(BeEquivalentTo(2))
	})

	It("rejects a malformed record", func() {
		_, err := archive.Apply([]byte{0xff, 0xff})
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("A process's registry", func() {
	It("allows one founding replica per generation and none after an abstention", func() {
		registry := replication.NewRegistry("a", rand.New(rand.NewSource(1)))
		Expect(registry.Founder(1, 1)).To(Equal(registry.Boot()))
		_, err := registry.Founder(1, 1)
		Expect(err).To(MatchError(replication.ErrAlreadyFounded))
		Expect(registry.Joiner(1, 1)).NotTo(Equal(registry.Boot()))
		registry.Abstain(1, 1)
		_, err = registry.Joiner(1, 1)
		Expect(err).To(MatchError(replication.ErrAbstained))
	})
})
