package replication_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/magpielug/magpielug/internal/replication"
)

const snapshotShard = 3

// streamReader is a stream reader whose state lists the applied entries.
type streamReader struct {
	archive *replication.Archive
	state   []byte
}

func (reader *streamReader) read(records [][]byte) {
	for _, record := range records {
		entries, _ := reader.archive.Apply(record)
		for _, entry := range entries {
			reader.state = fmt.Appendf(reader.state, "%d=%s;", entry.Index, entry.Data)
		}
	}
}

func readFromStart(records [][]byte) *streamReader {
	reader := &streamReader{archive: replication.NewArchive(snapshotShard)}
	reader.read(records)
	return reader
}

// summary formats everything that a reader acts on.
func (reader *streamReader) summary() string {
	archive := reader.archive
	return fmt.Sprintf("%+v %v %v %v %s", archive.Claim(), archive.Base(), archive.Last(), archive.Members(), reader.state)
}

// pendingSnapshot is a snapshot whose chunks are not all appended yet.
type pendingSnapshot struct {
	id     string
	chunks [][]byte
}

// streamModel generates a stream with claims and entries of arbitrary generations, as
// appended by paused leaders and competing claimants, and with snapshots whose
// chunks are lost, duplicated and interleaved with other records.
type streamModel struct {
	records [][]byte
	pending []pendingSnapshot
	ids     []string
}

func (model *streamModel) drawRecord(t *rapid.T) {
	// Most records are valid for the current leader or claimant.
	current := readFromStart(model.records).archive
	generation := current.Claim().Generation
	if generation == 0 || rapid.IntRange(0, 5).Draw(t, "claims") == 0 {
		generation++
		generation = rapid.SampledFrom([]uint32{generation, generation, generation, 1, generation + 1}).Draw(t, "claimed")
		id := fmt.Sprint("claim", len(model.records))
		model.records = append(model.records, claimRecord(snapshotShard, generation, id, id+"#1"))
		return
	}
	first := current.Last().Index + 1
	if rapid.IntRange(0, 3).Draw(t, "is late") == 0 {
		generation = rapid.Uint32Range(1, generation+1).Draw(t, "generation")
		first = rapid.Uint64Range(1, first+2).Draw(t, "first")
	}
	var entries []replication.Entry
	for index := first; index < first+rapid.Uint64Range(1, 4).Draw(t, "length"); index++ {
		entry := replication.Entry{
			Index: index, Epoch: replication.MakeEpoch(generation, 1), Data: fmt.Append(nil, len(model.records)),
		}
		if rapid.IntRange(0, 9).Draw(t, "changes members") == 0 {
			entry.Kind = replication.KindMembers
			entry.Members = namedMembers(fmt.Sprint("m", len(model.records)))
		}
		entries = append(entries, entry)
	}
	record, err := replication.EncodeEntries(snapshotShard, generation, entries)
	Expect(err).NotTo(HaveOccurred())
	model.records = append(model.records, record)
}

// drawSnapshot encodes a snapshot of a prefix of the stream, read from its start or
// from an earlier snapshot, and queues its chunks.
func (model *streamModel) drawSnapshot(t *rapid.T) {
	end := rapid.IntRange(0, len(model.records)).Draw(t, "snapshot's end")
	reader := readFromStart(model.records[:end])
	for _, id := range model.ids {
		base, offset := model.restore(id)
		if base != nil && offset <= end && rapid.Bool().Draw(t, "from a snapshot") {
			base.read(model.records[offset:end])
			reader = base
		}
	}
	encoded, err := replication.EncodeArchiveSnapshot(replication.ArchiveSnapshot{
		Archive: reader.archive, Offset: uint64(end), State: reader.state,
	})
	Expect(err).NotTo(HaveOccurred())
	id := fmt.Sprint("s", len(model.ids))
	chunks, err := replication.SplitArchiveSnapshot(snapshotShard, id, encoded, rapid.IntRange(1, 200).Draw(t, "chunk"))
	Expect(err).NotTo(HaveOccurred())
	model.ids = append(model.ids, id)
	model.pending = append(model.pending, pendingSnapshot{id: id, chunks: chunks})
}

