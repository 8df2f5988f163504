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

// RunGateway runs a gateway process until it is told to stop.
func RunGateway(ctx context.Context, version string, loaded settings.Settings) error {
	shared, err := newProcess(version, loaded, func(*configuration.Snapshot) {})
	if err != nil {
		return err
	}
	router := gateway.NewShardRouter(shared.machines, &memberPlacement{shards: loaded.Scheduler.Shards}, shared.logger.Logger)
	callers := gateway.New(gatewayConfig(loaded), gateway.Dependencies{
		Configuration: func() gateway.Configuration { return gatewayView(shared) },
		Router:        router,
		Client:        shared.client,
		Logger:        shared.logger.Logger,
		Metrics:       shared.registry,
	})
	shared.mux.Handle("/", callers.Handler())
	shared.mux.Handle(operator.PathPrefix, operator.NewHandler(operator.Dependencies{
		Publisher: configuration.NewPublisher(shared.log, shared.reader,
			loaded.Configuration.PublishTimeout, loaded.Platform.AppendTimeout),
		Reader:    shared.reader,
		Cluster:   &operatorCluster{machines: shared.machines, client: shared.client, callers: callers},
		KeySHA256: loaded.OperatorKeySHA256,
		Logger:    shared.logger.Logger,
	}))
	serve := func(ctx context.Context) {
		shared.machines.awaitFirst(ctx)
		router.Run(ctx, listLocalInterval)
	}
	return shared.run(ctx, role{
		ready:        gatewayReadiness(shared),
		listensReady: true,
		serve:        serve,
		stop:         func(context.Context) {},
	})
}

func gatewayReadiness(shared *process) func() error {
	return func() error {
		if gatewayView(shared) == nil {
			return resultcode.New(resultcode.ConfigurationStale, "no current configuration")
		}
		if !shared.machines.lists(outside.RoleScheduler) {
			return resultcode.New(resultcode.NoLeader, "the machine list names no scheduler")
		}
		return nil
	}
}

func gatewayConfig(loaded settings.Settings) gateway.Config {
	bounds := loaded.Gateway
	config := gateway.DefaultConfig()
	config.MaxBodyBytes = int64(loaded.Limits.Body)
	config.MaxMessages = bounds.MaxMessages
	config.MaxOutputTokens = bounds.MaxOutputTokens
	config.DefaultOutputTokens = bounds.DefaultOutputTokens
	config.MaxHistoryLimit = bounds.MaxHistoryLimit
	config.MaxWait = bounds.MaxWait
	config.RouteBound = bounds.RouteBound
	config.ReattachBound = bounds.ReattachBound
	config.FirstEventBound = bounds.FirstEventBound
	config.IdleBound = bounds.IdleBound
	config.UnaryBound = bounds.UnaryBound
	config.RetryRatio = bounds.RetryRatio
	config.RetryBurst = bounds.RetryBurst
	config.RetryAfter = loaded.Limits.RetryAfter
	return config
}

// gatewayView is the configuration in force for callers, nil while none is
// known to be current.
func gatewayView(shared *process) gateway.Configuration {
	current := shared.reader.Current()
	if current == nil || !shared.fresh() {
		return nil
	}
	return callerConfiguration{snapshot: current}
}

// callerConfiguration shows a gateway its part of the configuration.
type callerConfiguration struct{ snapshot *configuration.Snapshot }

// TierByKey finds the tier of a caller's key.
func (view callerConfiguration) TierByKey(key string) (gateway.Tier, bool) {
	tier, found := view.snapshot.TierByKey(key)
	return gateway.Tier{Name: tier.GetName(), Tenant: tier.GetTenant()}, found
}

// ServiceByName finds a model or tool service.
func (view callerConfiguration) ServiceByName(name string) (gateway.Service, bool) {
	service, found := view.snapshot.Service(name)
	return callerService(service), found
}

// Services lists all services in the operators' order.
func (view callerConfiguration) Services() []gateway.Service {
	var services []gateway.Service
	for _, service := range view.snapshot.Configuration().GetServices() {
		services = append(services, callerService(service))
	}
	return services
}

func callerService(service *operatorv1.Service) gateway.Service {
	kind := gateway.ServiceModel
	if service.GetKind() == operatorv1.ServiceKind_SERVICE_KIND_TOOL {
		kind = gateway.ServiceTool
	}
	return gateway.Service{Name: service.GetName(), Kind: kind, Adapters: service.GetAdapters()}
}
