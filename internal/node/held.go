package node

import (
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/heldbytes"
)

// Shares of the process's memory that may be held on behalf of others, each over all
// calls. With the turns (historyShare) they leave more than half of the memory to the
// program itself, whose working set is 25 to 40 MB on machines of 112 MB.
const (
	sentShare    = 0.10
	unreadShare  = 0.08
	answersShare = 0.07
)

// heldBounds bound what a node holds for callers and of engines' answers.
type heldBounds struct {
	// sent are requests that are not answered yet, unread answers that callers have not
	// taken, answers those that are held until they are whole.
	sent, unread, answers *heldbytes.Limiter
}

// newHeldBounds returns the bounds for a process of a memory, no bounds where that is not
// known.
func newHeldBounds(memory int64) heldBounds {
	if !feature.Enabled(feature.HeldBytes) {
		memory = 0
	}
	share := func(part float64) *heldbytes.Limiter { return heldbytes.New(int64(part * float64(max(memory, 0)))) }
	return heldBounds{sent: share(sentShare), unread: share(unreadShare), answers: share(answersShare)}
}
