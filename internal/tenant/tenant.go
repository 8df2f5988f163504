// Package tenant holds the configured tenants and their API keys. It keeps no other state.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"
)

// Tenant is a customer of the operators.
type Tenant struct {
	Name string
	// Priority is the priority of its calls, 0 the most urgent; nil uses the priority of each
	// call's route.
	Priority *int
	Limit    Limit
	// Regions are the regions in which its requests may be served and stored; empty for all.
	Regions []string
}

// Limit bounds a tenant's request rate over all nodes together.
type Limit struct {
	// PerSecond is the sustained number of requests per second, 0 for no limit.
	PerSecond float64
	// Burst is the number of requests by which the sustained rate may be exceeded at once.
	Burst float64
}

// Limited reports whether there is a limit.
func (limit Limit) Limited() bool { return limit.PerSecond > 0 }

// Program identifies an agent program; IDs are unique only within a tenant.
type Program struct {
	// Tenant is empty if no tenants are configured.
	Tenant string
	ID     string
}

// WithoutTenant returns the program as identified by a node without configured tenants.
func (program Program) WithoutTenant() Program { return Program{ID: program.ID} }

// keyDigest is the SHA-256 digest of a key. It is kept instead of the key, so that a memory dump or
// a log line does not disclose the key.
type keyDigest [sha256.Size]byte

// Directory finds the tenant of a key. The zero value has no tenants. It is immutable.
type Directory struct {
	byKeyDigest map[keyDigest]*Tenant
	// requiresKey is true if calls need a key.
	requiresKey bool
	// hasLimits is true if any tenant has a limit.
	hasLimits bool
	// rates maps the names of tenants with a limit to that limit in requests per second.
	rates map[string]float64
}

// TenantKeys is a tenant with its keys.
type TenantKeys struct {
	Tenant Tenant
	Keys   []string
}

// NewDirectory builds a directory. A key listed for two tenants belongs to the first.
func NewDirectory(tenants []TenantKeys) Directory {
	directory := Directory{byKeyDigest: map[keyDigest]*Tenant{}, requiresKey: true, rates: map[string]float64{}}
	for index := range tenants {
		entry := &tenants[index]
		directory.hasLimits = directory.hasLimits || entry.Tenant.Limit.Limited()
		if entry.Tenant.Limit.Limited() {
			directory.rates[entry.Tenant.Name] = entry.Tenant.Limit.PerSecond
		}
		for _, key := range entry.Keys {
			digest := keyDigest(sha256.Sum256([]byte(key)))
			if _, taken := directory.byKeyDigest[digest]; !taken && key != "" {
				directory.byKeyDigest[digest] = &entry.Tenant
			}
		}
	}
	return directory
}

// RequiresKey reports whether calls need a key.
func (directory Directory) RequiresKey() bool { return directory.requiresKey }

// TenantForKey returns the tenant of a key, nil for an unknown key.
func (directory Directory) TenantForKey(key string) *Tenant {
	if key == "" {
		return nil
	}
	return directory.byKeyDigest[sha256.Sum256([]byte(key))]
}

// Rates returns the limits of the tenants that have one, in requests per second; they serve as
// the tenants' weights. The caller must not modify it.
func (directory Directory) Rates() map[string]float64 { return directory.rates }

// HasLimits reports whether any tenant has a limit.
func (directory Directory) HasLimits() bool { return directory.hasLimits }

// fingerprintBytes is the length of the digest prefix that identifies a key in logs: enough to
// compare with a known key, too short to recover one.
const fingerprintBytes = 4

// KeyFingerprint identifies a key in logs.
func KeyFingerprint(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:fingerprintBytes])
}
