package scheduler

import (
	"context"
	"fmt"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/replication"
)

// lateAppendLog acknowledges appends immediately, but applies them later, in any order, more
// than once or never. This covers more than the appends of a paused writer can do.
type lateAppendLog struct {
	*testLog
	waiting []lateAppend
}

type lateAppend struct {
	stream string
	data   []byte
}

func (log *lateAppendLog) Append(_ context.Context, stream string, data []byte) (uint64, error) {
	log.waiting = append(log.waiting, lateAppend{stream: stream, data: data})
	return 0, nil
}

// drawEffect applies a pending append, or drops it.
func (log *lateAppendLog) drawEffect(t *rapid.T) {
	if len(log.waiting) == 0 {
		return
	}
	position := rapid.IntRange(0, len(log.waiting)-1).Draw(t, "append")
	chosen := log.waiting[position]
	fate := rapid.IntRange(0, 9).Draw(t, "fate")
	if fate != 0 {
		log.streams[chosen.stream] = append(log.streams[chosen.stream], chosen.data)
	}
	if fate != 1 {
		log.waiting = slices.Delete(log.waiting, position, position+1)
	}
}

// drawFalsePointer appends a pointer whose offset may not match its snapshot.
func (log *lateAppendLog) drawFalsePointer(t *rapid.T, number uint32, step int) {
	record, err := replication.EncodeSnapshotPointer(replication.SnapshotPointer{
		Shard:      number,
		SnapshotID: fmt.Sprint("s", rapid.IntRange(0, step).Draw(t, "false id")),
		Offset:     rapid.Uint64Range(0, uint64(len(log.streams[streamName(number)]))).Draw(t, "false offset"),
		Generation: rapid.Uint32Range(0, 3).Draw(t, "false generation"),
		Size:       rapid.Uint64().Draw(t, "false size"),
	})
	Expect(err).NotTo(HaveOccurred())
	log.streams[indexStreamName(number)] = append(log.streams[indexStreamName(number)], record)
}

// drawStreamRecord appends a record that a current or former claimant or leader could append.
func (log *lateAppendLog) drawStreamRecord(t *rapid.T, number uint32) {
	now := viewFromStart(log.testLog, number).archive
	count := len(log.streams[streamName(number)])
	generation := now.Claim().Generation
	var record []byte
	var err error
	if generation == 0 || rapid.IntRange(0, 5).Draw(t, "claims") == 0 {
		generation = max(1, generation+rapid.SampledFrom([]uint32{1, 1, 1, 0, 2}).Draw(t, "step"))
		name := replication.Incarnation(fmt.Sprintf("s%d#1", count))
		record, err = replication.EncodeClaim(replication.Claim{
			Shard: number, Generation: generation, ID: fmt.Sprint(count), Members: []replication.Member{{Incarnation: name}},
		})
	} else {
		first := now.Last().Index + 1
		if rapid.IntRange(0, 3).Draw(t, "is late") == 0 {
			generation = rapid.Uint32Range(1, generation).Draw(t, "generation")
			first = rapid.Uint64Range(1, first).Draw(t, "first")
		}
		record, err = replication.EncodeEntries(number, generation, drawEntries(t, generation, first, count))
	}
	Expect(err).NotTo(HaveOccurred())
	log.streams[streamName(number)] = append(log.streams[streamName(number)], record)
}

func drawEntries(t *rapid.T, generation uint32, first uint64, seed int) []replication.Entry {
	var entries []replication.Entry
	for index := first; index < first+rapid.Uint64Range(1, 4).Draw(t, "length"); index++ {
		data, err := proto.Marshal(&shardv1.Entry{Change: &shardv1.Entry_EscrowRaised{EscrowRaised: &shardv1.EscrowRaised{
			Tenant: "t", Tier: fmt.Sprint(index), GrantedTotalMicros: uint64(seed + 1),
		}}})
		Expect(err).NotTo(HaveOccurred())
		entries = append(entries, replication.Entry{Index: index, Epoch: replication.MakeEpoch(generation, 1), Data: data})
	}
	return entries
}

// summary formats everything that a process acts on: claim, group and state. With founds, the
// state is that of a founder, without the entries after the claim.
func (view *streamView) summary(founds bool) string {
	archive := view.archive
	var text strings.Builder
	fmt.Fprintf(&text, "%+v %v %v %v %d ", archive.Claim(), archive.Base(), archive.Last(), archive.Members(), view.offset)
	if founds {
		fmt.Fprintf(&text, "%v ", view.tail)
	} else {
		view.applyTail()
	}
	state, err := view.state.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	fmt.Fprintf(&text, "%x", state)
	return text.String()
}

var _ = Describe("opening a shard's stream", func() {
	const number = 2

	It("gives the same result from any snapshot as from the stream's start", func() {
		restored, founded := 0, 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			log := &lateAppendLog{testLog: newTestLog(nil)}
			for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
				switch rapid.IntRange(0, 6).Draw(t, "step") {
				case 6:
					log.drawFalsePointer(t, number, step)
				case 0:
					snapshotStream(context.Background(), log, SnapshotStream{
						Shard: number, ID: fmt.Sprint("s", step), Bytes: maximumSnapshotDueBytes,
					})
				case 1, 2:
					log.drawStreamRecord(t, number)
				default:
					log.drawEffect(t)
				}
			}
			opened := openStream(context.Background(), log, OpenStream{Shard: number})
			if opened.view.restored > 0 {
				restored++
			}
			if got, want := opened.view.summary(false), viewFromStart(log.testLog, number).summary(false); got != want {
				t.Fatalf("from a snapshot at %d: %s, from the start: %s", opened.view.restored, got, want)
			}
			generation := opened.view.archive.Claim().Generation
			founder := openStream(context.Background(), log, OpenStream{Shard: number, Below: generation})
			if founder.view.restored > 0 {
				founded++
			}
			if got, want := founder.view.summary(generation > 0), viewFromStart(log.testLog, number).summary(generation > 0); got != want {
				t.Fatalf("a founder from a snapshot at %d: %s, from the start: %s", founder.view.restored, got, want)
			}
		})
		GinkgoWriter.Printf("restored from a snapshot: %d, as a founder: %d\n", restored, founded)
		Expect(restored).To(BeNumerically(">", 0))
	})

	It("is not affected by a snapshot that fails at any point", func() {
		cluster := newTestCluster(26, 3)
		cluster.create("p1")
		cluster.callMany("p1", 0, 20)
		shardNumber := cluster.nodes["s0"].core.shardOf("p1")
		const maximumOperations = 100
		for operations := 1; ; operations++ {
			Expect(operations).To(BeNumerically("<", maximumOperations))
			cluster.log.breakAfter = operations
			created := snapshotStream(context.Background(), cluster.log, SnapshotStream{
				Shard: shardNumber, ID: fmt.Sprint(operations), Bytes: maximumSnapshotDueBytes,
			})
			cluster.log.breakAfter = 0
			opened := openStream(context.Background(), cluster.log, OpenStream{Shard: shardNumber})
			Expect(opened.view.summary(false)).To(Equal(cluster.viewFromStart(shardNumber).summary(false)))
			if created.Written {
				Expect(opened.view.restored).To(Equal(created.Index))
				break
			}
		}
	})
})
