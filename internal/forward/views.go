package forward

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

const (
	// freshViewTimeout is how long a call waits for the configuration and the list of engines to
	// be refreshed after a freeze. After that it uses what the node has.
	freshViewTimeout = 300 * time.Millisecond
	viewPollInterval = 5 * time.Millisecond
	// A call to a node that has just started waits for its views for at most loadingWaitFraction of its
	// remaining time, and until loadingTimeout after the start. After that the log is probably
	// unavailable, and waiting would be futile.
	loadingWaitFraction = 0.3
	loadingTimeout      = 1500 * time.Millisecond
	// maxDenialConfigurationAge is the age up to which a configuration may be used to deny a call.
	// It exceeds the 1.5 s for which a read of the configuration waits for a change by a second,
	// since a read may be late.
	maxDenialConfigurationAge = 2500 * time.Millisecond
)

// Views reports whether the node's configuration and list of engines are up to date.
type Views interface {
	// Loaded reports whether the configuration, the list of engines and the list of nodes have been
	// read since the process started.
	Loaded() bool
	// Current reports whether both were requested again since the last freeze of the process.
	Current() bool
	// ConfigurationAge returns the time since the configuration was last confirmed.
	ConfigurationAge() time.Duration
}

// AwaitFreshViews waits, for at most freshViewTimeout, until the configuration and the list of
// engines have been refreshed since the process last froze. Otherwise the node could send the
// request to a removed engine, or accept a route or key that is no longer valid.
func AwaitFreshViews(ctx context.Context, views Views, request string, logger *zap.Logger) {
	if views == nil || views.Current() {
		return
	}
	began := time.Now()
	for !views.Current() && ctx.Err() == nil && time.Since(began) < freshViewTimeout {
		wait.Sleep(ctx, viewPollInterval)
	}
	logger.Info("waited for fresh views after a freeze", zap.String("request", request),
		zap.Duration("waited", time.Since(began)), zap.Bool("current", views.Current()))
}

// awaitLoadedViews waits until a node that has just started has read its views. An empty list of engines
// or nodes would otherwise be taken for what the log holds, and the call refused for it.
func (inflight *inflightCall) awaitLoadedViews(ctx context.Context) {
	views := inflight.service.Views
	if views == nil || views.Loaded() {
		return
	}
	began := time.Now()
	waitUntil := began.Add(time.Duration(loadingWaitFraction * float64(inflight.callerDeadline().Sub(began))))
	if timeout := inflight.service.Started.Add(loadingTimeout); timeout.Before(waitUntil) {
		waitUntil = timeout
	}
	for !views.Loaded() && ctx.Err() == nil && time.Now().Before(waitUntil) {
		wait.Sleep(ctx, viewPollInterval)
	}
	inflight.service.Logger.Info("waited for views after the start", zap.String("request", inflight.call.ID),
		zap.Duration("waited", time.Since(began)), zap.Bool("loaded", views.Loaded()))
}

func (inflight *inflightCall) awaitFreshViews(ctx context.Context) {
	AwaitFreshViews(ctx, inflight.service.Views, inflight.call.ID, inflight.service.Logger)
}

// denialError returns the error of a call that the configuration does not allow. If the
// configuration is outdated, the error is retryable: the route or key may have been added
// meanwhile, and callers do not retry a denied call.
func (inflight *inflightCall) denialError(code resultcode.Code, reason string) error {
	views := inflight.service.Views
	if views == nil || views.ConfigurationAge() <= maxDenialConfigurationAge {
		return resultcode.New(code, "%s", reason)
	}
	return resultcode.New(resultcode.ConfigurationStale, "%s (configuration last confirmed %s ago)", reason,
		views.ConfigurationAge().Round(time.Millisecond)).WithRetryAfter(otherNodeRetryAfter)
}
