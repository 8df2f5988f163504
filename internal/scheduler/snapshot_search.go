package scheduler

import (
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/replication"
)

// maximumHeldBytes bounds the records kept while a snapshot is put together: what
// was appended while it was made and written.
const maximumHeldBytes = 64 << 20

// snapshotSearch reads a stream from a pointer's offset on: it puts the snapshot
// together, and then reads on what has come since its offset. Each record is
// asked for once.
type snapshotSearch struct {
	pointer   replication.SnapshotPointer
	collector *replication.SnapshotCollector
	// held are the records to read once the snapshot is whole, its parts left
	// out.
	held      []outside.Record
	heldBytes int
	// view is set once the snapshot is whole, and failed once it can't be used.
	view   *streamView
	failed bool
}

func (search *snapshotSearch) take(record outside.Record) {
	if search.view != nil {
		_ = search.view.read(record)
		return
	}
	isPart, err := search.collector.Take(record.Data)
	if !isPart {
		search.hold(record)
		return
	}
	encoded, whole, checked := search.collector.Encoded()
	search.failed = err != nil || checked != nil
	if whole && !search.failed {
		search.restore(encoded, record.Offset)
	}
}

func (search *snapshotSearch) hold(record outside.Record) {
	search.held = append(search.held, record)
	search.heldBytes += len(record.Data)
	search.failed = search.heldBytes > maximumHeldBytes
}

// restore begins the view, and reads what stands between the snapshot's offset
// and its last part, which is at the offset until.
func (search *snapshotSearch) restore(encoded []byte, until uint64) {
	snapshot, err := replication.DecodeArchiveSnapshot(search.pointer.Shard, encoded)
	if err != nil || snapshot.Offset != search.pointer.Offset {
		search.failed = true
		return
	}
	view, err := restoreStreamView(snapshot)
	if err != nil {
		search.failed = true
		return
	}
	for _, record := range search.held {
		_ = view.read(record)
	}
	view.offset = until + 1
	search.held = nil
	search.collector = nil
	search.view = view
}
