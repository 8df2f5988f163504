package admission

import (
	"math"
	"slices"
)

const (
	// fairShareMargin is the fraction of the capacity below the limit at which fair shares
	// begin to apply, so that the heaviest tenants are refused before the others are.
	fairShareMargin = 0.05
	// underShareAllowance is the fraction of the capacity beyond the limit available to tenants
	// that use less than farUnderFraction of their fair share.
	underShareAllowance = 0.1
	farUnderFraction    = 0.5
)

// tenantUsage is a tenant's number of running programs and its weight.
type tenantUsage struct {
	programs float64
	weight   float64
}

func (usage tenantUsage) perWeight() float64 { return usage.programs / usage.weight }

// setFairShare records the tenant's fair share in the decision if capacity is scarce and
// several tenants of the request's priority compete for it.
func (constraint *constraint) setFairShare(request Request, decision *Decision) {
	// The costly reserve of a route does not limit its tenants.
	uncontested := constraint.limit + constraint.costlyReserve - fairShareMargin*constraint.capacity
	if constraint.projected <= uncontested {
		return
	}
	usages := constraint.state.tenantUsages(request)
	if len(usages) < 2 {
		return
	}
	total := 0.0
	for _, usage := range usages {
		total += usage.programs
	}
	level := fairLevel(usages, total*uncontested/constraint.projected)
	own := usages[request.Program.Tenant]
	decision.TenantPrograms = own.programs
	decision.FairShare = level * own.weight
}

// tenantUsages returns the usage of the tenants with the request's priority, including the
// request's own tenant.
func (state *State) tenantUsages(request Request) map[string]tenantUsage {
	defaultWeight := state.defaultWeight()
	weight := func(tenant string) float64 {
		if own := state.TenantWeights[tenant]; own > 0 {
			return own
		}
		return defaultWeight
	}
	usage := map[string]tenantUsage{request.Program.Tenant: {weight: weight(request.Program.Tenant)}}
	for key, programs := range state.Total.Tenants {
		if key.Priority == request.Priority && programs > 0 {
			usage[key.Tenant] = tenantUsage{programs: float64(programs), weight: weight(key.Tenant)}
		}
	}
	return usage
}

// defaultWeight returns the weight of a tenant without a configured one.
func (state *State) defaultWeight() float64 {
	sum := 0.0
	for _, weight := range state.TenantWeights {
		sum += weight
	}
	if sum <= 0 {
		return 1
	}
	return sum / float64(len(state.TenantWeights))
}

// fairLevel returns the max-min fair number of programs per unit of weight for which all
// tenants together fit into the capacity; tenants below it keep what they use.
func fairLevel(usages map[string]tenantUsage, capacity float64) float64 {
	sorted := make([]tenantUsage, 0, len(usages))
	weight := 0.0
	for _, usage := range usages {
		sorted = append(sorted, usage)
		weight += usage.weight
	}
	slices.SortFunc(sorted, func(left, right tenantUsage) int {
		switch {
		case left.perWeight() < right.perWeight():
			return -1
		case left.perWeight() > right.perWeight():
			return 1
		}
		return 0
	})
	for _, usage := range sorted {
		if usage.perWeight()*weight > capacity {
			return capacity / weight
		}
		capacity -= usage.programs
		weight -= usage.weight
	}
	return math.Inf(1)
}

// overShare reports whether the tenant has reached its fair share. A tenant without a running
// program never has.
func (decision *Decision) overShare() bool {
	return decision.FairShare > 0 && decision.TenantPrograms >= max(decision.FairShare, 1)
}

// farUnderShare reports whether the tenant uses much less than its fair share.
func (decision *Decision) farUnderShare() bool {
	return decision.FairShare > 0 && decision.TenantPrograms+1 <= farUnderFraction*decision.FairShare
}
