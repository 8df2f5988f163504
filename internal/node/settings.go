// Package node runs one node: it takes callers' requests, owns shards of
// programs, follows engines and configuration, and talks to the other nodes.
package node

import (
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/quota"
	"github.com/magpielug/magpielug/internal/region"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
)

// Settings are what a node is told at its start.
type Settings struct {
	// Name is the node's, and stays over restarts.
	Name string
	Zone string
	// Regions holds the region of each zone.
	Regions region.Map
	// CallerAddress takes callers' requests, ReadinessAddress the question
	// whether the node takes any, both IP:PORT.
	CallerAddress    string
	ReadinessAddress string
	// PeerAddress serves the other nodes, MetricsAddress the metrics.
	PeerAddress    string
	MetricsAddress string
	// ControlAddress serves the other nodes too, where it is given: it is what
	// Seeds names, and seeds are known before the store has answered.
	ControlAddress string
	// Seeds are control addresses of some nodes, which may be gone.
	Seeds []string
	// MemoryBytes is what the process may hold, 0 where nothing bounds it.
	MemoryBytes int64
	// Capacity is the share of a processor that the process has, in cores; 0
	// where it is not known.
	Capacity float64
	// MaxConnections is how many callers' connections may be open.
	MaxConnections int
	// Shards is the number of partitions of the store's topics.
	Shards int
	// QuotaTolerance is how the operators judge tenants' limits.
	QuotaTolerance quota.Tolerance
	// ColdTolerance is how operators judge what cold engines get.
	ColdTolerance ColdTolerance
	// ShutdownTimeout is how long a planned stop may take.
	ShutdownTimeout time.Duration
	// Placement names the policy that chooses engines; empty is the default.
	Placement string
	// DisabledFeatures names features that are off, with commas; see package feature.
	DisabledFeatures string
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// ColdTolerance is what operators allow beyond the requests a second that a cold engine
// bears, over all nodes and within one second.
type ColdTolerance struct {
	// Factor times the engine's own figure, and Requests on top of it.
	Factor   float64
	Requests float64
}

// Check returns an InvalidSettings error for settings that can't be run.
func (settings *Settings) Check() error {
	required := []struct{ name, value string }{
		{"name", settings.Name},
		{"caller address", settings.CallerAddress},
		{"readiness address", settings.ReadinessAddress},
		{"peer address", settings.PeerAddress},
	}
	for _, field := range required {
		if field.value == "" {
			return resultcode.New(resultcode.InvalidSettings, "the settings lack the node's %s", field.name)
		}
	}
	if settings.Shards < 1 {
		return resultcode.New(resultcode.InvalidSettings, "the settings give %d partitions; at least 1 is needed", settings.Shards)
	}
	return nil
}

// Dependencies are what a node meets through translations.
type Dependencies struct {
	Log durable.Log
	// ConfigurationTopic, EngineTopic and MemberTopic are keyed topics of the
	// store; the nodes write the last one themselves.
	ConfigurationTopic string
	EngineTopic        string
	MemberTopic        string
	// DecodeConfiguration returns false for a record that is none.
	DecodeConfiguration func(durable.KeyedRecord) (*routing.Configuration, bool)
	// DecodeEvacuation returns the zone that a record of the configuration's topic has
	// evacuated while it has a value, false for any other record.
	DecodeEvacuation func(durable.KeyedRecord) (zone string, found bool)
	// DecodeEngine returns false for a record that names no engine to use.
	DecodeEngine func(durable.KeyedRecord) (backend.Instance, bool)
	Sender       forward.Sender
	// Connections are those that Sender uses.
	Connections *backend.ConnectionPool
	// CallerHandler serves callers by taking their requests to the service.
	CallerHandler func(service *forward.Service) http.Handler
	// ReadinessPath is where the readiness address is asked.
	ReadinessPath string
}
