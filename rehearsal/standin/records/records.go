// Package records holds the records that operators and engines of the users' platform put
// into its store, for the stand-ins that take their place.
package records

import "encoding/json"

// Topics of the store, and the key of the configuration.
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

// Names of services, and the paths of the routes to them.
const (
	ServiceModels = "models"
	ServiceTools  = "tools"
	// PathKept takes turns that are kept, PathPlain turns that are not.
	PathKept  = "/stream/kept/"
	PathPlain = "/stream/plain/"
	// PathSafe takes tool calls that may be repeated, PathTool those that may not.
	PathSafe = "/safe/"
	PathTool = "/tool/"
)

const (
	kindStreaming = "streaming"
	kindSafe      = "safe"
	kindUnsafe    = "unsafe"
	// turnTimeoutMs and toolTimeoutMs bound an answer, milliseconds.
	turnTimeoutMs = 4000
	toolTimeoutMs = 2000
	// keptSeconds is how long a kept turn can be gone on from.
	keptSeconds = 60
	// connectionsEach bounds a node's connections to a service's engines.
	connectionsEach = 80
	headerBytes     = 16384
	bodyBytes       = 1_000_000
	// Slots is how many requests an engine runs at once.
	Slots = 8
)

// Configuration is what operators publish.
type Configuration struct {
	Version  int
	Routes   []Route
	Services []Service
	Limits   Limits
	// Tenants is left out where calls carry no keys.
	Tenants []Tenant `json:",omitempty"`
}

// Route is the way from a path to a service.
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
}

// Service is a group of engines.
type Service struct {
	Name           string
	MaxConnections int
	Engine         *Engine `json:",omitempty"`
}

// Engine is how the engines of a service work.
type Engine struct {
	Slots int
	// StreamStride is how many tokens an event of a stream holds.
	StreamStride int
}

// Limits bound callers' requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
}

// Tenant is one tenant with its keys.
type Tenant struct {
	Name    string
	ApiKeys []string
	// Priority goes before a route's where it is given.
	Priority *int `json:",omitempty"`
	// RatePerS and Burst bound the requests over all nodes; 0 is no bound.
	RatePerS int
	Burst    int
}

// Server is what an engine records of itself.
type Server struct {
	Service string
	Address string
	Zone    string
	Slots   int
	State   string
}

// NewConfiguration returns a version with routes of a host to models and to tools. An event
// of a model's stream holds so many tokens.
func NewConfiguration(version int, host string, tokensPerEvent int) Configuration {
	return Configuration{
		Version: version,
		Routes: []Route{
			{Name: "kept", Host: host, PathPrefix: PathKept, Kind: kindStreaming, TimeoutMs: turnTimeoutMs, Service: ServiceModels, MaxAttempts: 1, RetainContext: true, RetentionS: keptSeconds},
			{Name: "plain", Host: host, PathPrefix: PathPlain, Kind: kindStreaming, TimeoutMs: turnTimeoutMs, Service: ServiceModels, MaxAttempts: 1},
			NewSafeRoute("safe", host, PathSafe),
			{Name: "tool", Host: host, PathPrefix: PathTool, Kind: kindUnsafe, TimeoutMs: toolTimeoutMs, Service: ServiceTools},
		},
		Services: []Service{
			{Name: ServiceModels, MaxConnections: connectionsEach, Engine: &Engine{Slots: Slots, StreamStride: tokensPerEvent}},
			{Name: ServiceTools, MaxConnections: connectionsEach},
		},
		Limits: Limits{MaxHeaderBytes: headerBytes, MaxBodyBytes: bodyBytes},
	}
}

// NewSafeRoute returns a route of tool calls that may be repeated once.
func NewSafeRoute(name, host, prefix string) Route {
	return Route{Name: name, Host: host, PathPrefix: prefix, Kind: kindSafe, TimeoutMs: toolTimeoutMs, Service: ServiceTools, MaxAttempts: 2}
}

// Encode returns the record of a configuration or of a server.
func Encode(record any) []byte {
	encoded, err := json.Marshal(record)
	if err != nil {
		panic(err) // The records hold nothing that can't be encoded.
	}
	return encoded
}
