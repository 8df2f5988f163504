package process

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/magpielug/magpielug/internal/outside"
)

// machineCache reads the platform's machine list for the whole process. While
// the list does not answer, the last one read stays in force.
type machineCache struct {
	source   outside.Machines
	interval time.Duration
	timeout  time.Duration
	logger   *zap.Logger
	last     atomic.Pointer[machineList]
	// checkedAt is when the newest reading that has ended, with or without an answer, was
	// begun, by the monotonic clock.
	checkedAt time.Time
	reading   sync.Mutex
}

// machineList is one reading of the list.
type machineList struct {
	machines []outside.Machine
	askedAt  time.Time
}

func newMachineCache(source outside.Machines, interval, timeout time.Duration, logger *zap.Logger) *machineCache {
	cache := &machineCache{source: source, interval: interval, timeout: timeout, logger: logger}
	cache.last.Store(&machineList{})
	return cache
}

// List returns the last list read. Where that is older than it can be while the
// process runs, the process has been frozen, and the list is read first: what
// left meanwhile must get no new work.
func (cache *machineCache) List(ctx context.Context) ([]outside.Machine, error) {
	machines, _ := cache.Newest(ctx)
	return machines, nil
}

// Newest is List, with when the list was asked for.
func (cache *machineCache) Newest(ctx context.Context) ([]outside.Machine, time.Time) {
	if cache.outdated() {
		cache.refresh(ctx)
	}
	newest := cache.last.Load()
	return newest.machines, newest.askedAt
}

// outdated tells whether the list should have been read since it last was.
func (cache *machineCache) outdated() bool {
	cache.reading.Lock()
	defer cache.reading.Unlock()
	return !cache.checkedAt.IsZero() && time.Since(cache.checkedAt) > cache.interval+frozenSlack
}

// lists tells whether the list names a machine of the role.
func (cache *machineCache) lists(role outside.MachineRole) bool {
	return slices.ContainsFunc(cache.machines(), func(machine outside.Machine) bool {
		return machine.Role == role
	})
}

// awaitFirst waits until the list has been read once.
func (cache *machineCache) awaitFirst(ctx context.Context) {
	for len(cache.machines()) == 0 && ctx.Err() == nil {
		time.Sleep(startInterval)
	}
}

// machines returns the last list read.
func (cache *machineCache) machines() []outside.Machine { return cache.last.Load().machines }

const (
	// listLocalInterval is how often a part of the process looks at the cache.
	// It costs no exchange.
	listLocalInterval = 500 * time.Millisecond
	// frozenSlack is how much later than its interval a reading may be before the
	// process is taken to have been frozen.
	frozenSlack = 250 * time.Millisecond
	// listSoonInterval is the wait after a failed read, and after a change, since
	// changes come in groups: machines that start, a zone that is lost.
	listSoonInterval = 500 * time.Millisecond
	// listJitter is the part of the wait by which a read may come earlier, so that
	// processes that started together don't ask together for ever.
	listJitter = 0.2
)

// run reads the list at jittered intervals until the context ends.
func (cache *machineCache) run(ctx context.Context) {
	for {
		wait := cache.interval
		if cache.refresh(ctx) {
			wait = min(wait, listSoonInterval)
		}
		wait -= time.Duration(rand.Float64() * listJitter * float64(wait))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// refresh reads the list once and tells whether it should be read again soon.
func (cache *machineCache) refresh(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, cache.timeout)
	defer cancel()
	askedAt := time.Now()
	machines, err := cache.source.List(bounded)
	cache.noteChecked(askedAt)
	if err != nil {
		if ctx.Err() == nil {
			cache.logger.Warn("machine_list_unreadable", zap.String("error", err.Error()))
		}
		return true
	}
	changed := !slices.Equal(machines, cache.machines())
	cache.take(&machineList{machines: machines, askedAt: askedAt})
	return changed
}

// noteChecked notes a reading that has ended. One under way says nothing yet: what was read
// before it may be from before a freeze.
func (cache *machineCache) noteChecked(askedAt time.Time) {
	cache.reading.Lock()
	defer cache.reading.Unlock()
	if askedAt.After(cache.checkedAt) {
		cache.checkedAt = askedAt
	}
}

// take keeps a list, unless a later reading was through first.
func (cache *machineCache) take(list *machineList) {
	cache.reading.Lock()
	defer cache.reading.Unlock()
	if list.askedAt.After(cache.last.Load().askedAt) {
		cache.last.Store(list)
	}
}

// zones names the zones of magpielug's own machines.
func (cache *machineCache) zones() []string {
	var zones []string
	for _, machine := range cache.machines() {
		own := machine.Role == outside.RoleGateway || machine.Role == outside.RoleScheduler
		if own && !slices.Contains(zones, machine.Zone) {
			zones = append(zones, machine.Zone)
		}
	}
	return zones
}
