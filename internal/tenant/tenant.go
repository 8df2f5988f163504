// Package tenant holds who may send calls: the tenants of the operators'
// configuration and the keys that prove them. It decides nothing and keeps no state
// beside the configuration.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"
)

// Tenant is one customer of the operators.
type Tenant struct {
	Name string
	// Priority is the rank of its calls, 0 the most urgent; nil leaves each call the
	// rank of its route.
	Priority *int
	Limit    Limit
	// Regions are those in which its requests may be served and kept; none for all.
	Regions []string
}

// Limit bounds a tenant's requests, counted over all nodes together.
type Limit struct {
	// PerSecond is how many requests a second may run, 0 for any number.
	PerSecond float64
	// Burst is how many may run on top of that at once.
	Burst float64
}

// Limited tells whether there is a limit at all.
func (limit Limit) Limited() bool { return limit.PerSecond > 0 }

// Program names an agent program: two tenants may use the same id.
type Program struct {
	// Tenant is empty where no tenants are configured.
	Tenant string
	ID     string
}

// WithoutTenant is the program of the same id as a node names it that knows no tenants.
func (program Program) WithoutTenant() Program { return Program{ID: program.ID} }

// digest stands for a key, so that a copy of the memory or a log line gives none away.
type digest [sha256.Size]byte

// Directory finds the tenant that holds a key. The zero value has no tenants. It never
// changes once built.
type Directory struct {
	byKey map[digest]*Tenant
	// configured is true where calls need a key.
	configured bool
	// limited is true where any tenant has a limit.
	limited bool
	// rates are the tenants' limits in requests a second, of those that have one.
	rates map[string]float64
}

// TenantKeys is a tenant with its keys.
type TenantKeys struct {
	Tenant Tenant
	Keys   []string
}

// NewDirectory builds a directory. Of two tenants with one key the first holds it.
func NewDirectory(holders []TenantKeys) Directory {
	built := Directory{byKey: map[digest]*Tenant{}, configured: true, rates: map[string]float64{}}
	for index := range holders {
		holder := &holders[index]
		built.limited = built.limited || holder.Tenant.Limit.Limited()
		if holder.Tenant.Limit.Limited() {
			built.rates[holder.Tenant.Name] = holder.Tenant.Limit.PerSecond
		}
		for _, key := range holder.Keys {
			sum := digest(sha256.Sum256([]byte(key)))
			if _, held := built.byKey[sum]; !held && key != "" {
				built.byKey[sum] = &holder.Tenant
			}
		}
	}
	return built
}

// RequiresKey tells whether calls need a key at all.
func (directory Directory) RequiresKey() bool { return directory.configured }

// TenantForKey returns the tenant that holds a key, nil for a key that nobody holds.
func (directory Directory) TenantForKey(key string) *Tenant {
	if key == "" {
		return nil
	}
	return directory.byKey[sha256.Sum256([]byte(key))]
}

// Rates returns the limits of the tenants that have one, requests a second: what the
// operators say of the tenants' sizes. The caller must not change it.
func (directory Directory) Rates() map[string]float64 { return directory.rates }

// HasLimits tells whether any tenant has a limit.
func (directory Directory) HasLimits() bool { return directory.limited }

// shortDigestBytes is how much of a key's digest names it in a log: enough to compare
// with the digest of a key at hand, too little to find the key.
const shortDigestBytes = 4

// KeyFingerprint names a key for logs.
func KeyFingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:shortDigestBytes])
}
