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

// streamReading is a reader whose state is the list of entries it has taken.
type streamReading struct {
	archive *replication.Archive
	state   []byte
}

func (reading *streamReading) read(records [][]byte) {
	for _, record := range records {
		entries, _ := reading.archive.Read(record)
		for _, entry := range entries {
			reading.state = fmt.Appendf(reading.state, "%d=%s;", entry.Index, entry.Data)
		}
	}
}

func readingFromStart(records [][]byte) *streamReading {
	reading := &streamReading{archive: replication.NewArchive(snapshotShard)}
	reading.read(records)
	return reading
}

// verdict is everything that a reader would act on.
func (reading *streamReading) verdict() string {
	archive := reading.archive
	return fmt.Sprintf("%+v %v %v %v %s", archive.Claim(), archive.Base(), archive.Last(), archive.Members(), reading.state)
}

// pendingSnapshot is one whose parts a slow or paused writer still has to append.
type pendingSnapshot struct {
	id    string
	parts [][]byte
}

// streamModel draws a stream: claims and entries of any generation in any order,
// as paused leaders and racing claimants append them, and snapshots made at one
// point whose parts are lost, repeated and appended at others.
type streamModel struct {
	records [][]byte
	pending []pendingSnapshot
	ids     []string
}

func (model *streamModel) drawRecord(t *rapid.T) {
	// Most records are those of the leader or claimant of the moment.
	now := readingFromStart(model.records).archive
	generation := now.Claim().Generation
	if generation == 0 || rapid.IntRange(0, 5).Draw(t, "claims") == 0 {
		generation++
		generation = rapid.SampledFrom([]uint32{generation, generation, generation, 1, generation + 1}).Draw(t, "claimed")
		id := fmt.Sprint("claim", len(model.records))
		model.records = append(model.records, claimRecord(snapshotShard, generation, id, id+"#1"))
		return
	}
	first := now.Last().Index + 1
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

// drawSnapshot reads a part of the stream, from its start or from a snapshot,
// and holds the snapshot's parts back.
func (model *streamModel) drawSnapshot(t *rapid.T) {
	end := rapid.IntRange(0, len(model.records)).Draw(t, "snapshot's end")
	reading := readingFromStart(model.records[:end])
	for _, id := range model.ids {
		begun, offset := model.restore(id)
		if begun != nil && offset <= end && rapid.Bool().Draw(t, "from a snapshot") {
			begun.read(model.records[offset:end])
			reading = begun
		}
	}
	encoded, err := replication.EncodeArchiveSnapshot(replication.ArchiveSnapshot{
		Archive: reading.archive, Offset: uint64(end), State: reading.state,
	})
	Expect(err).NotTo(HaveOccurred())
	id := fmt.Sprint("s", len(model.ids))
	parts, err := replication.SplitArchiveSnapshot(snapshotShard, id, encoded, rapid.IntRange(1, 200).Draw(t, "chunk"))
	Expect(err).NotTo(HaveOccurred())
	model.ids = append(model.ids, id)
	model.pending = append(model.pending, pendingSnapshot{id: id, parts: parts})
}

// drawPart appends, repeats or loses a part that is held back.
func (model *streamModel) drawPart(t *rapid.T) {
	if len(model.pending) == 0 {
		return
	}
	which := rapid.IntRange(0, len(model.pending)-1).Draw(t, "snapshot")
	parts := model.pending[which].parts
	if len(parts) == 0 {
		model.pending = slices.Delete(model.pending, which, which+1)
		return
	}
	switch rapid.IntRange(0, 19).Draw(t, "fate") {
	case 0:
		model.pending[which].parts = parts[1:]
	case 1:
		model.records = append(model.records, parts[0])
	default:
		model.records = append(model.records, parts[0])
		model.pending[which].parts = parts[1:]
	}
}

// restore puts a snapshot together from the stream; nil where a part is missing.
func (model *streamModel) restore(id string) (*streamReading, int) {
	collector := replication.NewSnapshotCollector(snapshotShard, id)
	for _, record := range model.records {
		_, err := collector.Take(record)
		Expect(err).NotTo(HaveOccurred())
	}
	encoded, whole, err := collector.Encoded()
	Expect(err).NotTo(HaveOccurred())
	if !whole {
		return nil, 0
	}
	snapshot, err := replication.DecodeArchiveSnapshot(snapshotShard, encoded)
	Expect(err).NotTo(HaveOccurred())
	return &streamReading{archive: snapshot.Archive, state: snapshot.State}, int(snapshot.Offset)
}

var _ = Describe("A snapshot of a shard's stream", func() {
	It("gives its reader the verdict of a reader from the stream's start", func() {
		compared, behindBase := 0, 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			model := &streamModel{}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
				case step < 5:
					model.drawRecord(t)
				case step == 5:
					model.drawSnapshot(t)
				default:
					model.drawPart(t)
				}
			}
			want := readingFromStart(model.records).verdict()
			for _, id := range model.ids {
				reading, offset := model.restore(id)
				if reading == nil {
					continue
				}
				reading.read(model.records[offset:])
				if got := reading.verdict(); got != want {
					t.Fatalf("from snapshot %s at %d: %s, from the start: %s", id, offset, got, want)
				}
				compared++
				if readingFromStart(model.records[:offset]).archive.Claim().Generation < reading.archive.Claim().Generation {
					behindBase++
				}
			}
		})
		GinkgoWriter.Printf("snapshots compared: %d, of them %d with a later claim behind\n", compared, behindBase)
		Expect(behindBase).To(BeNumerically(">", 0))
	})

	It("is refused where its content is not what was written, or is another shard's", func() {
		encoded, err := replication.EncodeArchiveSnapshot(replication.ArchiveSnapshot{
			Archive: replication.NewArchive(snapshotShard), State: []byte("state"),
		})
		Expect(err).NotTo(HaveOccurred())
		_, err = replication.DecodeArchiveSnapshot(snapshotShard+1, encoded)
		Expect(err).To(MatchError(replication.ErrBadSnapshot))
		parts, err := replication.SplitArchiveSnapshot(snapshotShard, "s", encoded, 4)
		Expect(err).NotTo(HaveOccurred())
		others, err := replication.SplitArchiveSnapshot(snapshotShard, "s", append([]byte{0}, encoded...), 4)
		Expect(err).NotTo(HaveOccurred())
		collector := replication.NewSnapshotCollector(snapshotShard, "s")
		isPart, err := collector.Take(parts[0])
		Expect(isPart).To(BeTrue())
		Expect(err).NotTo(HaveOccurred())
		_, err = collector.Take(others[1])
		Expect(err).To(MatchError(replication.ErrBadSnapshot))
	})
})
