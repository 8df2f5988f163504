package engine

import "github.com/magpielug/magpielug/internal/outside/wire"

// boundedSet remembers the latest ids with a reason each.
type boundedSet struct {
	limit   int
	reasons map[string]wire.ErrorCode
	order   []string
}

func newBoundedSet(limit int) *boundedSet {
	return &boundedSet{limit: limit, reasons: make(map[string]wire.ErrorCode)}
}

func (set *boundedSet) add(id string, reason wire.ErrorCode) {
	if _, found := set.reasons[id]; found {
		return
	}
	set.reasons[id] = reason
	set.order = append(set.order, id)
	if len(set.order) > set.limit {
		delete(set.reasons, set.order[0])
		set.order = set.order[1:]
	}
}

// reason returns why an id is in the set, empty when it is not.
func (set *boundedSet) reason(id string) wire.ErrorCode { return set.reasons[id] }
