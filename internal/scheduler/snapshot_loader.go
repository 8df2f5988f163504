package scheduler

import (
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/replication"
)

// maximumDeferredBytes bounds the other records that are buffered while a snapshot is assembled.
const maximumDeferredBytes = 64 << 20

// snapshotLoader reads a stream from a pointer's offset in one pass: it assembles the snapshot
// and then reads the records after the snapshot's offset.
type snapshotLoader struct {
	pointer   replication.SnapshotPointer
	collector *replication.SnapshotCollector
	// deferred holds the records, other than the snapshot's parts, to read once the snapshot is
	// complete.
	deferred      []outside.Record
	deferredBytes int
	// view is set once the snapshot is complete; failed is true if it can't be used.
	view   *streamView
	failed bool
}

func (loader *snapshotLoader) add(record outside.Record) {
	if loader.view != nil {
		_ = loader.view.read(record)
		return
	}
	isPart, err := loader.collector.AddRecord(record.Data)
	if !isPart {
		loader.deferRecord(record)
		return
	}
	encoded, whole, decodeErr := loader.collector.Assemble()
	loader.failed = err != nil || decodeErr != nil
	if whole && !loader.failed {
		loader.restore(encoded, record.Offset)
	}
}

func (loader *snapshotLoader) deferRecord(record outside.Record) {
	loader.deferred = append(loader.deferred, record)
	loader.deferredBytes += len(record.Data)
	loader.failed = loader.deferredBytes > maximumDeferredBytes
}

// restore creates the view and reads the records between the snapshot's offset and its last
// part, which is at offset lastPart.
func (loader *snapshotLoader) restore(encoded []byte, lastPart uint64) {
	snapshot, err := replication.DecodeArchiveSnapshot(loader.pointer.Shard, encoded)
	if err != nil || snapshot.Offset != loader.pointer.Offset {
		loader.failed = true
		return
	}
	view, err := restoreStreamView(snapshot)
	if err != nil {
		loader.failed = true
		return
	}
	for _, record := range loader.deferred {
		_ = view.read(record)
	}
	view.offset = lastPart + 1
	loader.deferred = nil
	loader.collector = nil
	loader.view = view
}
