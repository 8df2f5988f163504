// Package process assembles a gateway or scheduler process from its settings and
// runs it until it is stopped.
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

// process holds the components that both roles share.
type process struct {
	settings     settings.Settings
	logger       *logging.Logger
	registry     *prometheus.Registry
	mux          *http.ServeMux
	client       *http.Client
	adapters     *httpadapter.Client
	log          outside.Log
	machines     *machineCache
	reader       *configuration.Reader
	exchange     *configurationExchange
	certificates certificates
	server       *httpserver.Server
}

// newProcess creates the shared components. changed is called with each new
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
		MaxIdlePerHost: loaded.Platform.IdleConnections,
		TLS:            secure.clientConfig(),
	})
	if err != nil {
		return nil, err
	}
	adapters, err := httpadapter.NewClient(httpadapter.Config{
		SourceAddress:     loaded.Node.Source,
		RequestTimeout:    loaded.Platform.EngineTimeout,
		StreamIdleTimeout: loaded.Platform.EngineSilence,
		IdlePerAddress:    loaded.Platform.IdleConnections,
	})
	if err != nil {
		return nil, err
	}
	made := &process{
		settings:     loaded,
		logger:       logger,
		registry:     metrics.NewRegistry(version, loaded.Node.Role),
		mux:          http.NewServeMux(),
		client:       client,
		adapters:     adapters,
		certificates: secure,
		log:          httpadapter.NewLog(adapters, urlHost(loaded.Platform.Log)),
		machines: newMachineCache(httpadapter.NewMachines(adapters, urlHost(loaded.Platform.Machines)),
			loaded.Platform.MachinesPoll, loaded.Platform.ReadTimeout, logger.Logger),
	}
	made.initConfiguration(changed)
	return made, nil
}

// initConfiguration creates the reader and the exchange of the operators'
// configuration.
func (process *process) initConfiguration(changed func(*configuration.Snapshot)) {
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

// fresh reports whether the configuration is current, or may be used when stale.
func (process *process) fresh() bool {
	return process.settings.Configuration.ServeStale || process.reader.Fresh()
}

// limits returns the limits of the process's HTTP server.
func (process *process) limits() httpserver.Limits {
	section := process.settings.Limits
	return httpserver.Limits{
		MaxConnections:   section.Connections,
		MaxInFlight:      section.Calls,
		MaxBodyBytes:     int(section.Body),
		MaxHeaderBytes:   int(section.Header),
		WriteBufferBytes: int(section.WriteBuffer),
		IdleTimeout:      section.IdleTimeout,
		RequestTimeout:   section.RequestTimeout,
		WriteTimeout:     section.WriteTimeout,
		RetryAfter:       section.RetryAfter,
		DrainGrace:       section.DrainGrace,
		Exempt:           exemptFromLimits,
	}
}

// exemptFromLimits reports whether the limit on calls does not apply to a
// request: monitoring and requests between processes must work under overload.
func exemptFromLimits(request *http.Request) bool {
	return metrics.IsMonitoringRequest(request) ||
		strings.HasPrefix(request.URL.Path, schedulerv1.PeerPathPrefix) ||
		strings.HasPrefix(request.URL.Path, configurationv1.ExchangePathPrefix)
}

const (
	// readyTimeout bounds the wait of a gateway to be ready before it listens.
	readyTimeout      = 3 * time.Second
	readyPollInterval = 10 * time.Millisecond
)

// role holds the role-specific hooks of a process.
type role struct {
	ready metrics.ReadinessCheck
	// listenWhenReady delays listening until the process is ready, or at most by
	// readyTimeout. Clients retry a closed port on another gateway, but a gateway
	// without a configuration refuses their calls.
	listenWhenReady bool
	serve           func(context.Context)
	stop            func(context.Context)
}

// run serves until ctx is cancelled or the process receives SIGTERM or SIGINT,
// then shuts down gracefully.
func (process *process) run(ctx context.Context, role role) error {
	metrics.Mount(process.mux, process.registry, role.ready)
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go process.machines.run(running)
	go process.reader.Run(running)
	go process.exchange.run(running)
	go role.serve(running)
	if role.listenWhenReady {
		waitUntilReady(role.ready)
	}
	server, err := process.certificates.startServer(process.settings.Node.Listen, process.mux, process.limits())
	if err != nil {
		return err
	}
	process.server = server
	metrics.RegisterServer(process.registry, server)
	process.logger.Info("started", zap.String("role", process.settings.Node.Role),
		zap.String("zone", process.settings.Node.Zone), zap.String("listen", server.Address()))
	waitForStop(ctx)
	return process.shutdown(role.stop)
}

// waitUntilReady waits until the process is ready, at most readyTimeout.
func waitUntilReady(ready metrics.ReadinessCheck) {
	for start := time.Now(); ready() != nil && time.Since(start) < readyTimeout; {
		time.Sleep(readyPollInterval)
	}
}

func waitForStop(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-signals:
	case <-ctx.Done():
	}
}

func (process *process) shutdown(stop func(context.Context)) error {
	process.logger.Info("stopping")
	bounded, cancel := context.WithTimeout(context.Background(), process.settings.Limits.ShutdownTimeout)
	defer cancel()
	stop(bounded)
	start := time.Now()
	err := process.server.Shutdown(bounded)
	process.logger.Info("stopped", zap.Duration("drained_in", time.Since(start)))
	return eris.Wrap(err, "shut down")
}

// urlHost returns the host and port of a base URL, which has been validated.
func urlHost(baseURL string) string {
	parsed, err := url.Parse(baseURL)
	if err != nil {
		return baseURL
	}
	return parsed.Host
}
