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
	// maxDenialConfigurationAge is the age up to which a configuration may be used to deny a call.
	// It exceeds the 1.5 s for which a read of the configuration waits for a change by a second,
	// since a read may be late.
	maxDenialConfigurationAge = 2500 * time.Millisecond
)

// Views reports whether the node's configuration and list of engines are up to date.
type Views interface {
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
