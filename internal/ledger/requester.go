package ledger

import (
	"slices"
	"time"
)

// Demand is what a shard's leader knows of a tier: it is not replicated.
type Demand struct {
	// Budget is the tier's budget in the configuration in force.
	Budget Micros
	// Need is the sum of the worst cases of the calls that wait for escrow.
	Need Micros
	// UsualWorstCase is the worst case of a usual call.
	UsualWorstCase Micros
}

// Request asks a tier's account for escrow and tells it what was given back. It
// is repeated until it is answered.
type Request struct {
	Tier          Tier
	WantedTotal   Micros
	ReturnedTotal Micros
}

// Return gives escrow back; the leader proposes it to its group.
type Return struct {
	Tier          Tier
	ReturnedTotal Micros
}

// RequesterConfig holds a requester's intervals.
type RequesterConfig struct {
	// Retry is how long a request waits for its answer.
	Retry time.Duration
	// Idle is how long a tier goes without calls before its escrow is returned.
	Idle time.Duration
}

// Requester decides when the leader of a shard asks accounts for escrow and when
// it gives some back. A new leader starts with a new one: what a request says
// follows from the replicated escrow alone.
type Requester struct {
	config RequesterConfig
	tiers  map[Tier]*tierRequests
}

type tierRequests struct {
	// used is spent plus reserved as last seen, and usedAt when it changed, or
	// when the tier was first seen.
	used   Micros
	usedAt time.Duration
	// active is true once calls were seen: escrow is topped up in advance only
	// for a tier in use.
	active bool
	// asked is the last request and askedAt when it was sent.
	asked   Request
	askedAt time.Duration
	// told is the returned total that the account has confirmed.
	told Micros
}

// NewRequester returns a requester for a shard's new leader.
func NewRequester(config RequesterConfig) *Requester {
	return &Requester{config: config, tiers: make(map[Tier]*tierRequests)}
}

// Tick returns the requests to send and the returns to propose now.
func (requester *Requester) Tick(now time.Duration, book *Book, demands map[Tier]Demand) ([]Request, []Return) {
	var requests []Request
	var returns []Return
	tiers := append(book.EscrowTiers(), sortedTiers(demands)...)
	slices.SortFunc(tiers, compareTiers)
	for _, tier := range slices.Compact(tiers) {
		copied := book.Escrow(tier)
		escrow := &copied
		state := requester.observe(now, tier, escrow)
		if request, due := requester.request(now, tier, escrow, state, demands[tier]); due {
			requests = append(requests, request)
		}
		if total, spare := IdleReturn(escrow, 0); spare && requester.idle(now, escrow, state, demands[tier]) {
			returns = append(returns, Return{Tier: tier, ReturnedTotal: total})
		}
	}
	return requests, returns
}

// Answered takes the account's answer in: the totals it knows. It reports
// whether the account granted less than was asked for, so that calls which the
// escrow still does not cover are to be refused.
func (requester *Requester) Answered(tier Tier, grantedTotal, returnedTotal Micros) bool {
	state := requester.tiers[tier]
	if state == nil {
		return false
	}
	state.told = max(state.told, returnedTotal)
	return grantedTotal < state.asked.WantedTotal
}

// observe notes whether calls of the tier were reserved or settled since the
// last tick.
func (requester *Requester) observe(now time.Duration, tier Tier, escrow *Escrow) *tierRequests {
	state := requester.tiers[tier]
	if state == nil {
		state = &tierRequests{usedAt: now, used: escrow.Spent() + escrow.Reserved()}
		requester.tiers[tier] = state
	}
	used := escrow.Spent() + escrow.Reserved()
	if used != state.used {
		state.used = used
		state.usedAt = now
		state.active = true
	}
	return state
}

// request returns the request that is due, if any: a new one at once, the same
// again after the retry interval, until the account has granted it and knows
// what was returned.
func (requester *Requester) request(now time.Duration, tier Tier, escrow *Escrow, state *tierRequests, demand Demand) (Request, bool) {
	policy := NewTopUpPolicy(demand.Budget, demand.UsualWorstCase)
	if demand.Need == 0 && (!state.active || requester.idle(now, escrow, state, demand)) {
		policy = TopUpPolicy{}
	}
	wanted, ask := policy.Wanted(escrow, demand.Need)
	request := Request{Tier: tier, WantedTotal: wanted, ReturnedTotal: escrow.Returned()}
	if !ask && state.told == escrow.Returned() {
		return Request{}, false
	}
	if request == state.asked && now-state.askedAt < requester.config.Retry {
		return Request{}, false
	}
	state.asked = request
	state.askedAt = now
	return request, true
}

// idle tells whether the tier has gone without calls long enough.
func (requester *Requester) idle(now time.Duration, escrow *Escrow, state *tierRequests, demand Demand) bool {
	return demand.Need == 0 && escrow.Reserved() == 0 && now-state.usedAt >= requester.config.Idle
}
