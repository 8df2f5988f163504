package process

import (
	"context"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"github.com/magpielug/magpielug/internal/configuration"
	"github.com/magpielug/magpielug/internal/gateway"
	"github.com/magpielug/magpielug/internal/operator"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/settings"
)

// RunGateway runs a gateway process until ctx is cancelled or the process
// receives SIGTERM or SIGINT.
func RunGateway(ctx context.Context, version string, loaded settings.Settings) error {
	shared, err := newProcess(version, loaded, func(*configuration.Snapshot) {})
	if err != nil {
		return err
	}
	router := gateway.NewShardRouter(shared.machines, &shardPlacement{shards: loaded.Scheduler.Shards}, shared.logger.Logger)
	callerGateway := gateway.New(gatewayConfig(loaded), gateway.Dependencies{
		Configuration: func() gateway.Configuration { return currentGatewayConfiguration(shared) },
		Router:        router,
		Client:        shared.client,
		Logger:        shared.logger.Logger,
		Metrics:       shared.registry,
	})
	shared.mux.Handle("/", callerGateway.Handler())
	shared.mux.Handle(operator.PathPrefix, operator.NewHandler(operator.Dependencies{
		Publisher: configuration.NewPublisher(shared.log, shared.reader,
			loaded.Configuration.PublishTimeout, loaded.Platform.AppendTimeout),
		Reader:    shared.reader,
		Cluster:   &operatorCluster{machines: shared.machines, client: shared.client, gateway: callerGateway},
		KeySHA256: loaded.OperatorKeySHA256,
		Logger:    shared.logger.Logger,
	}))
	serve := func(ctx context.Context) {
		shared.machines.waitForList(ctx)
		router.Run(ctx, cachePollInterval)
	}
	return shared.run(ctx, role{
		ready:           gatewayReadiness(shared),
		listenWhenReady: true,
		serve:           serve,
		stop:            func(context.Context) {},
	})
}

func gatewayReadiness(shared *process) func() error {
	return func() error {
		if currentGatewayConfiguration(shared) == nil {
			return resultcode.New(resultcode.ConfigurationStale, "no current configuration")
		}
		if !shared.machines.hasRole(outside.RoleScheduler) {
			return resultcode.New(resultcode.NoLeader, "the machine list has no scheduler")
		}
		return nil
	}
}

func gatewayConfig(loaded settings.Settings) gateway.Config {
	section := loaded.Gateway
	config := gateway.DefaultConfig()
	config.MaxBodyBytes = int64(loaded.Limits.Body)
	config.MaxMessages = section.MaxMessages
	config.MaxOutputTokens = section.MaxOutputTokens
	config.DefaultOutputTokens = section.DefaultOutputTokens
	config.MaxHistoryLimit = section.MaxHistoryLimit
	config.MaxWait = section.MaxWait
	config.RouteBound = section.RouteBound
	config.ReattachBound = section.ReattachBound
	config.FirstEventBound = section.FirstEventBound
	config.IdleBound = section.IdleBound
	config.UnaryBound = section.UnaryBound
	config.RetryRatio = section.RetryRatio
	config.RetryBurst = section.RetryBurst
	config.RetryAfter = loaded.Limits.RetryAfter
	return config
}

// currentGatewayConfiguration returns the gateway's view of the configuration,
// or nil if there is none that may be used.
func currentGatewayConfiguration(shared *process) gateway.Configuration {
	current := shared.reader.Current()
	if current == nil || !shared.fresh() {
		return nil
	}
	return gatewayConfiguration{snapshot: current}
}

// gatewayConfiguration is the gateway's view of a configuration snapshot.
type gatewayConfiguration struct{ snapshot *configuration.Snapshot }

// TierByKey returns the tier of a caller's key.
func (view gatewayConfiguration) TierByKey(key string) (gateway.Tier, bool) {
	tier, found := view.snapshot.TierByKey(key)
	return gateway.Tier{Name: tier.GetName(), Tenant: tier.GetTenant()}, found
}

// ServiceByName returns a model or tool service.
func (view gatewayConfiguration) ServiceByName(name string) (gateway.Service, bool) {
	service, found := view.snapshot.Service(name)
	return gatewayService(service), found
}

// Services lists all services in the order of the configuration.
func (view gatewayConfiguration) Services() []gateway.Service {
	var services []gateway.Service
	for _, service := range view.snapshot.Configuration().GetServices() {
		services = append(services, gatewayService(service))
	}
	return services
}

func gatewayService(service *operatorv1.Service) gateway.Service {
	kind := gateway.ServiceModel
	if service.GetKind() == operatorv1.ServiceKind_SERVICE_KIND_TOOL {
		kind = gateway.ServiceTool
	}
	return gateway.Service{Name: service.GetName(), Kind: kind, Adapters: service.GetAdapters()}
}
