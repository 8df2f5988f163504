package quota

import (
	"sync"
	"time"
)

// settledShare is the least share of a limit with which a keeper refuses. With less it
// is likely that nodes are about to change keepers, and that another one could tell.
const settledShare = 0.5

// Coordinator keeps the limits of groups of tenants. It is safe for concurrent use.
type Coordinator struct {
	incarnation string
	started     time.Time
	options     Options

	mutex  sync.Mutex
	groups map[int]*group
}

// Options is how a keeper counts.
type Options struct {
	Tolerance Tolerance
	// ProgramsFirst keeps a part of each limit for programs under way; otherwise each
	// request counts as it comes.
	ProgramsFirst bool
}

// NewCoordinator returns a keeper that has been lent nothing. Its incarnation tells it from
// every other process.
func NewCoordinator(incarnation string, now time.Time, options Options) *Coordinator {
	return &Coordinator{incarnation: incarnation, started: now, options: options, groups: map[int]*group{}}
}

// Decide takes in what a node lends and answers for its request. now must come from a
// clock that does not jump.
func (keeper *Coordinator) Decide(ask Request, now time.Time) Response {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	asked := keeper.group(ask.Group, now)
	asked.advance(now)
	keeper.borrow(asked, ask, now)
	answer := Response{Clock: CoordinatorTime{Incarnation: keeper.incarnation, Elapsed: now.Sub(keeper.started)}}
	if ask.Tenant == "" {
		return answer
	}
	lent := asked.credit(now)
	answer.Share = lent.share
	if lent.share == 0 {
		answer.Verdict = Undetermined
		return answer
	}
	held := asked.bucket(ask, now)
	answer.Verdict, answer.Delay, answer.RetryAfter = held.decide(ask, lent, keeper.options.ProgramsFirst)
	if answer.Verdict == Refused {
		answer.Available = held.room(lent)
		if lent.share < settledShare {
			answer.Verdict = Undetermined
		}
	}
	return answer
}

// borrow notes the asker's share. It counts for LentFor from the moment that the asker
// names, and not from the ask's arrival, which may come at any time after.
func (keeper *Coordinator) borrow(asked *group, ask Request, now time.Time) {
	if ask.LeaseStart.Incarnation != keeper.incarnation {
		return
	}
	until := keeper.started.Add(ask.LeaseStart.Elapsed + LeaseDuration)
	if !until.After(now) {
		return
	}
	held := asked.loans[ask.Node]
	if until.After(held.until) {
		held.until = until
	}
	held.since = now.Add(-ask.LeasedFor)
	held.nodes = max(ask.Nodes, 1)
	asked.loans[ask.Node] = held
}

func (keeper *Coordinator) group(number int, now time.Time) *group {
	found := keeper.groups[number]
	if found == nil {
		found = &group{tolerance: keeper.options.Tolerance, advanced: now, loans: map[string]loan{}, buckets: map[string]*bucket{}}
		keeper.groups[number] = found
	}
	return found
}

// group is a group of tenants whose limits are lent together.
type group struct {
	tolerance Tolerance
	loans     map[string]loan
	// lent sums the share over time, seconds: a limit of one request a second has given
	// as many requests. It stands at the time of advanced.
	lent     float64
	advanced time.Time
	// marks hold the sum at some moments of the last window, the oldest first.
	marks   []mark
	buckets map[string]*bucket
}

// mark is a moment, and what the sum of what was lent comes to then.
type mark struct {
	at   time.Time
	lent float64
}

// markPause separates two marks.
const markPause = 50 * time.Millisecond

// loan is the share of one node.
type loan struct {
	until time.Time
	// since is from when on the node has lent to no other keeper.
	since time.Time
	// nodes is how many nodes the lender knows of.
	nodes int
}

// nodes is the most that any lender knows of: one that has just started knows few, and
// would lend too much.
func (group *group) nodes() int {
	most := len(group.loans)
	for _, held := range group.loans {
		most = max(most, held.nodes)
	}
	return most
}

// credit is what is lent at the time of advanced.
func (group *group) credit(now time.Time) credit {
	if len(group.loans) == 0 {
		return credit{now: now, sum: group.lent}
	}
	window := group.tolerance.window()
	settled := 0
	for _, held := range group.loans {
		if now.Sub(held.since) >= window {
			settled++
		}
	}
	nodes := float64(group.nodes())
	return credit{
		now:      now,
		sum:      group.lent,
		inWindow: group.lent - group.lentBefore(now.Add(-window)),
		share:    float64(len(group.loans)) / nodes,
		settled:  float64(settled) / nodes,
	}
}

// lentBefore returns the sum at a moment, or a little after it, and forgets what is older.
func (group *group) lentBefore(moment time.Time) float64 {
	first := 0
	for first < len(group.marks)-1 && group.marks[first].at.Before(moment) {
		first++
	}
	group.marks = group.marks[first:]
	return group.marks[0].lent
}

// advance brings the sum up to now, and marks it now and then.
func (group *group) advance(now time.Time) {
	group.add(now)
	if len(group.marks) == 0 || now.Sub(group.marks[len(group.marks)-1].at) >= markPause {
		group.marks = append(group.marks, mark{at: now, lent: group.lent})
	}
}

// add adds what was lent up to now, and drops the loans that are over.
func (group *group) add(now time.Time) {
	elapsed := now.Sub(group.advanced)
	if elapsed <= 0 {
		return
	}
	nodes := group.nodes()
	sum := time.Duration(0)
	for node, held := range group.loans {
		sum += min(held.until.Sub(group.advanced), elapsed)
		if !held.until.After(now) {
			delete(group.loans, node)
		}
	}
	if nodes > 0 {
		group.lent += min(sum.Seconds()/float64(nodes), elapsed.Seconds())
	}
	group.advanced = now
}

// bucket returns the tenant's bucket, with the newest limit seen.
func (group *group) bucket(ask Request, now time.Time) *bucket {
	found := group.buckets[ask.Tenant]
	if found == nil {
		found = newBucket(now)
		group.buckets[ask.Tenant] = found
	}
	if ask.Configuration >= found.configuration {
		found.configuration = ask.Configuration
		found.envelope = group.tolerance.envelope(ask.Limit)
	}
	return found
}
