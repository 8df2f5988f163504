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
	// tenantFree has no limit, tenantLimited limitPerSecond and limitBurst.
	tenantFree    = "free"
	tenantLimited = "limited"
	// tenantHot has no limit either; it sends nothing but as a fault.
	tenantHot      = "hot"
	limitPerSecond = 8
	limitBurst     = 8
	// quotaWindow, quotaOverage and quotaSlack are how a limit is judged.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// callersPerLimited is how many callers there are for each of the limited tenant.
	callersPerLimited = 3
	// strangerShare of a program's turns are followed by a try of another tenant to go on
	// from them, one in so many.
	strangerShare = 6
)

// defaultTenants are those of random soaks. The first one is the prober.
func defaultTenants() []records.Tenant {
	return []records.Tenant{{Name: tenantFree}, {Name: tenantLimited, RatePerS: limitPerSecond, Burst: limitBurst}, {Name: tenantHot}}
}

// tenantRecords are the tenants of a version of the configuration. Each has a key that
// stays; the first one has a further key that only this version holds.
func tenantRecords(tenants []records.Tenant, version int) []records.Tenant {
	listed := slices.Clone(tenants)
	for number := range listed {
		listed[number].ApiKeys = []string{keyOf(listed[number].Name)}
	}
	listed[0].ApiKeys = append(listed[0].ApiKeys, versionKey(version))
	return listed
}

// keyOf is the key of a tenant that stays.
func keyOf(tenant string) string { return "key-of-" + tenant }

// versionKey is a key that one version of the configuration holds.
func versionKey(version int) string { return fmt.Sprintf("key-of-version-%d", version) }

// tenantOf is the tenant of a caller.
func tenantOf(caller int) string {
	if caller%callersPerLimited == callersPerLimited-1 {
		return tenantLimited
	}
	return tenantFree
}

// other is the tenant that a tenant is not.
func other(tenant string) string {
	if tenant == tenantFree {
		return tenantLimited
	}
	return tenantFree
}

// checkTenant checks what an engine was told of who sent a request.
func (ledger *ledger) checkTenant(run agentengine.Run, attempt *sent) {
	if told := run.Header.Values("Tenant"); !slices.Equal(told, []string{attempt.tenant}) {
		ledger.violated(promiseTenant, "%s of %s ran for %v", run.ID, attempt.tenant, told)
	}
	for name, values := range run.Header {
		if strings.Contains(strings.Join(values, " "), "key-of-") {
			ledger.violated(promiseTenant, "%s carried a key to its engine in %s", run.ID, name)
		}
	}
}

// checkLimit checks that no window saw more requests of the limited tenant than is
// tolerated: those that were both sent and begun within it.
func (ledger *ledger) checkLimit(runs []agentengine.Run) {
	type span struct{ sent, begun time.Time }
	var spans []span
	ledger.mutex.Lock()
	for _, run := range runs {
		if attempt := ledger.attempts[run.ID]; attempt != nil && attempt.tenant == tenantLimited {
			spans = append(spans, span{attempt.sentAt, run.At})
		}
	}
	ledger.mutex.Unlock()
	slices.SortFunc(spans, func(left, right span) int { return left.sent.Compare(right.sent) })
	bound := (limitPerSecond*quotaWindow.Seconds()+limitBurst)*(1+quotaOverage) + quotaSlack
	for first := range spans {
		count := 0
		for _, each := range spans[first:] {
			if each.begun.Sub(spans[first].sent) <= quotaWindow {
				count++
			}
		}
		if float64(count) > bound {
			ledger.violated(promiseLimit, "%d requests ran in a window where %.0f may", count, bound)
			return
		}
	}
}

// stranger has another tenant go on from a line's last turn: that must not run.
func (callers *callers) stranger(ctx context.Context, running *line) {
	attempt := &sent{method: http.MethodPost, target: turnPath, tenant: other(running.tenant)}
	header := http.Header{}
	header.Set("Program-Id", running.name)
	header.Set("Session-Id", running.session)
	header.Set("Previous-Turn", running.previous)
	callers.send(ctx, running.random, attempt, "stranger", header)
	if attempt.status == http.StatusOK {
		callers.ledger.violated(promiseHistory, "%s of %s went on from a turn of %s", attempt.id, attempt.tenant, running.tenant)
	}
}
