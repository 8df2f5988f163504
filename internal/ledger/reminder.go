package ledger

import "time"

// Reply tells a shard the totals that a tier's account knows of it.
type Reply struct {
	Tier          Tier
	Shard         uint32
	GrantedTotal  Micros
	ReturnedTotal Micros
}

// Reminder tells shards, in turn, what they were granted, without being asked.
// A grant whose answer was lost would otherwise stay out for as long as the
// asking shard, perhaps under a new leader that does not know of it, needs
// nothing of the tier.
type Reminder struct {
	interval time.Duration
	batch    int
	sentAt   time.Duration
	started  bool
	// pending are the replies of the round under way that are not yet sent.
	pending []holding
}

// holding names one shard's part of a tier's account.
type holding struct {
	tier  Tier
	shard uint32
}

// NewReminder returns a reminder that sends up to batch replies each interval.
func NewReminder(interval time.Duration, batch int) *Reminder {
	return &Reminder{interval: interval, batch: batch}
}

// Tick returns the replies to send now.
func (reminder *Reminder) Tick(now time.Duration, book *Book) []Reply {
	if reminder.started && now-reminder.sentAt < reminder.interval {
		return nil
	}
	reminder.started = true
	reminder.sentAt = now
	if len(reminder.pending) == 0 {
		reminder.pending = book.holdings()
	}
	count := min(reminder.batch, len(reminder.pending))
	var replies []Reply
	for _, held := range reminder.pending[:count] {
		granted, returned := book.Account(held.tier, held.shard)
		replies = append(replies, Reply{Tier: held.tier, Shard: held.shard, GrantedTotal: granted, ReturnedTotal: returned})
	}
	reminder.pending = reminder.pending[count:]
	return replies
}

// holdings returns all shards that may hold escrow, by tier.
func (book *Book) holdings() []holding {
	var holdings []holding
	for _, tier := range sortedTiers(book.accounts) {
		for _, shard := range book.accounts[tier].Holders() {
			holdings = append(holdings, holding{tier, shard})
		}
	}
	return holdings
}
