package forward

import (
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
)

const authorizationHeader = "Authorization"

// authenticate determines the tenant of the call. If tenants are configured, the key is removed
// from the headers, because engines and readers of their logs could otherwise impersonate them.
func (inflight *inflightCall) authenticate(configuration *routing.Configuration) error {
	if !configuration.Tenants.RequiresKey() {
		return nil
	}
	inflight.call.Header.Del(authorizationHeader)
	inflight.tenant = configuration.Tenants.TenantForKey(inflight.call.Key)
	if inflight.tenant != nil {
		inflight.call.Tenant = inflight.tenant.Name
		return nil
	}
	if inflight.route.AllowsAnonymous {
		return nil
	}
	return inflight.denialError(resultcode.BadKey, "call has no valid tenant key")
}

// priority returns the tenant's priority if it has one, otherwise the route's.
func (inflight *inflightCall) priority() int {
	if inflight.tenant != nil && inflight.tenant.Priority != nil {
		return *inflight.tenant.Priority
	}
	return inflight.route.Priority
}
