package scheduler

import (
	"cmp"
	"context"
	"slices"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/replication"
)

// maximumSnapshotAttempts bounds the snapshots that a reader tries before it reads the stream
// from its start.
const maximumSnapshotAttempts = 4

// streamReader reads a shard's streams outside the control goroutine. It returns only errors of
// the log: invalid records are skipped.
type streamReader struct {
	log   outside.Log
	shard uint32
	// records and bytes count what was read from the shard's stream.
	records int
	bytes   int
}

// open returns a view of the whole stream, starting from the newest usable snapshot or from the
// stream's start. If below is not 0, only snapshots of earlier generations are used.
func (reader *streamReader) open(ctx context.Context, below uint32) (*streamView, error) {
	pointers, err := reader.pointers(ctx)
	if err != nil {
		return nil, err
	}
	attempts := 0
	for _, pointer := range pointers {
		if below > 0 && pointer.Generation >= below {
			continue
		}
		if attempts++; attempts > maximumSnapshotAttempts {
			break
		}
		view, err := reader.openAt(ctx, pointer)
		if err != nil {
			return nil, err
		}
		if view != nil && (below == 0 || !view.beyondBase()) {
			return view, nil
		}
	}
	view := newStreamView(reader.shard)
	return view, reader.readOn(ctx, view)
}

// pointers returns the valid snapshot pointers, newest offset first.
func (reader *streamReader) pointers(ctx context.Context) ([]replication.SnapshotPointer, error) {
	var pointers []replication.SnapshotPointer
	err := reader.each(ctx, indexStreamName(reader.shard), 0, func(record outside.Record) bool {
		if pointer, err := replication.DecodeSnapshotPointer(reader.shard, record.Data); err == nil {
			pointers = append(pointers, pointer)
		}
		return true
	})
	slices.SortStableFunc(pointers, func(left, right replication.SnapshotPointer) int {
		return cmp.Compare(right.Offset, left.Offset)
	})
	return pointers, err
}

// openAt reads from a pointer's offset to the stream's end. The view is nil if the snapshot is
// incomplete, invalid or does not match the pointer.
func (reader *streamReader) openAt(ctx context.Context, pointer replication.SnapshotPointer) (*streamView, error) {
	loader := &snapshotLoader{
		pointer:   pointer,
		collector: replication.NewSnapshotCollector(reader.shard, pointer.SnapshotID),
	}
	err := reader.each(ctx, streamName(reader.shard), pointer.Offset, func(record outside.Record) bool {
		reader.count(record)
		loader.add(record)
		return !loader.failed
	})
	return loader.view, err
}

// readOn reads from the view's offset to the stream's end.
func (reader *streamReader) readOn(ctx context.Context, view *streamView) error {
	return reader.each(ctx, streamName(reader.shard), view.offset, func(record outside.Record) bool {
		reader.count(record)
		_ = view.read(record)
		return true
	})
}

func (reader *streamReader) count(record outside.Record) {
	reader.records++
	reader.bytes += len(record.Data)
}

// each visits the records of a stream until a read returns none or visit returns false.
func (reader *streamReader) each(ctx context.Context, stream string, from uint64, visit func(outside.Record) bool) error {
	for {
		records, err := readRecords(ctx, reader.log, stream, from)
		if err != nil || len(records) == 0 {
			return err
		}
		for _, record := range records {
			from = record.Offset + 1
			if !visit(record) {
				return nil
			}
		}
	}
}

func readRecords(ctx context.Context, log outside.Log, stream string, from uint64) ([]outside.Record, error) {
	bounded, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return log.Read(bounded, stream, from, streamReadLimit)
}

// OpenStream requests a view of a shard's whole stream.
type OpenStream struct {
	Shard uint32
	// Below excludes snapshots of this and later generations; 0 excludes none.
	Below uint32
}

// StreamOpened delivers a view of a shard's stream.
type StreamOpened struct {
	Shard uint32
	// Below is the generation in the OpenStream.
	Below uint32
	// Bytes is the number of bytes read from the stream.
	Bytes int
	// view is nil if the log did not answer.
	view *streamView
}

func (OpenStream) effect()  {}
func (StreamOpened) event() {}

// openStream executes an OpenStream.
func openStream(ctx context.Context, log outside.Log, effect OpenStream) StreamOpened {
	opened := StreamOpened{Shard: effect.Shard, Below: effect.Below}
	reader := &streamReader{log: log, shard: effect.Shard}
	view, err := reader.open(ctx, effect.Below)
	if err == nil {
		opened.view = view
		opened.Bytes = reader.bytes
	}
	return opened
}
