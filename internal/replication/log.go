package replication

import (
	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// entryOverheadBytes is the approximate memory overhead of an entry.
const entryOverheadBytes = 160

// entryLog holds the entries after a compacted prefix. Entries are shared with
// messages and immutable once appended.
type entryLog struct {
	// previousIndex and previousEpoch describe the entry before entries[0].
	previousIndex uint64
	previousEpoch Epoch
	entries       []*replicationv1.Entry
	// baseMembers is the group at previousIndex, set by the entry at baseMembersIndex.
	baseMembers      []Member
	baseMembersIndex uint64
	// archived is the index of the last entry stored in the platform's log.
	archived     uint64
	backlogBytes int
}

func entryBytes(entry *replicationv1.Entry) int {
	return len(entry.GetData()) + entryOverheadBytes
}

func (l *entryLog) lastIndex() uint64 {
	return l.previousIndex + uint64(len(l.entries))
}

func (l *entryLog) lastEpoch() Epoch {
	if len(l.entries) == 0 {
		return l.previousEpoch
	}
	return Epoch(l.entries[len(l.entries)-1].GetEpoch())
}

// epochAt returns the epoch of the entry at index, or false if it is not known.
func (l *entryLog) epochAt(index uint64) (Epoch, bool) {
	if index == l.previousIndex {
		return l.previousEpoch, true
	}
	if index < l.previousIndex || index > l.lastIndex() {
		return 0, false
	}
	return Epoch(l.at(index).GetEpoch()), true
}

// at returns the entry at index, which must be in the log.
func (l *entryLog) at(index uint64) *replicationv1.Entry {
	return l.entries[index-l.previousIndex-1]
}

func (l *entryLog) append(entry *replicationv1.Entry) {
	l.entries = append(l.entries, entry)
	if entry.GetIndex() > l.archived {
		l.backlogBytes += entryBytes(entry)
	}
}

// truncateFrom removes the entries from index on.
func (l *entryLog) truncateFrom(index uint64) {
	keep := index - l.previousIndex - 1
	for position := keep; position < uint64(len(l.entries)); position++ {
		l.backlogBytes -= entryBytes(l.entries[position])
		l.entries[position] = nil
	}
	l.entries = l.entries[:keep]
}

// between returns the entries in (after, until], limited to maxBytes but at least
// one.
func (l *entryLog) between(after, until uint64, maxBytes int) []*replicationv1.Entry {
	if after >= until {
		return nil
	}
	first := after - l.previousIndex
	limit := until - l.previousIndex
	end := first
	size := 0
	for end < limit {
		size += entryBytes(l.entries[end])
		if size > maxBytes && end > first {
			break
		}
		end++
	}
	return l.entries[first:end:end]
}

// setArchived marks the entries up to index as archived.
func (l *entryLog) setArchived(index uint64) {
	if index > l.lastIndex() {
		index = l.lastIndex()
	}
	for ; l.archived < index; l.archived++ {
		if l.archived >= l.previousIndex {
			l.backlogBytes -= entryBytes(l.at(l.archived + 1))
		}
	}
}

// compactTo removes the entries up to index, which must be applied and archived.
func (l *entryLog) compactTo(index uint64) {
	if index <= l.previousIndex {
		return
	}
	l.baseMembers, l.baseMembersIndex = l.membersAt(index)
	l.previousEpoch = Epoch(l.at(index).GetEpoch())
	kept := l.entries[index-l.previousIndex:]
	l.entries = append(make([]*replicationv1.Entry, 0, len(kept)), kept...)
	l.previousIndex = index
}

// membersAt returns the group in effect at index and the index of the entry that set
// it.
func (l *entryLog) membersAt(index uint64) ([]Member, uint64) {
	for position := index; position > l.previousIndex; position-- {
		entry := l.at(position)
		if entry.GetKind() == KindMembers {
			return DecodeMembers(entry.GetMembers()), position
		}
	}
	return l.baseMembers, l.baseMembersIndex
}

// nextMembers returns the first group set after an index and the index of the entry
// that sets it, or 0 if there is none.
func (l *entryLog) nextMembers(after uint64) ([]Member, uint64) {
	for index := max(after, l.previousIndex) + 1; index <= l.lastIndex(); index++ {
		if entry := l.at(index); entry.GetKind() == KindMembers {
			return DecodeMembers(entry.GetMembers()), index
		}
	}
	return nil, 0
}

// firstIndexOfEpoch returns the first index, above floor, of the contiguous entries
// with the same epoch as the entry at index.
func (l *entryLog) firstIndexOfEpoch(index, floor uint64) uint64 {
	epoch, _ := l.epochAt(index)
	for index-1 > floor {
		previous, known := l.epochAt(index - 1)
		if !known || previous != epoch {
			break
		}
		index--
	}
	return index
}

func decodeEntry(entry *replicationv1.Entry) Entry {
	decoded := Entry{
		Index: entry.GetIndex(),
		Epoch: Epoch(entry.GetEpoch()),
		Kind:  entry.GetKind(),
		Data:  entry.GetData(),
	}
	if decoded.Kind == KindMembers {
		decoded.Members = DecodeMembers(entry.GetMembers())
	}
	return decoded
}
