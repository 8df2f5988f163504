package engine

import "github.com/magpielug/magpielug/internal/outside/wire"

// boundedSet holds the most recently added ids, each with a reason.
type boundedSet struct {
	limit          int
	reasons        map[string]wire.ErrorCode
	insertionOrder []string
}

func newBoundedSet(limit int) *boundedSet {
	return &boundedSet{limit: limit, reasons: make(map[string]wire.ErrorCode)}
}

func (set *boundedSet) add(id string, reason wire.ErrorCode) {
	if _, found := set.reasons[id]; found {
		return
	}
	set.reasons[id] = reason
	set.insertionOrder = append(set.insertionOrder, id)
	if len(set.insertionOrder) > set.limit {
		delete(set.reasons, set.insertionOrder[0])
		set.insertionOrder = set.insertionOrder[1:]
	}
}

// reason returns the reason of an id, or "" if the id is not in the set.
func (set *boundedSet) reason(id string) wire.ErrorCode { return set.reasons[id] }
