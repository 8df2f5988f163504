package ownership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/tenant"
	"go.uber.org/zap"
)

// Manager runs the shards of a node on one control goroutine. It is safe for
// concurrent use.
type Manager struct {
	log           durable.Log
	logger        *zap.Logger
	self          Identity
	dependencies  Dependencies
	events        chan func()
	shards        []*shard
	appendLatency durable.AppendLatency
	// largestTurnTokens is the highest maximum requested for a turn. Only the control
	// goroutine accesses it.
	largestTurnTokens int64
	// lastClaimFailure is when the store last failed a claim.
	lastClaimFailure time.Time
	// ownedOrClaiming holds which shards are owned or being claimed, for other goroutines.
	ownedOrClaiming []atomic.Bool
	// ownedSince is when this node became a shard's owner, nil if it is not. It keeps the
	// monotonic clock reading, so that wall clock adjustments do not affect it.
	ownedSince []atomic.Pointer[time.Time]
	context    context.Context
}

// eventQueueSize is the capacity of the control goroutine's event queue.
const eventQueueSize = 4096

// NewManager returns a manager of a number of shards, which stops when ctx ends. The
// caller must call Run.
func NewManager(ctx context.Context, log durable.Log, logger *zap.Logger, self Identity, shards int, dependencies Dependencies) *Manager {
	manager := &Manager{
		context:      ctx,
		log:          log,
		logger:       logger,
		self:         self,
		dependencies: dependencies,
		events:       make(chan func(), eventQueueSize),
	}
	if dependencies.SupportsSecondAllowance == nil {
		manager.dependencies.SupportsSecondAllowance = func() bool { return false }
	}
	manager.ownedOrClaiming = make([]atomic.Bool, shards)
	manager.ownedSince = make([]atomic.Pointer[time.Time], shards)
	for number := range shards {
		manager.shards = append(manager.shards, &shard{number: number, settledEarly: map[string]time.Time{}})
	}
	return manager
}

// Run runs the control loop until the manager's context ends.
func (manager *Manager) Run() {
	const tickInterval = 50 * time.Millisecond
	const turnExpiryTicks = 10
	const accountExpiryTicks = 200
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	ticks := 0
	for {
		select {
		case <-manager.context.Done():
			return
		case event := <-manager.events:
			event()
		case now := <-ticker.C:
			ticks++
			manager.expireWaiters(now)
			manager.startRenewals(now)
			if ticks%turnExpiryTicks == 0 {
				manager.expireTurns(now)
			}
			if ticks%accountExpiryTicks == 0 {
				manager.expireAccounts(now)
			}
		}
	}
}

// post queues an event for the control goroutine.
func (manager *Manager) post(event func()) {
	select {
	case manager.events <- event:
	case <-manager.context.Done():
	}
}

// Reserve reserves tokens of a program in a shard. If this requires a log append or a
// claim, it waits for that, at most until ctx ends.
func (manager *Manager) Reserve(ctx context.Context, number int, request ReserveRequest) ReserveResult {
	reply := make(chan ReserveResult, 1)
	manager.post(func() {
		manager.reserve(manager.shards[number], waiter{request: request, queuedAt: time.Now(), reply: reply})
	})
	select {
	case result := <-reply:
		return result
	case <-ctx.Done():
		return undetermined("the request's time is over")
	}
}

// Settle ends a turn that spent tokens in a shard.
func (manager *Manager) Settle(number int, program tenant.Program, requestID string, tokens int64) {
	manager.post(func() {
		shard := manager.shards[number]
		shard.settle(program, requestID, tokens, time.Now())
		manager.appendPending(shard)
	})
}

// OwnsOrClaims reports whether this node owns a shard or is claiming it.
func (manager *Manager) OwnsOrClaims(number int) bool { return manager.ownedOrClaiming[number].Load() }

// OwnedSince returns when this node became a shard's owner, false if it is not.
func (manager *Manager) OwnedSince(number int) (time.Time, bool) {
	since := manager.ownedSince[number].Load()
	if since == nil {
		return time.Time{}, false
	}
	return *since, true
}

// setOwned updates ownedSince.
func (manager *Manager) setOwned(number int, owned bool) {
	if !owned {
		manager.ownedSince[number].Store(nil)
		return
	}
	now := time.Now()
	manager.ownedSince[number].Store(&now)
}
