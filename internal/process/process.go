// Package process wires the parts of a gateway or scheduler process together
// and runs it: settings in, HTTP out, until it is told to stop.
package process

import (
	"context"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	configurationv1 "github.com/magpielug/magpielug/api/configuration/v1"
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/configuration"
	"github.com/magpielug/magpielug/internal/httpclient"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/metrics"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/httpadapter"
	"github.com/magpielug/magpielug/internal/settings"
)

// process is what both roles share.
type process struct {
	settings settings.Settings
	logger   *logging.Logger
	registry *prometheus.Registry
	mux      *http.ServeMux
	client   *http.Client
	adapters *httpadapter.Client
	log      outside.Log
	machines *machineCache
	reader   *configuration.Reader
	exchange *configurationExchange
	secure   certificates
	server   *httpserver.Server
}

// newProcess makes the shared parts; changed is told of each new
// configuration.
func newProcess(version string, loaded settings.Settings, changed func(*configuration.Snapshot)) (*process, error) {
	logger, err := logging.New(loaded.Log.Level, os.Stderr)
	if err != nil {
		return nil, err
	}
	logger.Logger = logger.With(zap.String("node", loaded.Node.ID))
	httpserver.ReportPanic = func(fault any, stack []byte) {
		logger.Error("handler_panicked", zap.Any("fault", fault), zap.ByteString("stack", stack))
	}
	secure, err := newCertificates(loaded.TLS, logger.Logger)
	if err != nil {
		return nil, err
	}
	client, err := httpclient.New(httpclient.Options{
		SourceAddress:  loaded.Node.Source,
		IdlePerAddress: loaded.Platform.IdleConnections,
		TLS:            secure.client(),
	})
	if err != nil {
		return nil, err
	}
	adapters, err := httpadapter.NewClient(httpadapter.Config{
		SourceAddress:     loaded.Node.Source,
		OrderTimeout:      loaded.Platform.EngineTimeout,
		StreamIdleTimeout: loaded.Platform.EngineSilence,
		IdlePerAddress:    loaded.Platform.IdleConnections,
	})
	if err != nil {
		return nil, err
	}
	made := &process{
		settings: loaded,
		logger:   logger,
		registry: metrics.NewRegistry(version, loaded.Node.Role),
		mux:      http.NewServeMux(),
		client:   client,
		adapters: adapters,
		secure:   secure,
		log:      httpadapter.NewLog(adapters, hostOf(loaded.Platform.Log)),
		machines: newMachineCache(httpadapter.NewMachines(adapters, hostOf(loaded.Platform.Machines)),
			loaded.Platform.MachinesPoll, loaded.Platform.ReadTimeout, logger.Logger),
	}
	made.follow(changed)
	return made, nil
}

// follow sets up the reader of the operators' configuration.
func (process *process) follow(changed func(*configuration.Snapshot)) {
	process.reader = configuration.NewReader(configuration.ReaderOptions{
		Log:         process.log,
		Zone:        process.settings.Node.Zone,
		Poll:        process.settings.Configuration.Poll,
		FreshBound:  process.settings.Configuration.FreshBound,
		ReadTimeout: process.settings.Platform.ReadTimeout,
		Changed:     changed,
		Logger:      process.logger.Logger,
	})
	process.exchange = &configurationExchange{
		reader:   process.reader,
		machines: process.machines,
		client:   process.client,
		self:     process.settings.Node.ID,
		zone:     process.settings.Node.Zone,
	}
	server := configurationv1.NewExchangeServer(process.exchange)
	process.mux.Handle(server.PathPrefix(), server)
}

// fresh tells whether the configuration known here may be acted on.
func (process *process) fresh() bool {
	return process.settings.Configuration.ServeStale || process.reader.Fresh()
}

// limits are the bounds of the process's HTTP server.
func (process *process) limits() httpserver.Limits {
	bounds := process.settings.Limits
	return httpserver.Limits{
		MaxConnections:   bounds.Connections,
		MaxInFlight:      bounds.Calls,
		MaxBodyBytes:     int(bounds.Body),
		MaxHeaderBytes:   int(bounds.Header),
		WriteBufferBytes: int(bounds.WriteBuffer),
		IdleTimeout:      bounds.IdleTimeout,
		RequestTimeout:   bounds.RequestTimeout,
		WriteTimeout:     bounds.WriteTimeout,
		RetryAfter:       bounds.RetryAfter,
		DrainGrace:       bounds.DrainGrace,
		Exempt:           exempt,
	}
}

// exempt tells which requests the bound on calls does not count: metrics, and what
// processes say among themselves, which must go on at overload.
func exempt(request *http.Request) bool {
	return metrics.IsMonitoringRequest(request) ||
		strings.HasPrefix(request.URL.Path, schedulerv1.PeerPathPrefix) ||
		strings.HasPrefix(request.URL.Path, configurationv1.ExchangePathPrefix)
}

const (
	// startBound is how long a gateway waits to be ready before it listens.
	startBound    = 3 * time.Second
	startInterval = 10 * time.Millisecond
)

// role is what makes a process a gateway or a scheduler.
type role struct {
	ready metrics.ReadinessCheck
	// listensReady makes the process listen only once it is ready, or after
	// startBound: a caller that meets a closed port takes another gateway, one that
	// meets a gateway without a configuration is refused.
	listensReady bool
	serve        func(context.Context)
	stop         func(context.Context)
}

// run serves until ctx ends or the system asks for a stop; then requests under way
// are finished, and run returns.
func (process *process) run(ctx context.Context, role role) error {
	metrics.Mount(process.mux, process.registry, role.ready)
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go process.machines.run(running)
	go process.reader.Run(running)
	go process.exchange.run(running)
	go role.serve(running)
	if role.listensReady {
		awaitReady(role.ready)
	}
	server, err := process.secure.serve(process.settings.Node.Listen, process.mux, process.limits())
	if err != nil {
		return err
	}
	process.server = server
	metrics.RegisterServer(process.registry, server)
	process.logger.Info("started", zap.String("role", process.settings.Node.Role),
		zap.String("zone", process.settings.Node.Zone), zap.String("listen", server.Address()))
	awaitStop(ctx)
	return process.shutDown(role.stop)
}

// awaitReady waits until the process is ready, no longer than startBound.
func awaitReady(ready metrics.ReadinessCheck) {
	for begun := time.Now(); ready() != nil && time.Since(begun) < startBound; {
		time.Sleep(startInterval)
	}
}

func awaitStop(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-signals:
	case <-ctx.Done():
	}
}

func (process *process) shutDown(stop func(context.Context)) error {
	process.logger.Info("stopping")
	bounded, cancel := context.WithTimeout(context.Background(), process.settings.Limits.ShutdownTimeout)
	defer cancel()
	stop(bounded)
	begun := time.Now()
	err := process.server.Shutdown(bounded)
	process.logger.Info("stopped", zap.Duration("drained_in", time.Since(begun)))
	return eris.Wrap(err, "shut down")
}

// hostOf takes the address out of a base URL, which the settings have checked.
func hostOf(baseURL string) string {
	parsed, err := url.Parse(baseURL)
	if err != nil {
		return baseURL
	}
	return parsed.Host
}
