package scheduler

import (
	"context"
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/replication"
)

const (
	// snapshotChunkBytes bounds the size of one part of a snapshot.
	snapshotChunkBytes = 256 << 10
	// snapshotAppendAttempts bounds the attempts to append one part.
	snapshotAppendAttempts = 3
	// snapshotRetry is the time between a failed snapshot and the next attempt.
	snapshotRetry = 30 * time.Second
	// maximumSnapshotDueBytes bounds the influence of a pointer's size on the snapshot interval,
	// since pointers are not verified.
	maximumSnapshotDueBytes = 64 << 20
)

// SnapshotStream requests a snapshot of a shard's stream if one is due. The snapshot is made
// from the stream alone, outside the control goroutine.
type SnapshotStream struct {
	Shard uint32
	// ID is the unique id of the snapshot.
	ID string
	// ArchivedIndex is the last index known to be archived, Bytes the number of bytes that this
	// leader has appended since the last known snapshot.
	ArchivedIndex uint64
	Bytes         int
	// DueBytes and DueEntries are the thresholds for a new snapshot.
	DueBytes   int
	DueEntries uint64
}

// StreamSnapshotted reports the result of a SnapshotStream.
type StreamSnapshotted struct {
	Shard uint32
	// Index and Size describe the newest snapshot in the stream.
	Index uint64
	Size  int
	// Written is true if that snapshot was written now.
	Written bool
	Failure string
}

func (SnapshotStream) effect()   {}
func (StreamSnapshotted) event() {}

// snapshotStream executes a SnapshotStream.
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

// due reports whether enough was archived since the newest snapshot to justify the cost of
// another.
func (effect SnapshotStream) due(newest replication.SnapshotPointer) bool {
	size := int(min(newest.Size, maximumSnapshotDueBytes))
	return effect.Bytes >= max(effect.DueBytes, size) ||
		effect.ArchivedIndex >= newest.LastIndex+effect.DueEntries
}

// writeSnapshot reads the stream to its end, and appends a snapshot of it followed by the
// pointer.
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

// appendRecord appends a record with retries, which may duplicate it.
func appendRecord(ctx context.Context, log outside.Log, stream string, record []byte) error {
	var err error
	for range snapshotAppendAttempts {
		bounded, cancel := context.WithTimeout(ctx, logTimeout)
		_, err = log.Append(bounded, stream, record)
		cancel()
		if err == nil {
			return nil
		}
	}
	return err
}

// snapshotAssignment requests a snapshot of the shard's stream if it has grown enough. Only one
// is made at a time per process, because each needs a second copy of a shard's state.
func (core *Core) snapshotAssignment(host *host, assignment *assignment) {
	if core.snapshotting || core.config.SnapshotBytes == 0 || core.now < assignment.nextSnapshotAt {
		return
	}
	archived := host.replica.ArchivedIndex()
	grown := assignment.archivedBytes >= max(core.config.SnapshotBytes, assignment.snapshotSize)
	// A new leader does not know how much its predecessors have archived.
	firstCheck := assignment.snapshotCheckedAt != host.epoch && archived >= assignment.snapshotIndex+core.config.SnapshotEntries
	if !grown && !firstCheck {
		return
	}
	core.snapshotting = true
	assignment.snapshotCheckedAt = host.epoch
	core.snapshotCount++
	core.emit(SnapshotStream{
		Shard:         assignment.number,
		ID:            fmt.Sprintf("%s/%d", core.Incarnation(), core.snapshotCount),
		ArchivedIndex: archived,
		Bytes:         assignment.archivedBytes,
		DueBytes:      core.config.SnapshotBytes,
		DueEntries:    core.config.SnapshotEntries,
	})
}

func (core *Core) streamSnapshotted(event StreamSnapshotted) {
	core.snapshotting = false
	if event.Failure != "" {
		core.log("stream_snapshot_failed", event.Shard, "", "", event.Failure)
	}
	assignment := core.assignments[event.Shard]
	if assignment == nil {
		return
	}
	if event.Failure != "" {
		assignment.nextSnapshotAt = core.now + snapshotRetry
		return
	}
	assignment.snapshotIndex = max(assignment.snapshotIndex, event.Index)
	assignment.snapshotSize = min(event.Size, maximumSnapshotDueBytes)
	if event.Written {
		assignment.archivedBytes = 0
		core.log("stream_snapshot_written", event.Shard, "", "", fmt.Sprintf("last index %d, %d bytes", event.Index, event.Size))
	}
}
