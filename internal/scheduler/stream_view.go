package scheduler

import (
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/replication"
	"github.com/magpielug/magpielug/internal/shard"
)

// streamView is what a shard's stream says up to an offset.
type streamView struct {
	archive *replication.Archive
	// state holds the stream's entries up to the claim in force, and tail those
	// after it, which a group's own log brings to a founder's replica. A view
	// that was begun from a snapshot holds the snapshot's entries in state, also
	// where some come after the claim: see beyondBase.
	state *shard.State
	tail  []replication.Entry
	// offset is of the record to read next.
	offset uint64
	// restored is the last index of the snapshot that the view was begun from, 0
	// for a view from the stream's start.
	restored uint64
	// unreadable counts the records that could not be decoded.
	unreadable int
}

func newStreamView(number uint32) *streamView {
	return &streamView{archive: replication.NewArchive(number), state: shard.New()}
}

// restoreStreamView begins a view from a snapshot of the stream.
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

// read takes in the stream's next record. A new claim's group starts from
// everything before the claim.
func (view *streamView) read(record outside.Record) error {
	view.offset = record.Offset + 1
	before := view.archive.Claim().Generation
	entries, err := view.archive.Read(record.Data)
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

// beyondBase tells whether state holds entries of the claim in force. A founder
// of that claim's group must not begin with them.
func (view *streamView) beyondBase() bool {
	return view.restored > view.archive.Base().Index
}

// snapshot returns the view as a snapshot of the stream. It applies the tail:
// the view is of no use to a founder afterwards.
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
