package scheduler

import (
	"time"

	"github.com/magpielug/magpielug/internal/outside"
)

const (
	// fenceProgram is what an announcement of a fence has released: a name that
	// no program can have, so that the order changes nothing but the fence.
	fenceProgram = "/fence"
	// fenceRepeat is how long after an announcement an engine's report must show
	// it, or it is given again.
	fenceRepeat = 3 * time.Second
)

// engineFence is what a keeper knows of the fence that one engine has seen.
type engineFence struct {
	// raised is above the epoch of the pool's shard where the engine had seen a
	// higher one, and 0 where it had not.
	raised      uint64
	announcedAt time.Duration
}

// fenceOf is the fence of orders and grants to an engine now: the epoch of the
// pool's shard. Epochs of two shards can't be compared, so for an engine that was
// in another pool before it is raised over what the engine has seen there.
func (pool *pool) fenceOf(engine string) outside.Fence {
	fence := outside.Fence{Holder: pool.core.Incarnation(), Epoch: uint64(pool.core.hosts[pool.shard].epoch)}
	if known := pool.fences[engine]; known != nil {
		fence.Epoch = max(fence.Epoch, known.raised)
	}
	return fence
}

// leads tells whether this process may act for the pool at this moment.
func (pool *pool) leads() bool {
	host := pool.core.hosts[pool.shard]
	return host != nil && host.leads()
}

// announceFence has an engine refuse all orders and grants of earlier keepers
// from now on.
func (pool *pool) announceFence(engine outside.Machine) {
	if !pool.leads() {
		return
	}
	known := pool.fences[engine.ID]
	if known == nil {
		known = &engineFence{}
		pool.fences[engine.ID] = known
	}
	known.announcedAt = pool.core.now
	pool.core.emit(ReleaseCache{Address: engine.Address, Program: fenceProgram, Fence: pool.fenceOf(engine.ID)})
}

// followFence compares the fence that an engine's report shows with the pool's
// own. A lower one means that the announcement was lost or the engine has started
// anew; a higher one that the engine comes from another pool. It can't come from
// a later keeper of this pool: none has the lease while this one does.
func (pool *pool) followFence(engine outside.Machine, seen uint64) {
	if !pool.leads() {
		return
	}
	own := pool.fenceOf(engine.ID).Epoch
	known := pool.fences[engine.ID]
	switch {
	case seen > own:
		if known == nil {
			known = &engineFence{}
			pool.fences[engine.ID] = known
		}
		known.raised = seen + 1
		pool.core.log("fence_raised", pool.shard, "", "", engine.ID)
		pool.announceFence(engine)
	case seen < own && (known == nil || pool.core.now-known.announcedAt > fenceRepeat):
		pool.announceFence(engine)
	}
}
