package scheduler

import (
	"context"
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/replication"
)

const (
	// snapshotChunkBytes bounds one record of a snapshot.
	snapshotChunkBytes = 256 << 10
	// snapshotAppendTries bounds the appends of one part.
	snapshotAppendTries = 3
	// snapshotRetry is how long a leader waits after a snapshot that failed.
	snapshotRetry = 30 * time.Second
	// maximumSnapshotWait bounds what a pointer's size can make leaders wait for:
	// pointers prove nothing.
	maximumSnapshotWait = 64 << 20
)

// SnapshotStream asks for a snapshot of a shard's stream, if one is due. It is
// made from the stream alone, beside the shard's work.
type SnapshotStream struct {
	Shard uint32
	// ID names the snapshot and is used once.
	ID string
	// ArchivedIndex is the last index known to stand in the stream, and Bytes is
	// what this leader has appended since the last snapshot that it knows of.
	ArchivedIndex uint64
	Bytes         int
	// DueBytes and DueEntries are the bounds above which a snapshot is due.
	DueBytes   int
	DueEntries uint64
}

// StreamSnapshotted tells what became of a SnapshotStream.
type StreamSnapshotted struct {
	Shard uint32
	// Index and Size are of the newest snapshot that the stream has now.
	Index uint64
	Size  int
	// Written is true where it is a new one.
	Written bool
	Failure string
}

func (SnapshotStream) effect()   {}
func (StreamSnapshotted) event() {}

// snapshotStream carries a SnapshotStream out.
func snapshotStream(ctx context.Context, log outside.Log, effect SnapshotStream) StreamSnapshotted {
	reader := &streamReader{log: log, shard: effect.Shard}
	pointers, err := reader.pointers(ctx)
	if err != nil {
		return StreamSnapshotted{Shard: effect.Shard, Failure: err.Error()}
	}
	newest := replication.SnapshotPointer{}
	if len(pointers) > 0 {
		newest = pointers[0]
	}
	if !effect.due(newest) {
		return StreamSnapshotted{Shard: effect.Shard, Index: newest.LastIndex, Size: int(newest.Size)}
	}
	written, err := writeSnapshot(ctx, reader, effect.ID)
	if err != nil {
		return StreamSnapshotted{Shard: effect.Shard, Index: newest.LastIndex, Size: int(newest.Size), Failure: err.Error()}
	}
	return StreamSnapshotted{
		Shard:   effect.Shard,
		Index:   written.LastIndex,
		Size:    int(written.Size),
		Written: true,
	}
}

// due weighs what was archived since a snapshot against what a new one costs.
func (effect SnapshotStream) due(newest replication.SnapshotPointer) bool {
	size := int(min(newest.Size, maximumSnapshotWait))
	return effect.Bytes >= max(effect.DueBytes, size) ||
		effect.ArchivedIndex >= newest.LastIndex+effect.DueEntries
}

// writeSnapshot reads the stream to its end, appends what it gives as a
// snapshot and then the pointer to it.
func writeSnapshot(ctx context.Context, reader *streamReader, id string) (replication.SnapshotPointer, error) {
	view, err := reader.open(ctx, 0)
	if err != nil {
		return replication.SnapshotPointer{}, err
	}
	pointer := replication.SnapshotPointer{
		Shard:      reader.shard,
		SnapshotID: id,
		Offset:     view.offset,
		LastIndex:  view.archive.Last().Index,
		Generation: view.archive.Claim().Generation,
	}
	encoded, err := view.snapshot()
	if err != nil {
		return pointer, err
	}
	pointer.Size = uint64(len(encoded))
	records, err := replication.SplitArchiveSnapshot(reader.shard, id, encoded, snapshotChunkBytes)
	if err != nil {
		return pointer, err
	}
	for _, record := range records {
		if err := appendRecord(ctx, reader.log, streamName(reader.shard), record); err != nil {
			return pointer, err
		}
	}
	record, err := replication.EncodeSnapshotPointer(pointer)
	if err != nil {
		return pointer, err
	}
	return pointer, appendRecord(ctx, reader.log, indexStreamName(reader.shard), record)
}

// appendRecord appends a record that may stand in the stream more than once.
func appendRecord(ctx context.Context, log outside.Log, stream string, record []byte) error {
	var err error
	for range snapshotAppendTries {
		bounded, cancel := context.WithTimeout(ctx, logTimeout)
		_, err = log.Append(bounded, stream, record)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// snapshotHome has a snapshot of the shard's stream made where it has grown by
// enough, one at a time in this process: each holds a second copy of a state.
func (core *Core) snapshotHome(host *host, home *home) {
	if core.snapshotting || core.config.SnapshotBytes == 0 || core.now < home.snapshotAfter {
		return
	}
	archived := host.replica.ArchivedIndex()
	grown := home.archivedBytes >= max(core.config.SnapshotBytes, home.snapshotSize)
	// A new leader does not know what its predecessors have archived.
	firstLook := home.lookedAt != host.epoch && archived >= home.snapshotIndex+core.config.SnapshotEntries
	if !grown && !firstLook {
		return
	}
	core.snapshotting = true
	home.lookedAt = host.epoch
	core.snapshotCount++
	core.emit(SnapshotStream{
		Shard:         home.number,
		ID:            fmt.Sprintf("%s/%d", core.Incarnation(), core.snapshotCount),
		ArchivedIndex: archived,
		Bytes:         home.archivedBytes,
		DueBytes:      core.config.SnapshotBytes,
		DueEntries:    core.config.SnapshotEntries,
	})
}

func (core *Core) streamSnapshotted(event StreamSnapshotted) {
	core.snapshotting = false
	if event.Failure != "" {
		core.log("stream_snapshot_failed", event.Shard, "", "", event.Failure)
	}
	home := core.homes[event.Shard]
	if home == nil {
		return
	}
	if event.Failure != "" {
		home.snapshotAfter = core.now + snapshotRetry
		return
	}
	home.snapshotIndex = max(home.snapshotIndex, event.Index)
	home.snapshotSize = min(event.Size, maximumSnapshotWait)
	if event.Written {
		home.archivedBytes = 0
		core.log("stream_snapshot_written", event.Shard, "", "", fmt.Sprintf("up to %d in %d bytes", event.Index, event.Size))
	}
}
