package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/magpielug/magpielug/rehearsal/standin/agentengine"
	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

const (
	// tenantUnlimited has no rate limit. tenantLimited is limited to limitPerSecond
	// with a burst of limitBurst.
	tenantUnlimited = "free"
	tenantLimited   = "limited"
	// tenantHot has no rate limit and is used only by the hot tenant fault.
	tenantHot      = "hot"
	limitPerSecond = 8
	limitBurst     = 8
	// quotaWindow, quotaOverage and quotaSlack are the window and the tolerances of
	// rate limits.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// callersPerLimitedTenant is the number of callers for each one that uses the
	// limited tenant.
	callersPerLimitedTenant = 3
	// After one in crossTenantInterval turns, another tenant attempts to continue the
	// turn.
	crossTenantInterval = 6
)

// defaultTenants returns the tenants of runs with random faults. The first one is the
// probe tenant.
func defaultTenants() []records.Tenant {
	return []records.Tenant{{Name: tenantUnlimited}, {Name: tenantLimited, RatePerS: limitPerSecond, Burst: limitBurst}, {Name: tenantHot}}
}

// tenantRecords returns the tenants of a configuration version with their keys. Each
// tenant has a permanent key. The first tenant also has a key that exists only in this
// version.
func tenantRecords(tenants []records.Tenant, version int) []records.Tenant {
	withKeys := slices.Clone(tenants)
	for number := range withKeys {
		withKeys[number].ApiKeys = []string{tenantKey(withKeys[number].Name)}
	}
	withKeys[0].ApiKeys = append(withKeys[0].ApiKeys, versionKey(version))
	return withKeys
}

// tenantKey returns a tenant's permanent key.
func tenantKey(tenant string) string { return "key-of-" + tenant }

// versionKey returns the key that exists only in one configuration version.
func versionKey(version int) string { return fmt.Sprintf("key-of-version-%d", version) }

// callerTenant returns the tenant of the caller with the given number.
func callerTenant(caller int) string {
	if caller%callersPerLimitedTenant == callersPerLimitedTenant-1 {
		return tenantLimited
	}
	return tenantUnlimited
}

// otherTenant returns a tenant other than the given one.
func otherTenant(tenant string) string {
	if tenant == tenantUnlimited {
		return tenantLimited
	}
	return tenantUnlimited
}

// checkTenant checks that an engine was told the tenant that holds the key, and that no
// key was forwarded to it.
func (recorder *recorder) checkTenant(run agentengine.Run, attempt *callAttempt) {
	if received := run.Header.Values("Tenant"); !slices.Equal(received, []string{attempt.tenant}) {
		recorder.addViolation(invariantTenant, "%s of tenant %s ran for tenant %v", run.ID, attempt.tenant, received)
	}
	for name, values := range run.Header {
		if strings.Contains(strings.Join(values, " "), "key-of-") {
			recorder.addViolation(invariantTenant, "%s forwarded a key to its engine in header %s", run.ID, name)
		}
	}
}

// checkTenantLimit checks that in no window of quotaWindow more requests of the limited
// tenant ran than the limit and its tolerances allow. A request counts if it was both
// sent and started within the window.
func (recorder *recorder) checkTenantLimit(runs []agentengine.Run) {
	type span struct{ sent, started time.Time }
	var spans []span
	recorder.mutex.Lock()
	for _, run := range runs {
		if attempt := recorder.attempts[run.ID]; attempt != nil && attempt.tenant == tenantLimited {
			spans = append(spans, span{attempt.sentAt, run.ArrivedAt})
		}
	}
	recorder.mutex.Unlock()
	slices.SortFunc(spans, func(left, right span) int { return left.sent.Compare(right.sent) })
	limit := (limitPerSecond*quotaWindow.Seconds()+limitBurst)*(1+quotaOverage) + quotaSlack
	for first := range spans {
		count := 0
		for _, each := range spans[first:] {
			if each.started.Sub(spans[first].sent) <= quotaWindow {
				count++
			}
		}
		if float64(count) > limit {
			recorder.addViolation(invariantTenantLimit, "%d requests ran in a window that allows %.0f", count, limit)
			return
		}
	}
}

// tryCrossTenantTurn continues the session's last turn as another tenant, which must be
// refused.
func (caller *caller) tryCrossTenantTurn(ctx context.Context, current *session) {
	attempt := &callAttempt{method: http.MethodPost, target: retainedTurnPath, tenant: otherTenant(current.tenant)}
	header := http.Header{}
	header.Set("Program-Id", current.name)
	header.Set("Session-Id", current.id)
	header.Set("Previous-Turn", current.previousTurn)
	caller.send(ctx, current.random, attempt, "stranger", header)
	if attempt.status == http.StatusOK {
		caller.recorder.addViolation(invariantHistory, "%s of tenant %s continued a turn of tenant %s", attempt.id, attempt.tenant, current.tenant)
	}
}
