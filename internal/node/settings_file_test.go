package node

import (
	"time"

	"github.com/magpielug/magpielug/internal/quota"
	"github.com/magpielug/magpielug/internal/region"
	"github.com/magpielug/magpielug/internal/settings"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Settings from a settings file", func() {
	It("are converted completely and contain no seeds", func() {
		converted := SettingsFromFile(settings.NodeSettings{
			Node:   settings.NodeIdentity{Name: "node-1", Zone: "zone-1", Regions: "zone-1=north,zone-2=south", Placement: "least", Disabled: "egress"},
			Listen: settings.NodeListen{Callers: "127.0.0.1:1", Readiness: "127.0.0.1:2", Peers: "127.0.0.1:3", Metrics: "127.0.0.1:4"},
			Store:  settings.NodeStore{Address: "127.0.0.1:5", Partitions: 6},
			Limits: settings.NodeLimits{Memory: 256 * settings.MiB, Cores: 0.5, Connections: 700, DrainTimeout: 8 * time.Second},
			Quota:  settings.NodeQuota{Window: 5 * time.Second, Overage: 0.1, Slack: 20},
			Cold:   settings.NodeCold{Overage: 1.5, Slack: 5},
			Log:    settings.Log{Level: "warn"},
		})
		Expect(converted.Check()).To(Succeed())
		Expect(converted).To(Equal(Settings{
			Name:             "node-1",
			Zone:             "zone-1",
			CallerAddress:    "127.0.0.1:1",
			ReadinessAddress: "127.0.0.1:2",
			PeerAddress:      "127.0.0.1:3",
			MetricsAddress:   "127.0.0.1:4",
			MemoryBytes:      256 << 20,
			Capacity:         0.5,
			MaxConnections:   700,
			Shards:           6,
			QuotaTolerance:   quota.Tolerance{Window: 5 * time.Second, ExcessFraction: 0.1, ExcessRequests: 20},
			Regions:          region.Map{"zone-1": "north", "zone-2": "south"},
			ColdTolerance:    ColdTolerance{Factor: 1.5, Requests: 5},
			ShutdownTimeout:  8 * time.Second,
			Placement:        "least",
			DisabledFeatures: "egress",
			LogLevel:         "warn",
		}))
	})
})
