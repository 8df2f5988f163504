package gateway

import (
	"strings"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Headers of the callers' API; see docs/INTERFACES-callers.md.
const (
	headerProgram        = "X-Magpielug-Program"
	headerRequestID      = "X-Magpielug-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerRepeatable     = "X-Magpielug-Repeatable"
	headerDeadline       = "X-Magpielug-Deadline-Ms"
	headerLastEventID    = "Last-Event-ID"
)

const bearerPrefix = "bearer "

// authenticate sets the exchange's configuration and caller from the request's
// API key. It runs before any other part of the request is read.
func (gateway *Gateway) authenticate(exchange *exchange) error {
	configuration := gateway.dependencies.Configuration()
	if configuration == nil {
		stale := resultcode.New(resultcode.ConfigurationStale, "this gateway has no current configuration")
		return stale.WithRetryAfter(gateway.config.RetryAfter)
	}
	tier, known := configuration.TierByKey(bearerKey(exchange.request.Header.Get("Authorization")))
	if !known {
		return resultcode.New(resultcode.BadKey, "the Authorization header must be \"Bearer <key>\" with a tier's key")
	}
	exchange.configuration = configuration
	exchange.caller = &schedulerv1.Caller{Tenant: tier.Tenant, Tier: tier.Name}
	return nil
}

func bearerKey(authorization string) string {
	if len(authorization) < len(bearerPrefix) || !strings.EqualFold(authorization[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(authorization[len(bearerPrefix):])
}
