package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"go.uber.org/zap"
)

// recordView holds the newest record for each key of a topic, merged from the durable log and from
// other nodes. Records older than the one held are ignored.
type recordView struct {
	name   string
	logger *zap.Logger
	// onRecord is called with each new record and reports whether it changed any state. An empty
	// value means that the key was deleted.
	onRecord func(record durable.KeyedRecord) bool

	mutex   sync.Mutex
	records map[string]viewRecord
	end     int64
	// isLoaded is true after the first update; every call reads it. confirmedAt is when the newest update
	// was requested, even if it held no new records.
	isLoaded    atomic.Bool
	confirmedAt atomicTime
}

// viewRecord is a key's newest record.
type viewRecord struct {
	durable.KeyedRecord
	// changeOffset is the offset of the key's last record that changed any state. Others need not
	// be sent renewals that change nothing.
	changeOffset int64
}

func newRecordView(name string, logger *zap.Logger, onRecord func(durable.KeyedRecord) bool) *recordView {
	return &recordView{name: name, logger: logger, onRecord: onRecord, records: map[string]viewRecord{}}
}

// merge merges an update. requestedAt is when it was requested, by this node or by the one that
// supplied it, so that delays in transit count towards the view's age.
func (view *recordView) merge(update durable.Update, requestedAt time.Time) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if !update.Full && update.EndOffset == 0 {
		// The node that supplied the update has read nothing itself.
		return
	}
	for _, record := range update.Records {
		view.mergeRecord(record)
	}
	if update.Full {
		view.removeUnlisted(update)
	}
	switch {
	case !view.isLoaded.Load():
		view.confirmedAt.set(requestedAt)
	case update.EndOffset >= view.end:
		// An update that ends earlier reflects an older state and confirms nothing.
		view.confirmedAt.advance(requestedAt)
	}
	view.isLoaded.Store(true)
	view.end = max(view.end, update.EndOffset)
}

// unloadedAge is the age reported before the first update.
const unloadedAge = 24 * time.Hour

// age returns how old the view's state may be.
func (view *recordView) age() time.Duration {
	if !view.loaded() {
		return unloadedAge
	}
	return view.confirmedAt.age(time.Now())
}

// confirmedSince reports whether the view was last confirmed at or after a time.
func (view *recordView) confirmedSince(at time.Time) bool {
	return view.confirmedAt.notBefore(at)
}

// loaded reports whether the view has received an update.
func (view *recordView) loaded() bool { return view.isLoaded.Load() }

func (view *recordView) mergeRecord(record durable.KeyedRecord) {
	known, found := view.records[record.Key]
	if found && known.Offset >= record.Offset {
		return
	}
	current := viewRecord{KeyedRecord: record, changeOffset: known.changeOffset}
	if view.onRecord(record) || !found {
		current.changeOffset = record.Offset
	}
	view.records[record.Key] = current
}

// removeUnlisted deletes the keys missing from a full update, unless their records are newer than
// the update.
func (view *recordView) removeUnlisted(update durable.Update) {
	listed := make(map[string]bool, len(update.Records))
	for _, record := range update.Records {
		listed[record.Key] = true
	}
	for key, record := range view.records {
		if !listed[key] && record.Offset < update.EndOffset && len(record.Value) > 0 {
			view.mergeRecord(durable.KeyedRecord{Key: key, Offset: update.EndOffset - 1})
		}
	}
}

// changedSince returns the records that changed any state at or after an offset, and the view's
// end offset.
func (view *recordView) changedSince(offset int64) (records []durable.KeyedRecord, end int64) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if offset >= view.end {
		return nil, view.end
	}
	for _, record := range view.records {
		if record.changeOffset >= offset {
			records = append(records, record.KeyedRecord)
		}
	}
	return records, view.end
}

// endOffset returns the view's end offset.
func (view *recordView) endOffset() int64 {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.end
}
