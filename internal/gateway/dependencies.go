package gateway

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// Tier is the priority class that a key belongs to.
type Tier struct {
	Name   string
	Tenant string
}

// ServiceKind tells what a service of the configuration is.
type ServiceKind int

// Kinds of services.
const (
	ServiceModel ServiceKind = iota + 1
	ServiceTool
)

// Service is a model or a tool service that programs may call.
type Service struct {
	Name     string
	Kind     ServiceKind
	Adapters []string
}

// Configuration is what the gateway reads from one version of the operators'
// configuration. It never changes once handed out.
type Configuration interface {
	// TierByKey finds the tier of a caller's key, without a comparison whose
	// time depends on the key.
	TierByKey(key string) (Tier, bool)
	// ServiceByName finds a service.
	ServiceByName(name string) (Service, bool)
	// Services lists all services in the operators' order.
	Services() []Service
}

// Clock tells the time and lets it pass.
type Clock interface {
	Now() time.Time
	After(wait time.Duration) <-chan time.Time
}

// Dependencies are the parts a gateway works with.
type Dependencies struct {
	// Configuration returns the configuration in force on this node; nil
	// while none is known, or none that is fresh.
	Configuration func() Configuration
	Router        Router
	// Client speaks to schedulers; optional.
	Client *http.Client
	// Clock is optional.
	Clock Clock
	// Logger is optional.
	Logger *zap.Logger
	// Metrics takes the gateway's metrics; optional.
	Metrics prometheus.Registerer
}

// Limits of the default client's connections to schedulers. A call under way
// holds a connection, so their number is bounded by the calls in flight.
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
