package keeper

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// tierKey names a tier.
type tierKey struct{ tenant, tier string }

// tierState counts a tier's calls. It is forgotten when it has none.
type tierState struct {
	key     tierKey
	weight  uint32
	band    uint32
	waiting int
	running int
}

// tierTable holds the tiers with calls, and the grant rate of each queue band.
type tierTable struct {
	byKey map[tierKey]*tierState
	// bands are sorted by number, the highest first. They are as few as the
	// distinct weights.
	bands []*bandRate
}

func newTierTable() tierTable {
	return tierTable{byKey: make(map[tierKey]*tierState)}
}

// of returns the tier of a request, made if needed.
func (table *tierTable) of(request *Request, band uint32) *tierState {
	key := tierKey{request.Tenant, request.Tier}
	tier := table.byKey[key]
	if tier == nil {
		tier = &tierState{key: key}
		table.byKey[key] = tier
	}
	tier.weight = request.Weight
	tier.band = band
	return tier
}

// forgetIdle drops a tier without calls.
func (table *tierTable) forgetIdle(tier *tierState) {
	if tier.waiting == 0 && tier.running == 0 {
		delete(table.byKey, tier.key)
	}
}

// sorted returns the tiers, the heaviest first, then by name.
func (table *tierTable) sorted() []*tierState {
	tiers := make([]*tierState, 0, len(table.byKey))
	for _, tier := range table.byKey {
		tiers = append(tiers, tier)
	}
	slices.SortFunc(tiers, func(a, b *tierState) int {
		return cmp.Or(
			cmp.Compare(b.weight, a.weight),
			cmp.Compare(a.key.tenant, b.key.tenant),
			cmp.Compare(a.key.tier, b.key.tier),
		)
	})
	return tiers
}

// rateMemory is the time over which grant rates are averaged.
const rateMemory = 10 * time.Second

// bandRate is a decayed count of a band's grants.
type bandRate struct {
	number  uint32
	count   float64
	counted time.Duration
	// idleAt is when the band was last seen without a waiting call.
	idleAt time.Duration
}

// decayed returns the count as of now.
func (rate *bandRate) decayed(now time.Duration) float64 {
	age := (now - rate.counted).Seconds()
	return rate.count * math.Exp(-age/rateMemory.Seconds())
}

// band returns a band's rate, made if needed.
func (table *tierTable) band(number uint32, now time.Duration) *bandRate {
	index, found := slices.BinarySearchFunc(table.bands, number, func(rate *bandRate, number uint32) int {
		return cmp.Compare(number, rate.number)
	})
	if !found {
		table.bands = slices.Insert(table.bands, index, &bandRate{number: number, idleAt: now})
	}
	return table.bands[index]
}

// backlogRate returns the grants a second that a band gets, once calls of it
// have waited without a break for as long as rates are averaged; 0 before. Less
// than that says nothing: a band may get few grants because it asks for few.
func (table *tierTable) backlogRate(number uint32, now time.Duration) float64 {
	rate := table.band(number, now)
	if now-rate.idleAt < rateMemory {
		return 0
	}
	return max(rate.decayed(now)/rateMemory.Seconds(), leastRate)
}

// countGrant adds one grant to a band's rate.
func (table *tierTable) countGrant(band uint32, now time.Duration) {
	rate := table.band(band, now)
	rate.count = rate.decayed(now) + 1
	rate.counted = now
}

// rateAbove returns the grants a second that go to bands above a number.
func (table *tierTable) rateAbove(band uint32, now time.Duration) float64 {
	total := 0.0
	for _, rate := range table.bands {
		if rate.number <= band {
			break
		}
		total += rate.decayed(now)
	}
	return total / rateMemory.Seconds()
}
