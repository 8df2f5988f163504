package gateway

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Tier is the priority class of an API key.
type Tier struct {
	Name   string
	Tenant string
}

// ServiceKind distinguishes model services from tool services.
type ServiceKind int

// Service kinds.
const (
	ServiceModel ServiceKind = iota + 1
	ServiceTool
)

// Service is a model or tool service that programs may call.
type Service struct {
	Name     string
	Kind     ServiceKind
	Adapters []string
}

// Configuration is the gateway's view of one version of the operators'
// configuration. It is immutable.
type Configuration interface {
	// TierByKey returns the tier of a caller's key. Its duration must not
	// depend on the key.
	TierByKey(key string) (Tier, bool)
	// ServiceByName returns the service with the given name.
	ServiceByName(name string) (Service, bool)
	// Services returns all services in configuration order.
	Services() []Service
}

// Clock provides the time and timers.
type Clock interface {
	Now() time.Time
	After(wait time.Duration) <-chan time.Time
}

// Dependencies holds a gateway's collaborators.
type Dependencies struct {
	// Configuration returns this node's current configuration, or nil if none
	// is known or the known one is stale.
	Configuration func() Configuration
	Router        Router
	// Client sends requests to schedulers; optional.
	Client *http.Client
	// Clock is optional.
	Clock Clock
	// Logger is optional.
	Logger *zap.Logger
	// Metrics registers the gateway's metrics; optional.
	Metrics prometheus.Registerer
}

// Limits on the default client's idle connections to schedulers. Each call in
// flight holds a connection, so the calls in flight bound the open ones.
const (
	idleConnectionsPerScheduler = 256
	idleConnectionTimeout       = 90 * time.Second
)

func (dependencies Dependencies) withDefaults() Dependencies {
	if dependencies.Client == nil {
		dependencies.Client = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnectionsPerScheduler,
			IdleConnTimeout:     idleConnectionTimeout,
			DisableCompression:  true,
		}}
	}
	if dependencies.Clock == nil {
		dependencies.Clock = systemClock{}
	}
	if dependencies.Logger == nil {
		dependencies.Logger = zap.NewNop()
	}
	if dependencies.Metrics == nil {
		dependencies.Metrics = prometheus.NewRegistry()
	}
	return dependencies
}

type systemClock struct{}

func (systemClock) Now() time.Time                            { return time.Now() }
func (systemClock) After(wait time.Duration) <-chan time.Time { return time.After(wait) }
