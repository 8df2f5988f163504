package scheduler

import (
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/replication"
	"github.com/magpielug/magpielug/internal/shard"
)

// streamView is the result of reading a shard's stream up to an offset.
type streamView struct {
	archive *replication.Archive
	// state contains the entries up to the current claim, and tail those after it, which a
	// founder's replica gets from the group's own log. If the view was restored from a snapshot,
	// state contains all entries in the snapshot, even those after the claim; see beyondBase.
	state *shard.State
	tail  []replication.Entry
	// offset is the offset of the next record to read.
	offset uint64
	// restored is the last index in the snapshot that the view was restored from, or 0.
	restored uint64
	// unreadable counts the records that could not be decoded.
	unreadable int
}

func newStreamView(number uint32) *streamView {
	return &streamView{archive: replication.NewArchive(number), state: shard.New()}
}

// restoreStreamView returns a view restored from a snapshot of the stream.
func restoreStreamView(snapshot replication.ArchiveSnapshot) (*streamView, error) {
	state := shard.New()
	if err := state.Restore(snapshot.State); err != nil {
		return nil, err
	}
	return &streamView{
		archive:  snapshot.Archive,
		state:    state,
		offset:   snapshot.Offset,
		restored: snapshot.Archive.Last().Index,
	}, nil
}

// read handles the next record. A new claim's group starts from the state before the claim.
func (view *streamView) read(record outside.Record) error {
	view.offset = record.Offset + 1
	before := view.archive.Claim().Generation
	entries, err := view.archive.Apply(record.Data)
	if err != nil {
		view.unreadable++
		return err
	}
	if view.archive.Claim().Generation != before {
		view.applyTail()
	}
	view.tail = append(view.tail, entries...)
	return nil
}

func (view *streamView) applyTail() {
	for _, entry := range view.tail {
		applyArchived(view.state, entry)
	}
	view.tail = nil
}

// beyondBase reports whether state contains entries after the current claim. A founder of the
// claim's group must not start from such a state.
func (view *streamView) beyondBase() bool {
	return view.restored > view.archive.Base().Index
}

// snapshot encodes the view as a snapshot of the stream. It applies the tail, so the view can't
// be used by a founder afterwards.
func (view *streamView) snapshot() ([]byte, error) {
	view.applyTail()
	state, err := view.state.Snapshot()
	if err != nil {
		return nil, err
	}
	return replication.EncodeArchiveSnapshot(replication.ArchiveSnapshot{
		Archive: view.archive,
		Offset:  view.offset,
		State:   state,
	})
}
