package admission

import (
	"math"
	"slices"
)

const (
	// sharedReserve of the capacity below the limit is where shares begin to matter: what
	// goes beyond it is taken from those that have most, the more the nearer the limit
	// is, so that the others are not refused for their sake.
	sharedReserve = 0.05
	// underShareRoom of the capacity is what tenants find beyond the limit that have less
	// than farUnder of their share: there are few of their programs.
	underShareRoom = 0.1
	farUnder       = 0.5
)

// holding is what a tenant has under way.
type holding struct {
	programs float64
	weight   float64
}

func (held holding) perWeight() float64 { return held.programs / held.weight }

// share notes the share of the order's tenant in the decision, where room is scarce and
// several tenants of its rank want it.
func (constraint *constraint) share(order Request, decision *Decision) {
	// What a route leaves to cheaper ones is not a matter of tenants.
	uncontested := constraint.limit + constraint.dear - sharedReserve*constraint.capacity
	if constraint.projected <= uncontested {
		return
	}
	holdings := constraint.state.holdings(order)
	if len(holdings) < 2 {
		return
	}
	total := 0.0
	for _, held := range holdings {
		total += held.programs
	}
	level := fairLevel(holdings, total*uncontested/constraint.projected)
	own := holdings[order.Program.Tenant]
	decision.TenantPrograms = own.programs
	decision.FairShare = level * own.weight
}

// holdings lists what the tenants of the order's rank have under way, the order's tenant
// included.
func (state *State) holdings(order Request) map[string]holding {
	usual := state.usualWeight()
	weight := func(tenant string) float64 {
		if own := state.TenantWeights[tenant]; own > 0 {
			return own
		}
		return usual
	}
	held := map[string]holding{order.Program.Tenant: {weight: weight(order.Program.Tenant)}}
	for holder, programs := range state.Total.Tenants {
		if holder.Priority == order.Priority && programs > 0 {
			held[holder.Tenant] = holding{programs: float64(programs), weight: weight(holder.Tenant)}
		}
	}
	return held
}

// usualWeight is the size of a tenant of which the configuration tells none.
func (state *State) usualWeight() float64 {
	sum := 0.0
	for _, weight := range state.TenantWeights {
		sum += weight
	}
	if sum <= 0 {
		return 1
	}
	return sum / float64(len(state.TenantWeights))
}

// fairLevel is the most programs for each unit of weight that a tenant may have so that
// all together have no more than fit (max-min fairness): who has less keeps all of it.
func fairLevel(holdings map[string]holding, fit float64) float64 {
	sorted := make([]holding, 0, len(holdings))
	weight := 0.0
	for _, held := range holdings {
		sorted = append(sorted, held)
		weight += held.weight
	}
	slices.SortFunc(sorted, func(left, right holding) int {
		switch {
		case left.perWeight() < right.perWeight():
			return -1
		case left.perWeight() > right.perWeight():
			return 1
		}
		return 0
	})
	for _, held := range sorted {
		if held.perWeight()*weight > fit {
			return fit / weight
		}
		fit -= held.programs
		weight -= held.weight
	}
	return math.Inf(1)
}

// overShare tells whether the tenant has its share already. One without a program under
// way never has.
func (decision *Decision) overShare() bool {
	return decision.FairShare > 0 && decision.TenantPrograms >= max(decision.FairShare, 1)
}

// farUnderShare tells whether the tenant has much less than its share.
func (decision *Decision) farUnderShare() bool {
	return decision.FairShare > 0 && decision.TenantPrograms+1 <= farUnder*decision.FairShare
}
