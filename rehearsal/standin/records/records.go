// Package records defines the records that the platform's operators and engines write to
// its log store.
package records

import "encoding/json"

// Topics of the store, and the key of the configuration record.
const (
	TopicEngines     = "keyed.servers"
	TopicOperator    = "keyed.op"
	KeyConfiguration = "config"
)

// States of an engine.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// Names of services, and path prefixes of their routes.
const (
	ServiceModels = "models"
	ServiceTools  = "tools"
	// PathRetained takes turns whose context is retained, PathPlain turns without retention.
	PathRetained = "/stream/kept/"
	PathPlain    = "/stream/plain/"
	// PathResumable takes streams that callers may resume.
	PathResumable = "/stream/resumable/"
	// PathSafe takes tool calls that may be retried.
	PathSafe = "/safe/"
	// PathUnsafe takes tool calls that must not be retried.
	PathUnsafe = "/tool/"
)

const (
	kindStreaming = "streaming"
	kindSafe      = "safe"
	kindUnsafe    = "unsafe"
	// turnTimeoutMs and toolTimeoutMs are request timeouts in milliseconds.
	turnTimeoutMs = 4000
	toolTimeoutMs = 2000
	// maxConnections bounds a node's connections to a service's engines.
	maxConnections = 80
	headerBytes    = 16384
	bodyBytes      = 1_000_000
	// Slots is the number of requests an engine runs concurrently.
	Slots = 8
)

// Configuration is the record that operators publish.
type Configuration struct {
	Version  int
	Routes   []Route
	Services []Service
	Limits   Limits
	// Tenants is omitted if requests carry no API keys.
	Tenants []Tenant `json:",omitempty"`
}

// Route maps requests by host and path prefix to a service.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string
	Kind          string
	TimeoutMs     int
	Service       string
	MaxAttempts   int
	RetainContext bool
	RetentionS    int
	Resumable     bool
}

// Service is a group of engines.
type Service struct {
	Name           string
	MaxConnections int
	Engine         *Engine `json:",omitempty"`
}

// Engine describes the engines of a service.
type Engine struct {
	Slots int
	// StreamStride is the number of tokens per stream event.
	StreamStride int
}

// Limits bound the size of requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
}

// Tenant is one tenant with its API keys.
type Tenant struct {
	Name    string
	ApiKeys []string
	// Priority overrides the route's priority if set.
	Priority *int `json:",omitempty"`
	// RatePerS and Burst limit the tenant's requests across all nodes; 0 means no limit.
	RatePerS int
	Burst    int
}

// Server is the registration record of an engine.
type Server struct {
	Service string
	Address string
	Zone    string
	Slots   int
	State   string
	// Version is the version of the engine's software.
	Version string
	// ColdLeftMs is how much longer the engine stays cold, in milliseconds.
	ColdLeftMs int
	// Sequence counts the engine's writes of its record.
	Sequence int
}

// RetentionSeconds is how long a turn's context is retained.
const RetentionSeconds = 60

// SetRetention sets how long the turns of all routes that retain them are retained.
func (configuration *Configuration) SetRetention(seconds int) {
	for index := range configuration.Routes {
		if configuration.Routes[index].RetainContext {
			configuration.Routes[index].RetentionS = seconds
		}
	}
}

// NewConfiguration returns a configuration that routes a host's requests to models and
// tools.
func NewConfiguration(version int, host string, tokensPerEvent int) Configuration {
	return Configuration{
		Version: version,
		Routes: []Route{
			{Name: "kept", Host: host, PathPrefix: PathRetained, Kind: kindStreaming, TimeoutMs: turnTimeoutMs, Service: ServiceModels, MaxAttempts: 1, RetainContext: true, RetentionS: RetentionSeconds},
			{Name: "plain", Host: host, PathPrefix: PathPlain, Kind: kindStreaming, TimeoutMs: turnTimeoutMs, Service: ServiceModels, MaxAttempts: 1},
			{Name: "resumable", Host: host, PathPrefix: PathResumable, Kind: kindStreaming, TimeoutMs: turnTimeoutMs, Service: ServiceModels, MaxAttempts: 1, Resumable: true},
			NewSafeRoute("safe", host, PathSafe),
			{Name: "tool", Host: host, PathPrefix: PathUnsafe, Kind: kindUnsafe, TimeoutMs: toolTimeoutMs, Service: ServiceTools},
		},
		Services: []Service{
			{Name: ServiceModels, MaxConnections: maxConnections, Engine: &Engine{Slots: Slots, StreamStride: tokensPerEvent}},
			{Name: ServiceTools, MaxConnections: maxConnections},
		},
		Limits: Limits{MaxHeaderBytes: headerBytes, MaxBodyBytes: bodyBytes},
	}
}

// NewSafeRoute returns a route for tool calls that may be retried once.
func NewSafeRoute(name, host, prefix string) Route {
	return Route{Name: name, Host: host, PathPrefix: prefix, Kind: kindSafe, TimeoutMs: toolTimeoutMs, Service: ServiceTools, MaxAttempts: 2}
}

// Encode returns the JSON of a record.
func Encode(record any) []byte {
	encoded, err := json.Marshal(record)
	if err != nil {
		panic(err) // The record types always encode.
	}
	return encoded
}
