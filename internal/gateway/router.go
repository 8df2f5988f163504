package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/magpielug/magpielug/internal/outside"
)

// Router returns the schedulers that may lead a program's shard.
type Router interface {
	// Candidates returns the addresses to ask, the most likely leader first.
	Candidates(program string) []string
	// RecordLeader records that address leads the program's shard.
	RecordLeader(program, address string)
	// ForgetLeader records that address does not lead the program's shard.
	ForgetLeader(program, address string)
	// MarkSuspect records that address did not respond. It is asked last for
	// some time.
	MarkSuspect(program, address string)
}

// Placement maps programs to shards and shards to schedulers.
type Placement interface {
	// ShardOf returns the program's shard.
	ShardOf(program string) uint32
	// Order returns the addresses of schedulers in order of preference for
	// hosting the shard.
	Order(shard uint32, schedulers []outside.Machine) []string
}

// maxCandidates limits the schedulers asked in one pass. It exceeds the size of
// a shard's group, as the machine list may lag.
const maxCandidates = 6

// ShardRouter routes by the platform's eventually consistent machine list and
// by the leaders learned from responses. It is safe for concurrent use.
type ShardRouter struct {
	machines  outside.Machines
	placement Placement
	logger    *zap.Logger

	schedulers atomic.Pointer[[]outside.Machine]

	now func() time.Time

	mutex           sync.RWMutex
	leaders         map[uint32]string
	placementOrders map[uint32][]string
	// suspectUntil holds the time until which each suspect is asked last.
	suspectUntil map[string]time.Time
}

// suspectPeriod is how long an unresponsive scheduler is asked last, so that
// calls do not each wait for it to time out.
const suspectPeriod = 5 * time.Second

// NewShardRouter returns a router that has no candidates until Refresh or Run
// reads the machine list.
func NewShardRouter(machines outside.Machines, placement Placement, logger *zap.Logger) *ShardRouter {
	router := &ShardRouter{
		machines:        machines,
		placement:       placement,
		logger:          logger,
		now:             time.Now,
		leaders:         map[uint32]string{},
		placementOrders: map[uint32][]string{},
		suspectUntil:    map[string]time.Time{},
	}
	router.schedulers.Store(&[]outside.Machine{})
	return router
}

// Run refreshes the machine list at each interval until ctx is done.
func (router *ShardRouter) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := router.Refresh(ctx); err != nil && ctx.Err() == nil {
			router.logger.Warn("failed to refresh the machine list", zap.String("error", err.Error()))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Refresh reads the machine list once. If that fails or the list has no
// schedulers, the previous list stays in use.
func (router *ShardRouter) Refresh(ctx context.Context) error {
	machines, err := router.machines.List(ctx)
	if err != nil {
		return err
	}
	schedulers := slices.DeleteFunc(slices.Clone(machines), func(machine outside.Machine) bool {
		return machine.Role != outside.RoleScheduler
	})
	slices.SortFunc(schedulers, func(left, right outside.Machine) int { return cmp.Compare(left.ID, right.ID) })
	if len(schedulers) == 0 || slices.Equal(schedulers, *router.schedulers.Load()) {
		return nil
	}
	router.schedulers.Store(&schedulers)
	router.mutex.Lock()
	defer router.mutex.Unlock()
	clear(router.placementOrders)
	return nil
}

// Candidates returns the known leader, if any, then the shard's hosts in
// placement order, with suspects last.
func (router *ShardRouter) Candidates(program string) []string {
	shard := router.placement.ShardOf(program)
	router.mutex.RLock()
	leader := router.leaders[shard]
	order, known := router.placementOrders[shard]
	router.mutex.RUnlock()
	if !known {
		order = router.placementOrder(shard)
	}
	candidates := make([]string, 0, len(order)+1)
	if leader != "" {
		candidates = append(candidates, leader)
	}
	for _, address := range order {
		if address != leader {
			candidates = append(candidates, address)
		}
	}
	return router.moveSuspectsLast(candidates)
}

// moveSuspectsLast moves suspects to the end and otherwise keeps the order.
func (router *ShardRouter) moveSuspectsLast(candidates []string) []string {
	router.mutex.RLock()
	defer router.mutex.RUnlock()
	if len(router.suspectUntil) == 0 {
		return candidates
	}
	now := router.now()
	isSuspect := func(address string) bool { return router.suspectUntil[address].After(now) }
	sorted := make([]string, 0, len(candidates))
	for _, address := range candidates {
		if !isSuspect(address) {
			sorted = append(sorted, address)
		}
	}
	for _, address := range candidates {
		if isSuspect(address) {
			sorted = append(sorted, address)
		}
	}
	return sorted
}

func (router *ShardRouter) placementOrder(shard uint32) []string {
	order := router.placement.Order(shard, *router.schedulers.Load())
	order = order[:min(len(order), maxCandidates)]
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.placementOrders[shard] = order
	return order
}

// RecordLeader records the leader of the program's shard and clears its
// suspicion.
func (router *ShardRouter) RecordLeader(program, address string) {
	shard := router.placement.ShardOf(program)
	router.mutex.RLock()
	_, suspect := router.suspectUntil[address]
	known := router.leaders[shard] == address && !suspect
	router.mutex.RUnlock()
	if known {
		return
	}
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.leaders[shard] = address
	delete(router.suspectUntil, address)
}

// ForgetLeader removes address as the known leader of the program's shard.
func (router *ShardRouter) ForgetLeader(program, address string) {
	shard := router.placement.ShardOf(program)
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if router.leaders[shard] == address {
		delete(router.leaders, shard)
	}
}

// MarkSuspect removes address as the known leader and asks it last for
// suspectPeriod.
func (router *ShardRouter) MarkSuspect(program, address string) {
	router.ForgetLeader(program, address)
	router.mutex.Lock()
	defer router.mutex.Unlock()
	now := router.now()
	maps.DeleteFunc(router.suspectUntil, func(_ string, until time.Time) bool { return !until.After(now) })
	router.suspectUntil[address] = now.Add(suspectPeriod)
}

// HashPlacement places shards on schedulers by rendezvous hashing.
type HashPlacement struct {
	// Shards is the number of shards; it must not change.
	Shards uint32
}

// ShardOf returns the shard of the program id's hash.
func (placement HashPlacement) ShardOf(program string) uint32 {
	return uint32(xxhash.Sum64String(program) % uint64(placement.Shards))
}

// Order sorts the schedulers by the hash of shard and machine id, with leaving
// machines last.
func (placement HashPlacement) Order(shard uint32, schedulers []outside.Machine) []string {
	type ranked struct {
		address string
		leaving bool
		score   uint64
	}
	ranking := make([]ranked, 0, len(schedulers))
	for _, machine := range schedulers {
		prefix := []byte{byte(shard >> 24), byte(shard >> 16), byte(shard >> 8), byte(shard)}
		ranking = append(ranking, ranked{
			address: machine.Address,
			leaving: machine.State == outside.MachineLeaving,
			score:   xxhash.Sum64(append(prefix, machine.ID...)),
		})
	}
	slices.SortFunc(ranking, func(left, right ranked) int {
		if left.leaving != right.leaving {
			if left.leaving {
				return 1
			}
			return -1
		}
		return cmp.Compare(right.score, left.score)
	})
	addresses := make([]string, 0, len(ranking))
	for _, entry := range ranking {
		addresses = append(addresses, entry.address)
	}
	return addresses
}
