package node

import (
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"go.uber.org/zap"
)

// recordView holds the newest records of a keyed topic, from whichever source
// they come: the store, or another node while the store does not answer. A
// record older than one seen of the same key changes nothing.
type recordView struct {
	name   string
	logger *zap.Logger
	// apply is told of each record that is new, and tells whether it changed
	// anything; an empty value says that the key was dropped.
	apply func(record durable.KeyedRecord) bool

	mutex  sync.Mutex
	newest map[string]heldRecord
	end    int64
	// hasRead is true once any update has come, checked is when the newest was asked for, even
	// if it held nothing new.
	hasRead bool
	checked moment
}

// heldRecord is a key's newest record.
type heldRecord struct {
	durable.KeyedRecord
	// changed is the offset of the record that last changed anything: engines
	// repeat theirs all the time, which others need not be told.
	changed int64
}

func newRecordView(name string, logger *zap.Logger, apply func(durable.KeyedRecord) bool) *recordView {
	return &recordView{name: name, logger: logger, apply: apply, newest: map[string]heldRecord{}}
}

// take takes an update in. It was asked for at a time, or of a source that had asked for it
// then: what an update that was held up on its way tells is as old as that.
func (view *recordView) take(update durable.Update, askedAt time.Time) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	for _, record := range update.Records {
		view.takeRecord(record)
	}
	if update.Full {
		view.dropUnlisted(update)
	}
	view.hasRead = true
	if update.End >= view.end {
		// One that ends before what is known is of an older state, and confirms nothing.
		view.checked.advance(askedAt)
	}
	view.end = max(view.end, update.End)
}

// unreadAge is the age of a view that has read nothing: it confirms what nobody holds.
const unreadAge = 24 * time.Hour

// age is how old what the view holds may be.
func (view *recordView) age() time.Duration {
	if !view.read() {
		return unreadAge
	}
	return view.checked.age(time.Now())
}

// checkedSince tells whether what the view holds was asked for at a moment or later.
func (view *recordView) checkedSince(moment time.Time) bool { return view.checked.since(moment) }

// read tells whether any update has come.
func (view *recordView) read() bool {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.hasRead
}

func (view *recordView) takeRecord(record durable.KeyedRecord) {
	known, found := view.newest[record.Key]
	if found && known.Offset >= record.Offset {
		return
	}
	held := heldRecord{KeyedRecord: record, changed: known.changed}
	if view.apply(record) || !found {
		held.changed = record.Offset
	}
	view.newest[record.Key] = held
}

// dropUnlisted drops the keys that a whole reading does not list, unless the
// reading is older than what was seen of them.
func (view *recordView) dropUnlisted(update durable.Update) {
	listed := make(map[string]bool, len(update.Records))
	for _, record := range update.Records {
		listed[record.Key] = true
	}
	for key, record := range view.newest {
		if !listed[key] && record.Offset < update.End && len(record.Value) > 0 {
			view.takeRecord(durable.KeyedRecord{Key: key, Offset: update.End - 1})
		}
	}
}

// since returns the records that changed something from an offset on, and how far
// the view has come.
func (view *recordView) since(offset int64) (records []durable.KeyedRecord, end int64) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	if offset >= view.end {
		return nil, view.end
	}
	for _, record := range view.newest {
		if record.changed >= offset {
			records = append(records, record.KeyedRecord)
		}
	}
	return records, view.end
}

// reached returns how far the view has come.
func (view *recordView) reached() int64 {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return view.end
}