// drawChunk appends, duplicates or loses a queued chunk.
func (model *streamModel) drawChunk(t *rapid.T) {
	if len(model.pending) == 0 {
		return
	}
	which := rapid.IntRange(0, len(model.pending)-1).Draw(t, "snapshot")
	chunks := model.pending[which].chunks
	if len(chunks) == 0 {
		model.pending = slices.Delete(model.pending, which, which+1)
		return
	}
	switch rapid.IntRange(0, 19).Draw(t, "fate") {
	case 0:
		model.pending[which].chunks = chunks[1:]
	case 1:
		model.records = append(model.records, chunks[0])
	default:
		model.records = append(model.records, chunks[0])
		model.pending[which].chunks = chunks[1:]
	}
}

// restore reassembles a snapshot from the stream. It returns nil if a chunk is
// missing.
func (model *streamModel) restore(id string) (*streamReader, int) {
	collector := replication.NewSnapshotCollector(snapshotShard, id)
	for _, record := range model.records {
		_, err := collector.AddRecord(record)
		Expect(err).NotTo(HaveOccurred())
	}
	encoded, complete, err := collector.Assemble()
	Expect(err).NotTo(HaveOccurred())
	if !complete {
		return nil, 0
	}
	snapshot, err := replication.DecodeArchiveSnapshot(snapshotShard, encoded)
	Expect(err).NotTo(HaveOccurred())
	return &streamReader{archive: snapshot.Archive, state: snapshot.State}, int(snapshot.Offset)
}

var _ = Describe("A snapshot of a shard's stream", func() {
	It("gives the same result as reading the stream from its start", func() {
		compared, followedByClaim := 0, 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			model := &streamModel{}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
				case step < 5:
					model.drawRecord(t)
				case step == 5:
					model.drawSnapshot(t)
				default:
					model.drawChunk(t)
				}
			}
			want := readFromStart(model.records).summary()
			for _, id := range model.ids {
				reader, offset := model.restore(id)
				if reader == nil {
					continue
				}
				reader.read(model.records[offset:])
				if got := reader.summary(); got != want {
					t.Fatalf("reading from snapshot %s at offset %d gives %s, from the start %s", id, offset, got, want)
				}
				compared++
				if readFromStart(model.records[:offset]).archive.Claim().Generation < reader.archive.Claim().Generation {
					followedByClaim++
				}
			}
		})
		GinkgoWriter.Printf("snapshots compared: %d, of which %d are followed by a claim\n", compared, followedByClaim)
		Expect(followedByClaim).To(BeNumerically(">", 0))
	})

	It("is rejected if its chunks are inconsistent or it is for another shard", func() {
		encoded, err := replication.EncodeArchiveSnapshot(replication.ArchiveSnapshot{
			Archive: replication.NewArchive(snapshotShard), State: []byte("state"),
		})
		Expect(err).NotTo(HaveOccurred())
		_, err = replication.DecodeArchiveSnapshot(snapshotShard+1, encoded)
		Expect(err).To(MatchError(replication.ErrInvalidSnapshot))
		chunks, err := replication.SplitArchiveSnapshot(snapshotShard, "s", encoded, 4)
		Expect(err).NotTo(HaveOccurred())
		others, err := replication.SplitArchiveSnapshot(snapshotShard, "s", append([]byte{0}, encoded...), 4)
		Expect(err).NotTo(HaveOccurred())
		collector := replication.NewSnapshotCollector(snapshotShard, "s")
		isChunk, err := collector.AddRecord(chunks[0])
		Expect(isChunk).To(BeTrue())
		Expect(err).NotTo(HaveOccurred())
		_, err = collector.AddRecord(others[1])
		Expect(err).To(MatchError(replication.ErrInvalidSnapshot))
	})
})
