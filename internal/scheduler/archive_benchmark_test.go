package scheduler

import (
	"context"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/replication"
)

const (
	// recordedTurns is the number of calls per program; recordedWords is the number of words in
	// each prompt and output.
	recordedTurns    = 10
	recordedWords    = 200
	recordedSnapshot = 4 << 20
)

// recorder writes a shard's stream as a leader does, with one record per call.
type recorder struct {
	log    *testLog
	random *rand.Rand
	index  uint64
	bytes  int
	// unsnapshotted is the number of bytes written since the last snapshot, size the size of
	// that snapshot, and snapshots the number of snapshots written.
	unsnapshotted int
	size          int
	snapshots     int
}

func newRecorder() *recorder {
	created := &recorder{log: newTestLog(nil), random: rand.New(rand.NewSource(1))}
	claim, err := replication.EncodeClaim(replication.Claim{
		Generation: 1, ID: "first", Members: []replication.Member{{Incarnation: "s0#1", Zone: "z0"}},
	})
	created.append(claim, err)
	return created
}

func (recorder *recorder) append(record []byte, err error) {
	if err != nil {
		panic(err)
	}
	recorder.bytes += len(record)
	recorder.unsnapshotted += len(record)
	_, _ = recorder.log.Append(context.Background(), streamName(0), record)
}

func (recorder *recorder) text() string {
	var text strings.Builder
	for range recordedWords {
		fmt.Fprintf(&text, "w%x ", recorder.random.Intn(4096))
	}
	return text.String()
}

func (recorder *recorder) entries(changes ...*shardv1.Entry) {
	var entries []replication.Entry
	for _, change := range changes {
		data, err := proto.Marshal(change)
		if err != nil {
			panic(err)
		}
		recorder.index++
		entries = append(entries, replication.Entry{Index: recorder.index, Epoch: replication.MakeEpoch(1, 1), Data: data})
	}
	recorder.append(replication.EncodeEntries(0, 1, entries))
}

// call records the shard's call with this number, and creates its program if it is the program's
// first call.
func (recorder *recorder) call(number int) {
	program := fmt.Sprintf("p%06d", number/recordedTurns)
	if number%recordedTurns == 0 {
		recorder.entries(
			&shardv1.Entry{Change: &shardv1.Entry_ProgramCreated{ProgramCreated: &shardv1.ProgramCreated{
				ProgramId: program, Tenant: testTenant, Tier: testTier, Kind: "dispute", CapMicros: 1 << 40,
			}}},
			&shardv1.Entry{Change: &shardv1.Entry_EscrowRaised{EscrowRaised: &shardv1.EscrowRaised{
				Tenant: testTenant, Tier: testTier, GrantedTotalMicros: 1 << 40,
			}}},
		)
	}
	request := fmt.Sprintf("r%06d", number)
	recorder.entries(
		&shardv1.Entry{Change: &shardv1.Entry_CallAccepted{CallAccepted: &shardv1.CallAccepted{
			ProgramId: program, RequestId: request, Digest: []byte(request), Target: testModel, MaxTokens: 400,
			Kind:     schedulerv1.CallKind_CALL_KIND_MODEL,
			Messages: []*schedulerv1.Message{{Role: "user", Content: recorder.text()}},
		}}},
		&shardv1.Entry{Change: &shardv1.Entry_CallIntended{CallIntended: &shardv1.CallIntended{
			ProgramId: program, RequestId: request, Attempt: 1, BackEnd: "e0", Address: "e0",
		}}},
		&shardv1.Entry{Change: &shardv1.Entry_CallFinished{CallFinished: &shardv1.CallFinished{
			ProgramId: program, RequestId: request, Attempt: 1, Output: recorder.text(), FinishReason: "stop",
			PromptTokens: 300, OutputTokens: 300,
		}}},
	)
}

// snapshot writes a snapshot when a leader would.
func (recorder *recorder) snapshot() {
	if recorder.unsnapshotted < max(recordedSnapshot, recorder.size) {
		return
	}
	recorder.snapshots++
	created := snapshotStream(context.Background(), recorder.log, SnapshotStream{
		ID: fmt.Sprint(recorder.snapshots), Bytes: maximumSnapshotDueBytes,
	})
	if !created.Written {
		panic(created.Failure)
	}
	recorder.size = created.Size
	recorder.unsnapshotted = 0
}

// BenchmarkOpenStream measures reading a shard's stream after a number of calls.
func BenchmarkOpenStream(b *testing.B) {
	for _, calls := range []int{1_000, 10_000, 40_000} {
		for _, snapshots := range []bool{false, true} {
			b.Run(fmt.Sprintf("calls=%d/snapshots=%v", calls, snapshots), func(b *testing.B) {
				recorder := newRecorder()
				for number := range calls {
					recorder.call(number)
					if snapshots {
						recorder.snapshot()
					}
				}
				b.ResetTimer()
				read := 0
				for range b.N {
					opened := openStream(context.Background(), recorder.log, OpenStream{})
					opened.view.applyTail()
					if turns := opened.view.state.Len() * recordedTurns; turns != calls {
						b.Fatalf("%d turns of %d", turns, calls)
					}
					read = opened.Bytes
				}
				b.ReportMetric(float64(read), "B-read")
				b.ReportMetric(float64(recorder.bytes), "B-entries")
				b.ReportMetric(float64(recorder.size), "B-snapshot")
				b.ReportMetric(float64(recorder.snapshots), "snapshots")
			})
		}
	}
}

// BenchmarkStateSnapshot measures the time that a leader's control goroutine needs to encode the
// state for a joining member.
func BenchmarkStateSnapshot(b *testing.B) {
	for _, programs := range []int{100, 1_000} {
		b.Run(fmt.Sprintf("programs=%d/turns=%d", programs, recordedTurns), func(b *testing.B) {
			recorder := newRecorder()
			for number := range programs * recordedTurns {
				recorder.call(number)
			}
			view := openStream(context.Background(), recorder.log, OpenStream{}).view
			view.applyTail()
			b.ResetTimer()
			size := 0
			for range b.N {
				data, err := view.state.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "B-state")
		})
	}
}
