package process

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/magpielug/magpielug/internal/platform"
)

// machineCache reads the platform's machine list for the whole process. While
// the list does not answer, the last one read stays in force.
type machineCache struct {
	source   platform.Machines
	interval time.Duration
	timeout  time.Duration
	logger   *zap.Logger
	last     atomic.Pointer[[]platform.Machine]
}

func newMachineCache(source platform.Machines, interval, timeout time.Duration, logger *zap.Logger) *machineCache {
	cache := &machineCache{source: source, interval: interval, timeout: timeout, logger: logger}
	cache.last.Store(&[]platform.Machine{})
	return cache
}

// List returns the last list read.
func (cache *machineCache) List(context.Context) ([]platform.Machine, error) {
	return *cache.last.Load(), nil
}

// machines returns the last list read.
func (cache *machineCache) machines() []platform.Machine { return *cache.last.Load() }

// run reads the list at intervals until the context ends.
func (cache *machineCache) run(ctx context.Context) {
	ticker := time.NewTicker(cache.interval)
	defer ticker.Stop()
	for {
		cache.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (cache *machineCache) refresh(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, cache.timeout)
	defer cancel()
	machines, err := cache.source.List(bounded)
	if err != nil {
		if ctx.Err() == nil {
			cache.logger.Warn("machine_list_unreadable", zap.String("error", err.Error()))
		}
		return
	}
	cache.last.Store(&machines)
}

// zones names the zones of magpielug's own machines.
func (cache *machineCache) zones() []string {
	var zones []string
	for _, machine := range cache.machines() {
		own := machine.Role == platform.RoleGateway || machine.Role == platform.RoleScheduler
		if own && !slices.Contains(zones, machine.Zone) {
			zones = append(zones, machine.Zone)
		}
	}
	return zones
}
