package forward

import (
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/routing"
)

// headerCredentials is where HTTP carries what proves the sender.
const headerCredentials = "Authorization"

// authenticate finds the tenant that sends the call. Where there are tenants no engine
// gets the key: it would let an engine, or whoever reads its logs, call in their name.
func (current *course) authenticate(configuration *routing.Configuration) error {
	if !configuration.Tenants.RequiresKey() {
		return nil
	}
	current.call.Header.Del(headerCredentials)
	current.tenant = configuration.Tenants.TenantForKey(current.call.Key)
	if current.tenant != nil {
		current.call.Tenant = current.tenant.Name
		return nil
	}
	if current.route.AllowsAnonymous {
		return nil
	}
	return current.denied(resultcode.BadKey, "the call carries no key that a tenant holds")
}

// urgency is the rank of the call at engines: its tenant's, or else its route's.
func (current *course) urgency() int {
	if current.tenant != nil && current.tenant.Priority != nil {
		return *current.tenant.Priority
	}
	return current.route.Priority
}
