package ownership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/tenant"
	"go.uber.org/zap"
)

// Manager runs the shards of a node on one control goroutine. Its methods may
// be called from any goroutine.
type Manager struct {
	log    durable.Log
	logger *zap.Logger
	self   Identity
	around Dependencies
	events chan func()
	shards []*shard
	// pace is that of the store's appends.
	pace durable.AppendLatency
	// largestTurn is the most that a turn was asked for, tokens. Only the control
	// goroutine touches it.
	largestTurn int64
	// claimFailed is when the log last failed a claim of this node.
	claimFailed time.Time
	// held tells other goroutines which shards are owned or being claimed.
	held []atomic.Bool
	// ownedSince is when this node came to own a shard, nil where it does not. It keeps the
	// monotonic clock's reading, so that a step of the machine's clock makes no owner older.
	ownedSince []atomic.Pointer[time.Time]
	context    context.Context
}

// eventQueue is how many events may wait for the control goroutine.
const eventQueue = 4096

// NewManager returns a manager for a number of shards that works until ctx
// ends. Run must be called.
func NewManager(ctx context.Context, log durable.Log, logger *zap.Logger, self Identity, shards int, around Dependencies) *Manager {
	manager := &Manager{
		context: ctx,
		log:     log,
		logger:  logger,
		self:    self,
		around:  around,
		events:  make(chan func(), eventQueue),
	}
	if around.CountsSecondAllowance == nil {
		manager.around.CountsSecondAllowance = func() bool { return false }
	}
	manager.held = make([]atomic.Bool, shards)
	manager.ownedSince = make([]atomic.Pointer[time.Time], shards)
	for number := range shards {
		manager.shards = append(manager.shards, &shard{number: number, ended: map[string]time.Time{}})
	}
	return manager
}

// Run is the control goroutine; it returns when the manager's context ends.
func (manager *Manager) Run() {
	const tick = 50 * time.Millisecond
	const overdueTicks = 10
	const expiryTicks = 200
	ticker := time.NewTicker(tick)
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
			if ticks%overdueTicks == 0 {
				manager.expireTurns(now)
			}
			if ticks%expiryTicks == 0 {
				manager.expireAccounts(now)
			}
		}
	}
}

// post hands an event to the control goroutine.
func (manager *Manager) post(event func()) {
	select {
	case manager.events <- event:
	case <-manager.context.Done():
	}
}

// Reserve asks for tokens of a program in a shard. It waits for the log where
// that is needed, and until ctx ends.
func (manager *Manager) Reserve(ctx context.Context, number int, ask ReserveRequest) ReserveResult {
	reply := make(chan ReserveResult, 1)
	manager.post(func() {
		manager.reserve(manager.shards[number], waiter{ask: ask, since: time.Now(), reply: reply})
	})
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
		return unsure("the request's time is over")
	}
}

// Settle ends a turn in a shard.
func (manager *Manager) Settle(number int, program tenant.Program, request string, tokens int64) {
	manager.post(func() { manager.shards[number].settle(program, request, tokens, time.Now()) })
}

// Owns tells whether this node owns a shard or is claiming it.
func (manager *Manager) Owns(number int) bool { return manager.held[number].Load() }

// OwnedSince returns when this node came to own a shard, false where it does not.
func (manager *Manager) OwnedSince(number int) (time.Time, bool) {
	since := manager.ownedSince[number].Load()
	if since == nil {
		return time.Time{}, false
	}
	return *since, true
}

// noteOwned notes whether this node owns a shard, from now on.
func (manager *Manager) noteOwned(number int, owned bool) {
	if !owned {
		manager.ownedSince[number].Store(nil)
		return
	}
	now := time.Now()
	manager.ownedSince[number].Store(&now)
}
