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

const freshnessPollInterval = 100 * time.Millisecond

// RunScheduler runs a scheduler process until ctx is cancelled or the process
// receives SIGTERM or SIGINT.
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
		ListInterval: cachePollInterval,
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

// watchFreshness notifies the scheduler when the configuration becomes fresh or
// stale.
func watchFreshness(ctx context.Context, shared *process, running *scheduler.Scheduler) {
	ticker := time.NewTicker(freshnessPollInterval)
	defer ticker.Stop()
	lastFresh := false
	for {
		if fresh := shared.fresh(); fresh != lastFresh {
			lastFresh = fresh
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
	section := loaded.Scheduler
	replicationConfig := replication.DefaultConfig()
	replicationConfig.HeartbeatInterval = section.Heartbeat
	replicationConfig.LeaseDuration = section.Lease
	replicationConfig.ElectionTimeoutMin = section.ElectionMin
	replicationConfig.ElectionTimeoutMax = section.ElectionMax
	replicationConfig.GroupSize = section.Replicas
	replicationConfig.MaxBacklogBytes = int(section.ArchiveBacklog)
	replicationConfig.KeepEntries = section.KeepEntries
	return scheduler.Config{
		Process:             loaded.Node.ID,
		Region:              loaded.Node.Region,
		Zone:                loaded.Node.Zone,
		Shards:              section.Shards,
		Replicas:            section.Replicas,
		Replication:         replicationConfig,
		BacklogBytes:        int(section.ArchiveBacklogTotal),
		SnapshotBytes:       int(section.SnapshotBytes),
		SnapshotEntries:     section.SnapshotEntries,
		ArchiveIntents:      section.ArchiveIntents,
		OfferRetry:          section.OfferRetry,
		HeldInterval:        section.HeldInterval,
		LiveInterval:        section.LiveInterval,
		FoundingWait:        section.FoundingWait,
		EndedMemory:         section.EndedMemory,
		MaximumAttempts:     section.MaximumAttempts,
		DefaultCallDeadline: section.DefaultCallDeadline,
		DefaultWaitBound:    section.DefaultWaitBound,
	}
}
