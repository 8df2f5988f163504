// Package node implements a scheduler node: it serves callers, owns shards of programs, follows
// the configuration and the engines, and cooperates with the other nodes.
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

// Settings are the startup settings of a node.
type Settings struct {
	// Name identifies the node and is stable across restarts.
	Name string
	Zone string
	// Regions maps each zone to its region.
	Regions region.Map
	// CallerAddress serves callers and ReadinessAddress the readiness check, both as IP:PORT.
	CallerAddress    string
	ReadinessAddress string
	// PeerAddress serves other nodes and MetricsAddress the metrics.
	PeerAddress    string
	MetricsAddress string
	// ControlAddress, if set, also serves other nodes. It is the address that Seeds of other nodes
	// refer to, which must be known before the durable log has been read.
	ControlAddress string
	// Seeds are control addresses of other nodes. Some may be out of date.
	Seeds []string
	// MemoryBytes is the process memory limit, 0 if there is none.
	MemoryBytes int64
	// Capacity is the processor share of the process in cores, 0 if unknown.
	Capacity float64
	// MaxConnections bounds the open connections from callers.
	MaxConnections int
	// Shards is the number of partitions of the durable log's topics.
	Shards int
	// LogRetention is how long the durable log keeps a record, 0 if it drops none.
	LogRetention time.Duration
	// QuotaTolerance is how far tenants may exceed their limits.
	QuotaTolerance quota.Tolerance
	// ColdTolerance is how far requests to cold engines may exceed their limit.
	ColdTolerance ColdTolerance
	// ShutdownTimeout bounds a graceful shutdown.
	ShutdownTimeout time.Duration
	// EngineDrainTime is how long an engine serves on that says that it leaves, 0 if unknown.
	EngineDrainTime time.Duration
	// Placement names the engine selection policy; empty selects the default.
	Placement string
	// DisabledFeatures is a comma-separated list of disabled features; see package feature.
	DisabledFeatures string
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// ColdTolerance is the permitted excess over the requests per second that a cold engine accepts,
// counted over all nodes and one second.
type ColdTolerance struct {
	// Factor multiplies the engine's limit; Requests is added to the product.
	Factor   float64
	Requests float64
}

// Check returns an InvalidSettings error if the settings are incomplete or invalid.
func (settings *Settings) Check() error {
	required := []struct{ name, value string }{
		{"name", settings.Name},
		{"caller address", settings.CallerAddress},
		{"readiness address", settings.ReadinessAddress},
		{"peer address", settings.PeerAddress},
	}
	for _, field := range required {
		if field.value == "" {
			return resultcode.New(resultcode.InvalidSettings, "the node's %s is not set", field.name)
		}
	}
	if settings.Shards < 1 {
		return resultcode.New(resultcode.InvalidSettings, "invalid number of partitions %d: at least 1 is required", settings.Shards)
	}
	return nil
}

// Dependencies are the external components that a node uses.
type Dependencies struct {
	Log durable.Log
	// ConfigurationTopic, EngineTopic, MemberTopic and QuarantineTopic are keyed topics of the durable
	// log. Nodes write the latter two themselves. Without QuarantineTopic, quarantines are in memory only.
	ConfigurationTopic string
	EngineTopic        string
	MemberTopic        string
	QuarantineTopic    string
	// OriginTopic is the topic of the durable log in which nodes write where streams began. Without it,
	// that is in memory only.
	OriginTopic string
	// VersionTopic is the topic of the durable log in which nodes write which software versions serve.
	// Without it, streams whose origin is lost with all nodes that kept it are not resumed.
	VersionTopic string
	// DecodeConfiguration returns false if the record is not a valid configuration.
	DecodeConfiguration func(durable.KeyedRecord) (*routing.Configuration, bool)
	// DecodeEvacuation returns the zone of an evacuation record in the configuration topic, and
	// false for any other record. The zone is evacuated while the record has a value.
	DecodeEvacuation func(durable.KeyedRecord) (zone string, found bool)
	// DecodeEngine returns false if the record does not describe a usable engine.
	DecodeEngine func(durable.KeyedRecord) (backend.Instance, bool)
	Sender       forward.Sender
	// Connections is the connection pool of Sender.
	Connections *backend.ConnectionPool
	// CallerHandler returns the handler that passes callers' requests to the service.
	CallerHandler func(service *forward.Service) http.Handler
	// ReadinessPath is the URL path of the readiness check.
	ReadinessPath string
}
