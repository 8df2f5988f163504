// Package routing holds the configuration of routes and services: which requests are accepted,
// which service runs them, and with which limits.
package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync/atomic"
	"time"

	"github.com/magpielug/magpielug/internal/tenant"
)

// Kind says which requests of a route may be repeated.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may be repeated.
	Safe
	// Streaming requests are responded to with a stream of events.
	Streaming
)

// Share is a service's share of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route is a rule for the requests of a host under a path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares has at least one entry.
	Shares []Share
	// MaxAttempts is the maximum number of engines that may run one request, at least 1.
	MaxAttempts int
	// Timeout is the maximum duration of a request; zero for none.
	Timeout time.Duration
	// Objective is the latency objective of a response.
	Objective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Resumable is true if the route's streams may be continued by another engine.
	Resumable bool
	// StoresTurns is true if turns are recorded and kept for Retention.
	StoresTurns bool
	Retention   time.Duration
	// AllowsAnonymous is true if calls without a key are accepted even if tenants are configured.
	AllowsAnonymous bool
	// Regions are the regions in which the route's requests may be served and stored; empty for
	// all.
	Regions []string

	// phase is the random start of the sequence that PickService follows, pickCount its
	// position.
	phase     float64
	pickCount atomic.Uint64
}

// Repeatable reports whether a request of the route may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == Safe || (route.Kind == Streaming && route.Resumable)
}

// goldenRatio is the step of a low-discrepancy sequence in [0, 1).
const goldenRatio = 0.6180339887498949

// PickService selects a service by the route's weights. Unlike random selection, it keeps close
// to the weights over any number of consecutive requests.
func (route *Route) PickService() string {
	if len(route.Shares) == 1 {
		return route.Shares[0].Service
	}
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	_, point := math.Modf(route.phase + goldenRatio*float64(route.pickCount.Add(1)))
	point *= total
	for _, share := range route.Shares {
		point -= share.Weight
		if point < 0 {
			return share.Service
		}
	}
	return route.Shares[len(route.Shares)-1].Service
}

// LeadsTo reports whether the route's requests may go to a service.
func (route *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(route.Shares, func(share Share) bool { return share.Service == service })
}

// Service is a set of engines that run the same requests.
type Service struct {
	Name string
	// MaxConnections is the number of connections that one engine accepts from all callers
	// together.
	MaxConnections int
	// Slots is the number of requests that an engine runs concurrently, 0 if not configured.
	Slots int
	// MemoryTokens is the capacity of an engine's KV cache in tokens, 0 if not configured.
	MemoryTokens int
	// TokensPerEvent is the number of tokens that one event of a stream represents.
	TokensPerEvent int
	// ColdPerSecond is the maximum number of requests per second, over all nodes, for an engine
	// that has just started; 0 for no limit.
	ColdPerSecond float64
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the configuration. It is immutable.
type Configuration struct {
	Version  int64
	Services map[string]Service
	Limits   Limits
	// Tenants are the tenants and their keys; the zero value has none.
	Tenants tenant.Directory
	byHost  map[string][]*Route
	// resumableServices are the services to which routes with resumable streams lead, sorted.
	resumableServices []string
}

// New builds a configuration.
func New(version int64, routes []*Route, services []Service, limits Limits) *Configuration {
	configuration := &Configuration{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		byHost:   map[string][]*Route{},
	}
	for _, service := range services {
		configuration.Services[service.Name] = service
	}
	for _, route := range routes {
		route.phase = rand.Float64()
		host := strings.ToLower(route.Host)
		configuration.byHost[host] = append(configuration.byHost[host], route)
	}
	configuration.resumableServices = resumableServices(routes)
	for _, list := range configuration.byHost {
		sort.SliceStable(list, func(left, right int) bool {
			return len(list[left].Prefix) > len(list[right].Prefix)
		})
	}
	return configuration
}

func resumableServices(routes []*Route) []string {
	var services []string
	for _, route := range routes {
		if !route.Resumable {
			continue
		}
		for _, share := range route.Shares {
			services = append(services, share.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// ResumableServices returns the services to which routes with resumable streams lead, sorted. The caller
// must not change them.
func (configuration *Configuration) ResumableServices() []string {
	return configuration.resumableServices
}

// Match returns the route of the host with the longest prefix of the path, or nil.
func (configuration *Configuration) Match(host, path string) *Route {
	host = strings.ToLower(stripPort(host))
	for _, route := range configuration.byHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

func stripPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.HasSuffix(host, "]") {
		return host
	}
	return host[:colon]
}

// ActiveConfiguration holds the active configuration, which is never replaced by an older version.
// It is safe for concurrent use.
type ActiveConfiguration struct {
	pointer atomic.Pointer[Configuration]
}

// Load returns the active configuration, nil if there is none yet.
func (active *ActiveConfiguration) Load() *Configuration { return active.pointer.Load() }

// Apply activates a configuration if it is newer than the active one, and reports whether it
// was.
func (active *ActiveConfiguration) Apply(next *Configuration) bool {
	for {
		previous := active.pointer.Load()
		if previous != nil && previous.Version >= next.Version {
			return false
		}
		if active.pointer.CompareAndSwap(previous, next) {
			return true
		}
	}
}
