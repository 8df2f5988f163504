package node

import (
	"github.com/magpielug/magpielug/internal/quota"
	"github.com/magpielug/magpielug/internal/region"
	"github.com/magpielug/magpielug/internal/settings"
)

// SettingsFromFile converts the settings of a node's settings file. There are no seeds: the node
// finds the other nodes through the durable log.
func SettingsFromFile(loaded settings.NodeSettings) Settings {
	regions, _ := region.Parse(loaded.Node.Regions) // The settings have been validated.
	return Settings{
		Name:             loaded.Node.Name,
		Zone:             loaded.Node.Zone,
		Regions:          regions,
		CallerAddress:    loaded.Listen.Callers,
		ReadinessAddress: loaded.Listen.Readiness,
		PeerAddress:      loaded.Listen.Peers,
		MetricsAddress:   loaded.Listen.Metrics,
		MemoryBytes:      int64(loaded.Limits.Memory),
		Capacity:         loaded.Limits.Cores,
		MaxConnections:   loaded.Limits.Connections,
		Shards:           loaded.Store.Partitions,
		LogRetention:     loaded.Store.Retention,
		QuotaTolerance: quota.Tolerance{
			Window:         loaded.Quota.Window,
			ExcessFraction: loaded.Quota.Overage,
			ExcessRequests: loaded.Quota.Slack,
		},
		ColdTolerance:    ColdTolerance{Factor: loaded.Cold.Overage, Requests: loaded.Cold.Slack},
		ShutdownTimeout:  loaded.Limits.DrainTimeout,
		EngineDrainTime:  loaded.Limits.EngineDrainTime,
		Placement:        loaded.Node.Placement,
		DisabledFeatures: loaded.Node.Disabled,
		LogLevel:         loaded.Log.Level,
	}
}
