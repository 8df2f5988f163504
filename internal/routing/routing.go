// Package routing holds the operators' configuration of routes and services:
// which requests are taken, which service runs them, and under what bounds.
package routing

import (
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/tenant"
)

// Kind says what may be repeated.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run again.
	Safe
	// Streaming requests are answered by events.
	Streaming
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route is one rule of the operators: requests of a host under a path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares has at least one entry.
	Shares []Share
	// MaxAttempts is the most engines that may run one request, at least 1.
	MaxAttempts int
	// Timeout is how long a request may be held; zero is no bound.
	Timeout time.Duration
	// Objective is the time within which an answer is in time.
	Objective time.Duration
	// Priority is the rank, 0 the most urgent.
	Priority int
	// Resumable streams may go on at another engine.
	Resumable bool
	// StoresTurns says that the system keeps what was said, for Retention.
	StoresTurns bool
	Retention   time.Duration
	// AllowsAnonymous routes take calls without a key, also where there are tenants.
	AllowsAnonymous bool
	// Regions are those in which the route's requests may be served and kept; none for all.
	Regions []string

	// phase is where the choice of services begins, picked how often it was made.
	phase  float64
	picked atomic.Uint64
}

// Repeatable tells whether a request of the route may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == Safe || (route.Kind == Streaming && route.Resumable)
}

// goldenRatio steps through [0, 1) so that any run of steps is spread evenly.
const goldenRatio = 0.6180339887498949

// PickService chooses a service by the route's weights. The shares of any run
// of requests differ from the weights by little, unlike those of a draw.
func (route *Route) PickService() string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	_, place := math.Modf(route.phase + goldenRatio*float64(route.picked.Add(1)))
	place *= total
	for _, share := range route.Shares {
		place -= share.Weight
		if place < 0 {
			return share.Service
		}
	}
	return route.Shares[len(route.Shares)-1].Service
}

// Service is a set of engines that run the same requests.
type Service struct {
	Name string
	// MaxConnections is what one engine takes from all callers together.
	MaxConnections int
	// Slots is the number of requests that an engine runs at once; zero where
	// the configuration does not say.
	Slots int
	// MemoryTokens is how many tokens of prompts an engine holds; zero where the
	// configuration does not say.
	MemoryTokens int
	// TokensPerEvent is the number of tokens that one event of a stream counts.
	TokensPerEvent int
	// ColdPerSecond is how many requests a second an engine bears that has just started, over
	// all nodes; zero is no bound.
	ColdPerSecond float64
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the operators' rules. It never changes once
// built.
type Configuration struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	// Tenants hold the keys that calls carry; none where it is the zero value.
	Tenants tenant.Directory
	byHost  map[string][]*Route
}

// New builds a configuration.
func New(version int64, routes []*Route, services []Service, limits Limits) *Configuration {
	built := &Configuration{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		byHost:   map[string][]*Route{},
	}
	for _, service := range services {
		built.Services[service.Name] = service
	}
	for _, route := range routes {
		route.phase = rand.Float64()
		host := strings.ToLower(route.Host)
		built.byHost[host] = append(built.byHost[host], route)
	}
	for _, list := range built.byHost {
		sort.SliceStable(list, func(left, right int) bool {
			return len(list[left].Prefix) > len(list[right].Prefix)
		})
	}
	return built
}

// Match returns the route of the host with the longest prefix that begins the
// path, or nil.
func (configuration *Configuration) Match(host, path string) *Route {
	host = strings.ToLower(withoutPort(host))
	for _, route := range configuration.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// withoutPort cuts a port off a host.
func withoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:colon]
}

// ActiveConfiguration holds the configuration in force. It never goes back to an older
// version. It is safe for concurrent use.
type ActiveConfiguration struct {
	pointer atomic.Pointer[Configuration]
}

// Load returns the configuration in force, nil where none is known yet.
func (current *ActiveConfiguration) Load() *Configuration { return current.pointer.Load() }

// Apply puts a newer version in force and tells whether it was newer.
func (current *ActiveConfiguration) Apply(next *Configuration) bool {
	for {
		present := current.pointer.Load()
		if present != nil && present.Version >= next.Version {
			return false
		}
		if current.pointer.CompareAndSwap(present, next) {
			return true
		}
	}
}
