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

// Router tells which schedulers may lead a program's shard.
type Router interface {
	// Candidates returns the addresses to ask, the likeliest leader first.
	Candidates(program string) []string
	// Learn notes that address leads the program's shard.
	Learn(program, address string)
	// Forget notes that address does not lead the program's shard.
	Forget(program, address string)
	// Suspect notes that address did not answer: it is asked last for a while.
	Suspect(program, address string)
}

// Placement tells how programs map to shards and shards to schedulers.
type Placement interface {
	// ShardOf returns the program's shard.
	ShardOf(program string) uint32
	// Order returns the addresses of schedulers in the order in which they
	// should host the shard.
	Order(shard uint32, schedulers []outside.Machine) []string
}

// maxCandidates bounds the schedulers asked in one pass: a shard's group, and
// some more in case that the machine list lags.
const maxCandidates = 6

// ShardRouter routes by the platform's lagging machine list and by the leaders
// learned from answers. It is safe for concurrent use.
type ShardRouter struct {
	machines  outside.Machines
	placement Placement
	logger    *zap.Logger

	schedulers atomic.Pointer[[]outside.Machine]

	now func() time.Time

	mutex   sync.RWMutex
	leaders map[uint32]string
	orders  map[uint32][]string
	// suspects holds until when a scheduler is asked last.
	suspects map[string]time.Time
}

// suspectPeriod is how long a scheduler that did not answer is asked last, so
// that not every call waits for one that is cut off or frozen.
const suspectPeriod = 5 * time.Second

// NewShardRouter makes a router that knows no scheduler until Refresh or Run.
func NewShardRouter(machines outside.Machines, placement Placement, logger *zap.Logger) *ShardRouter {
	router := &ShardRouter{
		machines:  machines,
		placement: placement,
		logger:    logger,
		now:       time.Now,
		leaders:   map[uint32]string{},
		orders:    map[uint32][]string{},
		suspects:  map[string]time.Time{},
	}
	router.schedulers.Store(&[]outside.Machine{})
	return router
}

// Run refreshes the machine list each interval until ctx ends.
func (router *ShardRouter) Run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := router.Refresh(ctx); err != nil && ctx.Err() == nil {
			router.logger.Warn("machine list not read", zap.String("error", err.Error()))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Refresh reads the machine list once. A failed read, or one that names no
// scheduler, leaves the last list in force.
func (router *ShardRouter) Refresh(ctx context.Context) error {
	machines, err := router.machines.List(ctx)
	if err != nil {
		return err
	}
	schedulers := slices.DeleteFunc(slices.Clone(machines), func(machine outside.Machine) bool {
		return machine.Role != outside.RoleScheduler
	})
	slices.SortFunc(schedulers, func(one, other outside.Machine) int { return cmp.Compare(one.ID, other.ID) })
	if len(schedulers) == 0 || slices.Equal(schedulers, *router.schedulers.Load()) {
		return nil
	}
	router.schedulers.Store(&schedulers)
	router.mutex.Lock()
	defer router.mutex.Unlock()
	clear(router.orders)
	return nil
}

// Candidates returns the learned leader, if any, then the hosts of the shard
// in placement order.
func (router *ShardRouter) Candidates(program string) []string {
	shard := router.placement.ShardOf(program)
	router.mutex.RLock()
	leader := router.leaders[shard]
	order, known := router.orders[shard]
	router.mutex.RUnlock()
	if !known {
		order = router.order(shard)
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
	return router.suspectsLast(candidates)
}

// suspectsLast keeps the order otherwise.
func (router *ShardRouter) suspectsLast(candidates []string) []string {
	router.mutex.RLock()
	defer router.mutex.RUnlock()
	if len(router.suspects) == 0 {
		return candidates
	}
	now := router.now()
	isSuspect := func(address string) bool { return router.suspects[address].After(now) }
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

func (router *ShardRouter) order(shard uint32) []string {
	order := router.placement.Order(shard, *router.schedulers.Load())
	order = order[:min(len(order), maxCandidates)]
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.orders[shard] = order
	return order
}

// Learn notes the leader of the program's shard.
func (router *ShardRouter) Learn(program, address string) {
	shard := router.placement.ShardOf(program)
	router.mutex.RLock()
	_, suspect := router.suspects[address]
	known := router.leaders[shard] == address && !suspect
	router.mutex.RUnlock()
	if known {
		return
	}
	router.mutex.Lock()
	defer router.mutex.Unlock()
	router.leaders[shard] = address
	delete(router.suspects, address)
}

// Forget drops the learned leader if it is address.
func (router *ShardRouter) Forget(program, address string) {
	shard := router.placement.ShardOf(program)
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if router.leaders[shard] == address {
		delete(router.leaders, shard)
	}
}

// Suspect forgets the address as a leader and asks it last for suspectPeriod.
func (router *ShardRouter) Suspect(program, address string) {
	router.Forget(program, address)
	router.mutex.Lock()
	defer router.mutex.Unlock()
	now := router.now()
	maps.DeleteFunc(router.suspects, func(_ string, until time.Time) bool { return !until.After(now) })
	router.suspects[address] = now.Add(suspectPeriod)
}

// HashPlacement places shards by rendezvous hashing over all schedulers.
type HashPlacement struct {
	// Shards is the fixed number of shards.
	Shards uint32
}

// ShardOf hashes the program's id.
func (placement HashPlacement) ShardOf(program string) uint32 {
	return uint32(xxhash.Sum64String(program) % uint64(placement.Shards))
}

// Order sorts the schedulers by the hash of shard and machine id, live ones
// first.
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
	slices.SortFunc(ranking, func(one, other ranked) int {
		if one.leaving != other.leaving {
			if one.leaving {
				return 1
			}
			return -1
		}
		return cmp.Compare(other.score, one.score)
	})
	addresses := make([]string, 0, len(ranking))
	for _, entry := range ranking {
		addresses = append(addresses, entry.address)
	}
	return addresses
}
