package admission

import (
	"cmp"
	"math"
	"slices"

	"github.com/magpielug/magpielug/internal/load"
	"github.com/magpielug/magpielug/internal/tenant"
)

// TenantShare is what a tenant has under way at a rank, against its share.
type TenantShare struct {
	load.TenantPriority
	Programs int
	// FairShare is how many programs it may have before it is refused for the sake of others;
	// infinite while there is room for all.
	FairShare float64
}

// TenantShares returns the tenants with programs under way, those with the most first. Their
// shares are those that a decision finds now at the resource that binds most, before it
// counts what has begun since the state's moment.
func (controller *Controller) TenantShares(state *State) []TenantShare {
	part := controller.uncontestedPart(state)
	holdings := map[int]map[string]holding{}
	levels := map[int]float64{}
	all := make([]TenantShare, 0, len(state.Total.Tenants))
	for holder, programs := range state.Total.Tenants {
		if programs <= 0 {
			continue
		}
		if holdings[holder.Priority] == nil {
			held := state.holdings(Request{Priority: holder.Priority, Program: tenant.Program{Tenant: holder.Tenant}})
			holdings[holder.Priority] = held
			levels[holder.Priority] = shareLevel(held, part)
		}
		fair := levels[holder.Priority] * holdings[holder.Priority][holder.Tenant].weight
		all = append(all, TenantShare{TenantPriority: holder, Programs: programs, FairShare: fair})
	}
	slices.SortFunc(all, func(left, right TenantShare) int {
		return cmp.Or(cmp.Compare(right.Programs, left.Programs), cmp.Compare(left.Tenant, right.Tenant), cmp.Compare(left.Priority, right.Priority))
	})
	return all
}

// uncontestedPart is the part of the programs under way for which there is room before
// shares matter, 1 or more where there is for all.
func (controller *Controller) uncontestedPart(state *State) float64 {
	part := math.Inf(1)
	if !controller.options.TenantShares {
		return part
	}
	for _, shared := range controller.Resources(state) {
		if shared.Demand > 0 {
			part = min(part, (shared.Limit-sharedReserve*shared.Capacity)/shared.Demand)
		}
	}
	return part
}

// shareLevel is the programs for each unit of weight that tenants may have if a part of all
// fits.
func shareLevel(holdings map[string]holding, part float64) float64 {
	if part >= 1 || len(holdings) < 2 {
		return math.Inf(1)
	}
	total := 0.0
	for _, held := range holdings {
		total += held.programs
	}
	return fairLevel(holdings, total*max(part, 0))
}

// DecayedRate turns a count of recent events, as load.Route holds them, into a rate.
func DecayedRate(count float64) float64 { return perSecond(count) }
