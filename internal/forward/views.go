package forward

import (
	"context"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/wait"
	"go.uber.org/zap"
)

const (
	// viewPatience is how long a call waits for configuration and engines to be read anew
	// after a freeze. A reading takes some tens of milliseconds; where it fails, or takes
	// longer, the call goes on by what is known.
	viewPatience = 300 * time.Millisecond
	// viewLook separates two looks whether they are.
	viewLook = 5 * time.Millisecond
	// denialTrust is how old the configuration may be for a call to be denied by it: its
	// reading waits for a change for 1.5 s, and may be late.
	denialTrust = 2500 * time.Millisecond
)

// Views tells how much what the node knows of configuration and engines may be relied on.
type Views interface {
	// Current tells whether both were asked for since the process was last frozen.
	Current() bool
	// ConfigurationAge is how old the configuration may be.
	ConfigurationAge() time.Duration
}

// AwaitFreshViews lets a request wait while what is known of configuration and engines is from
// before a freeze. A node that has just woken would send it to an engine that left meanwhile,
// by a route or key that is in force no more.
func AwaitFreshViews(ctx context.Context, views Views, request string, logger *zap.Logger) {
	if views == nil || views.Current() {
		return
	}
	began := time.Now()
	for !views.Current() && ctx.Err() == nil && time.Since(began) < viewPatience {
		wait.Sleep(ctx, viewLook)
	}
	logger.Info("views awaited after a freeze", zap.String("request", request),
		zap.Duration("waited", time.Since(began)), zap.Bool("current", views.Current()))
}

func (current *course) awaitViews(ctx context.Context) {
	AwaitFreshViews(ctx, current.service.Views, current.call.ID, current.service.Logger)
}

// denied refuses a call that the configuration does not allow, or says that this can't be told
// where the configuration is old: what was added meanwhile would be denied, and a caller that
// is denied does not come back.
func (current *course) denied(code resultcode.Code, reason string) error {
	views := current.service.Views
	if views == nil || views.ConfigurationAge() <= denialTrust {
		return resultcode.New(code, "%s", reason)
	}
	return resultcode.New(resultcode.ConfigurationStale, "%s, by a configuration last confirmed %s ago", reason,
		views.ConfigurationAge().Round(time.Millisecond)).After(elsewhereRetry)
}
