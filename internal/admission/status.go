package admission

import (
	"cmp"
	"math"
	"slices"

	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/tenant"
)

// TenantShare is a tenant's number of running programs of one priority, with its fair share.
type TenantShare struct {
	load.TenantPriority
	Programs int
	// FairShare is the number of programs it may run before it is refused in favour of other
	// tenants; infinite while there is capacity for all.
	FairShare float64
}

// TenantShares returns the tenants with running programs, the largest first. Fair shares are
// computed for the binding resource, without the programs admitted since the state was
// reported.
func (controller *Controller) TenantShares(state *State) []TenantShare {
	fraction := controller.uncontestedFraction(state)
	usages := map[int]map[string]tenantUsage{}
	levels := map[int]float64{}
	all := make([]TenantShare, 0, len(state.Total.Tenants))
	for key, programs := range state.Total.Tenants {
		if programs <= 0 {
			continue
		}
		if usages[key.Priority] == nil {
			usage := state.tenantUsages(Request{Priority: key.Priority, Program: tenant.Program{Tenant: key.Tenant}})
			usages[key.Priority] = usage
			levels[key.Priority] = fairLevelForFraction(usage, fraction)
		}
		fairShare := levels[key.Priority] * usages[key.Priority][key.Tenant].weight
		all = append(all, TenantShare{TenantPriority: key, Programs: programs, FairShare: fairShare})
	}
	slices.SortFunc(all, func(left, right TenantShare) int {
		return cmp.Or(cmp.Compare(right.Programs, left.Programs), cmp.Compare(left.Tenant, right.Tenant), cmp.Compare(left.Priority, right.Priority))
	})
	return all
}

// uncontestedFraction returns the fraction of the running programs that fits before fair shares
// apply, 1 or more if all do.
func (controller *Controller) uncontestedFraction(state *State) float64 {
	fraction := math.Inf(1)
	if !controller.options.TenantShares {
		return fraction
	}
	for _, resource := range controller.Resources(state) {
		if resource.Demand > 0 {
			fraction = min(fraction, (resource.Limit-fairShareMargin*resource.Capacity)/resource.Demand)
		}
	}
	return fraction
}

// fairLevelForFraction returns the fair number of programs per unit of weight if a fraction of
// all programs fits.
func fairLevelForFraction(usages map[string]tenantUsage, fraction float64) float64 {
	if fraction >= 1 || len(usages) < 2 {
		return math.Inf(1)
	}
	total := 0.0
	for _, usage := range usages {
		total += usage.programs
	}
	return fairLevel(usages, total*max(fraction, 0))
}

// DecayedRate converts a decaying count of a load.Route into a rate per second.
func DecayedRate(count float64) float64 { return perSecond(count) }
