package process

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/configuration"
	"github.com/magpielug/magpielug/internal/outside/httpadapter"
	"github.com/magpielug/magpielug/internal/replication"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/scheduler"
	"github.com/magpielug/magpielug/internal/settings"
)

const freshnessInterval = 100 * time.Millisecond

// RunScheduler runs a scheduler process until it is told to stop.
func RunScheduler(ctx context.Context, version string, loaded settings.Settings) error {
	var running *scheduler.Scheduler
	shared, err := newProcess(version, loaded, func(snapshot *configuration.Snapshot) {
		running.SetConfiguration(ctx, snapshot)
	})
	if err != nil {
		return err
	}
	running, err = scheduler.New(schedulerConfig(loaded), scheduler.Dependencies{
		Log:          shared.log,
		Machines:     shared.machines,
		Engines:      httpadapter.NewEngine(shared.adapters),
		Tools:        httpadapter.NewTool(shared.adapters),
		Client:       shared.client,
		Logger:       shared.logger.Logger,
		PollInterval: loaded.Platform.EngineReports,
		ListInterval: listLocalInterval,
	})
	if err != nil {
		return err
	}
	shared.mux.Handle("/", running.Handler())
	shared.registry.MustRegister(scheduler.NewCollector(running))
	serve := func(ctx context.Context) {
		go watchFreshness(ctx, shared, running)
		running.Run(ctx)
	}
	return shared.run(ctx, role{ready: schedulerReadiness(shared), serve: serve, stop: running.HandOver})
}

func schedulerReadiness(shared *process) func() error {
	return func() error {
		if shared.reader.Current() == nil || !shared.fresh() {
			return resultcode.New(resultcode.ConfigurationStale, "no current configuration")
		}
		return nil
	}
}

// watchFreshness tells the control loop whenever the freshness changes.
func watchFreshness(ctx context.Context, shared *process, running *scheduler.Scheduler) {
	ticker := time.NewTicker(freshnessInterval)
	defer ticker.Stop()
	told := false
	for {
		if fresh := shared.fresh(); fresh != told {
			told = fresh
			running.SetFresh(ctx, fresh)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func schedulerConfig(loaded settings.Settings) scheduler.Config {
	bounds := loaded.Scheduler
	agreement := replication.DefaultConfig()
	agreement.HeartbeatInterval = bounds.Heartbeat
	agreement.LeaseDuration = bounds.Lease
	agreement.ElectionTimeoutMin = bounds.ElectionMin
	agreement.ElectionTimeoutMax = bounds.ElectionMax
	agreement.GroupSize = bounds.Replicas
	agreement.MaxBacklogBytes = int(bounds.ArchiveBacklog)
	agreement.KeepEntries = bounds.KeepEntries
	return scheduler.Config{
		Process:             loaded.Node.ID,
		Region:              loaded.Node.Region,
		Zone:                loaded.Node.Zone,
		Shards:              bounds.Shards,
		Replicas:            bounds.Replicas,
		Replication:         agreement,
		BacklogBytes:        int(bounds.ArchiveBacklogTotal),
		SnapshotBytes:       int(bounds.SnapshotBytes),
		SnapshotEntries:     bounds.SnapshotEntries,
		ArchiveIntents:      bounds.ArchiveIntents,
		OfferRetry:          bounds.OfferRetry,
		HeldInterval:        bounds.HeldInterval,
		LiveInterval:        bounds.LiveInterval,
		FoundingWait:        bounds.FoundingWait,
		EndedMemory:         bounds.EndedMemory,
		MaximumAttempts:     bounds.MaximumAttempts,
		DefaultCallDeadline: bounds.DefaultCallDeadline,
		DefaultWaitBound:    bounds.DefaultWaitBound,
	}
}
