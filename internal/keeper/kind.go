package keeper

const (
	// maxKinds bounds the kinds with statistics of their own; later ones share
	// one record.
	maxKinds = 1024
	// firstPauseSeconds and firstReuse are taken before anything was measured.
	firstPauseSeconds = 2.0
	firstReuse        = 0.9
)

// kindKey names a program kind of one tenant.
type kindKey struct{ tenant, kind string }

// kindRecord is what past programs of one kind have shown.
type kindRecord struct {
	// pauseSeconds is the mean length of pauses that ended in another call.
	pauseSeconds ratio
	// reuse is the part of pauses that ended in another call.
	reuse ratio
	// shared is the cached part that programs without a prefix of their own
	// found: the beginning of the prompt that the kind shares, tokens.
	shared ratio
}

// sharedTokens is how much of a prompt all programs of the kind share.
func (record *kindRecord) sharedTokens() int {
	return int(record.shared.value(0))
}

// kindTable holds the records by kind.
type kindTable struct {
	byKind map[kindKey]*kindRecord
	others kindRecord
}

func newKindTable() kindTable {
	return kindTable{byKind: make(map[kindKey]*kindRecord)}
}

// of returns the record of a kind.
func (table *kindTable) of(tenant, kind string) *kindRecord {
	key := kindKey{tenant, kind}
	record := table.byKind[key]
	if record != nil {
		return record
	}
	if len(table.byKind) >= maxKinds {
		return &table.others
	}
	record = &kindRecord{}
	table.byKind[key] = record
	return record
}

// unknownKind serves programs that no call has told the kind of. It is never
// written to.
var unknownKind kindRecord

// kindRecord returns the statistics of the program's kind.
func (program *programState) kindRecord() *kindRecord {
	if program.kind == nil {
		return &unknownKind
	}
	return program.kind
}
