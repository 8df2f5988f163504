package scheduler

import (
	"time"

	"github.com/magpielug/magpielug/internal/outside"
)

const (
	// fenceProgram is the program whose cache is released to announce a fence. No program can
	// have this name, so that the command only raises the fence.
	fenceProgram = "/fence"
	// fenceAnnounceInterval is the time after which an announcement is repeated if the engine's
	// reports do not show it.
	fenceAnnounceInterval = 3 * time.Second
)

// engineFence is a keeper's record of the fence at one engine.
type engineFence struct {
	// raised is the fence epoch used for an engine that has seen a higher one than the epoch of
	// the pool's shard, otherwise 0.
	raised      uint64
	announcedAt time.Duration
}

// fenceOf returns the current fence for commands and grants to an engine: the epoch of the
// pool's shard. Epochs of different shards are not comparable, so for an engine that comes from
// another pool the fence is raised above the one that it has seen.
func (pool *pool) fenceOf(engine string) outside.Fence {
	fence := outside.Fence{Holder: pool.core.Incarnation(), Epoch: uint64(pool.core.hosts[pool.shard].epoch)}
	if known := pool.fences[engine]; known != nil {
		fence.Epoch = max(fence.Epoch, known.raised)
	}
	return fence
}

// leads reports whether this process leads the pool's shard.
func (pool *pool) leads() bool {
	host := pool.core.hosts[pool.shard]
	return host != nil && host.leads()
}

// announceFence makes an engine reject commands and grants of earlier keepers.
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

// reconcileFence compares an engine's reported fence with the pool's. If it is lower, the
// announcement was lost or the engine has restarted. If it is higher, the engine comes from
// another pool; it can't come from a later keeper of this pool while this process holds the
// lease.
func (pool *pool) reconcileFence(engine outside.Machine, seen uint64) {
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
	case seen < own && (known == nil || pool.core.now-known.announcedAt > fenceAnnounceInterval):
		pool.announceFence(engine)
	}
}
