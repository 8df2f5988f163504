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

// machineCache polls the platform's machine list for the whole process. While
// polls fail, the latest list stays in use.
type machineCache struct {
	source   outside.Machines
	interval time.Duration
	timeout  time.Duration
	logger   *zap.Logger
	latest   atomic.Pointer[machineList]
	// lastAttempt is the start, by the monotonic clock, of the most recently
	// started read that has ended, with or without an error.
	lastAttempt time.Time
	mutex       sync.Mutex
}

// machineList is the result of one read.
type machineList struct {
	machines    []outside.Machine
	requestedAt time.Time
}

func newMachineCache(source outside.Machines, interval, timeout time.Duration, logger *zap.Logger) *machineCache {
	cache := &machineCache{source: source, interval: interval, timeout: timeout, logger: logger}
	cache.latest.Store(&machineList{})
	return cache
}

// List returns the latest list. If polling is overdue, the process has been
// frozen, and List reads the list first: machines that left during the freeze
// must not get new work.
func (cache *machineCache) List(ctx context.Context) ([]outside.Machine, error) {
	machines, _ := cache.Newest(ctx)
	return machines, nil
}

// Newest is like List, and also returns when the list was requested.
func (cache *machineCache) Newest(ctx context.Context) ([]outside.Machine, time.Time) {
	if cache.stale() {
		cache.refresh(ctx)
	}
	newest := cache.latest.Load()
	return newest.machines, newest.requestedAt
}

// stale reports whether polling is overdue.
func (cache *machineCache) stale() bool {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	return !cache.lastAttempt.IsZero() && time.Since(cache.lastAttempt) > cache.interval+freezeTolerance
}

// hasRole reports whether the list has a machine of the role.
func (cache *machineCache) hasRole(role outside.MachineRole) bool {
	return slices.ContainsFunc(cache.machines(), func(machine outside.Machine) bool {
		return machine.Role == role
	})
}

// waitForList waits until the list is not empty or ctx is cancelled.
func (cache *machineCache) waitForList(ctx context.Context) {
	for len(cache.machines()) == 0 && ctx.Err() == nil {
		time.Sleep(readyPollInterval)
	}
}

// machines returns the latest list without checking its age.
func (cache *machineCache) machines() []outside.Machine { return cache.latest.Load().machines }

const (
	// cachePollInterval is how often the components of the process poll the cache.
	cachePollInterval = 500 * time.Millisecond
	// freezeTolerance is how much a read may be overdue before the process counts
	// as having been frozen.
	freezeTolerance = 250 * time.Millisecond
	// listRetryInterval is the wait after a failed read and after a change. Changes
	// come in groups, as when a zone is lost.
	listRetryInterval = 500 * time.Millisecond
	// listJitterFraction is the fraction of the wait by which a read may be early,
	// so that processes started at the same time don't poll in lockstep.
	listJitterFraction = 0.2
)

// run reads the list at jittered intervals until ctx is cancelled.
func (cache *machineCache) run(ctx context.Context) {
	for {
		wait := cache.interval
		if cache.refresh(ctx) {
			wait = min(wait, listRetryInterval)
		}
		wait -= time.Duration(rand.Float64() * listJitterFraction * float64(wait))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// refresh reads the list and reports whether to read it again soon, after an
// error or a change.
func (cache *machineCache) refresh(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, cache.timeout)
	defer cancel()
	requestedAt := time.Now()
	machines, err := cache.source.List(bounded)
	cache.recordAttempt(requestedAt)
	if err != nil {
		if ctx.Err() == nil {
			cache.logger.Warn("machine_list_unreadable", zap.String("error", err.Error()))
		}
		return true
	}
	changed := !slices.Equal(machines, cache.machines())
	cache.storeIfNewer(&machineList{machines: machines, requestedAt: requestedAt})
	return changed
}

// recordAttempt records a read that has ended. A read in progress doesn't count,
// because the cached list may be from before a freeze.
func (cache *machineCache) recordAttempt(requestedAt time.Time) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if requestedAt.After(cache.lastAttempt) {
		cache.lastAttempt = requestedAt
	}
}

// storeIfNewer stores list unless one that was requested later is stored already.
func (cache *machineCache) storeIfNewer(list *machineList) {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	if list.requestedAt.After(cache.latest.Load().requestedAt) {
		cache.latest.Store(list)
	}
}

// zones returns the zones with a gateway or scheduler.
func (cache *machineCache) zones() []string {
	var zones []string
	for _, machine := range cache.machines() {
		isProcess := machine.Role == outside.RoleGateway || machine.Role == outside.RoleScheduler
		if isProcess && !slices.Contains(zones, machine.Zone) {
			zones = append(zones, machine.Zone)
		}
	}
	return zones
}
