package keeper

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// tierKey identifies a tier of one tenant.
type tierKey struct{ tenant, tier string }

// tierState counts a tier's calls. It is removed when there are none.
type tierState struct {
	key     tierKey
	weight  uint32
	band    uint32
	waiting int
	running int
}

// tierTable holds the tiers with calls and the grant rate of each queue band.
type tierTable struct {
	byKey map[tierKey]*tierState
	// bands is sorted by number, highest first. There is one for each tier
	// weight.
	bands []*bandRate
}

func newTierTable() tierTable {
	return tierTable{byKey: make(map[tierKey]*tierState)}
}

// ensure returns the tier of a request, adding it if needed.
func (table *tierTable) ensure(request *Request, band uint32) *tierState {
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

// removeIfIdle removes a tier without calls.
func (table *tierTable) removeIfIdle(tier *tierState) {
	if tier.waiting == 0 && tier.running == 0 {
		delete(table.byKey, tier.key)
	}
}

// sorted returns the tiers by descending weight, then name.
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

// rateWindow is the time constant of the grant rates.
const rateWindow = 10 * time.Second

// bandRate is an exponentially decayed count of a band's grants.
type bandRate struct {
	number    uint32
	count     float64
	countedAt time.Duration
	// idleAt is when the band was last seen without a waiting call.
	idleAt time.Duration
}

// decayed returns the count decayed to now.
func (rate *bandRate) decayed(now time.Duration) float64 {
	age := (now - rate.countedAt).Seconds()
	return rate.count * math.Exp(-age/rateWindow.Seconds())
}

// band returns a band's rate, adding it if needed.
func (table *tierTable) band(number uint32, now time.Duration) *bandRate {
	index, found := slices.BinarySearchFunc(table.bands, number, func(rate *bandRate, number uint32) int {
		return cmp.Compare(number, rate.number)
	})
	if !found {
		table.bands = slices.Insert(table.bands, index, &bandRate{number: number, idleAt: now})
	}
	return table.bands[index]
}

// backlogRate returns the band's grants per second if calls of it have waited
// without interruption for at least rateWindow, and 0 otherwise. Without a
// backlog the rate reflects demand rather than capacity.
func (table *tierTable) backlogRate(number uint32, now time.Duration) float64 {
	rate := table.band(number, now)
	if now-rate.idleAt < rateWindow {
		return 0
	}
	return max(rate.decayed(now)/rateWindow.Seconds(), minGrantRate)
}

// countGrant adds a grant to a band's rate.
func (table *tierTable) countGrant(band uint32, now time.Duration) {
	rate := table.band(band, now)
	rate.count = rate.decayed(now) + 1
	rate.countedAt = now
}

// rateAbove returns the grants per second of all bands above a band.
func (table *tierTable) rateAbove(band uint32, now time.Duration) float64 {
	total := 0.0
	for _, rate := range table.bands {
		if rate.number <= band {
			break
		}
		total += rate.decayed(now)
	}
	return total / rateWindow.Seconds()
}
