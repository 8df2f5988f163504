package settings

import "time"

// Defaults returns the settings of a gateway or scheduler for the keys that
// neither the file nor an override sets.
func Defaults() Settings {
	return Settings{
		Platform:      defaultPlatform(),
		Limits:        defaultLimits(),
		Scheduler:     defaultScheduler(),
		Gateway:       defaultGateway(),
		Configuration: defaultConfiguration(),
		Log:           Log{Level: "info"},
	}
}

func defaultPlatform() Platform {
	return Platform{
		AppendTimeout:   2 * time.Second,
		ReadTimeout:     2 * time.Second,
		MachinesPoll:    2 * time.Second,
		EngineReports:   time.Second,
		EngineTimeout:   2 * time.Second,
		EngineSilence:   5 * time.Second,
		IdleConnections: 64,
	}
}

func defaultLimits() Limits {
	return Limits{
		Connections:     4096,
		Calls:           3072,
		Body:            8 * MiB,
		Header:          32 * KiB,
		WriteBuffer:     256 * KiB,
		IdleTimeout:     120 * time.Second,
		RequestTimeout:  20 * time.Second,
		WriteTimeout:    10 * time.Second,
		RetryAfter:      time.Second,
		DrainGrace:      time.Second,
		ShutdownTimeout: 60 * time.Second,
	}
}

func defaultScheduler() Scheduler {
	return Scheduler{
		Shards:              32,
		Replicas:            3,
		Heartbeat:           500 * time.Millisecond,
		Lease:               1800 * time.Millisecond,
		ElectionMin:         2 * time.Second,
		ElectionMax:         4 * time.Second,
		ArchiveBacklog:      16 * MiB,
		ArchiveBacklogTotal: 64 * MiB,
		KeepEntries:         256,
		SnapshotBytes:       4 * MiB,
		SnapshotEntries:     20_000,
		ArchiveIntents:      250 * time.Millisecond,
		OfferRetry:          time.Second,
		HeldInterval:        5 * time.Second,
		LiveInterval:        30 * time.Second,
		FoundingWait:        5 * time.Second,
		EndedMemory:         10 * time.Minute,
		MaximumAttempts:     3,
		DefaultCallDeadline: 30 * time.Second,
		DefaultWaitBound:    30 * time.Second,
	}
}

func defaultGateway() Gateway {
	return Gateway{
		MaxMessages:         4096,
		MaxOutputTokens:     32768,
		DefaultOutputTokens: 1024,
		MaxHistoryLimit:     1000,
		MaxWait:             30 * time.Minute,
		RouteBound:          6 * time.Second,
		ReattachBound:       20 * time.Second,
		FirstEventBound:     2 * time.Second,
		IdleBound:           3 * time.Second,
		UnaryBound:          2 * time.Second,
		RetryRatio:          0.1,
		RetryBurst:          64,
	}
}

func defaultConfiguration() Configuration {
	return Configuration{
		FreshBound:     5 * time.Second,
		Poll:           2 * time.Second,
		PublishTimeout: 10 * time.Second,
	}
}
