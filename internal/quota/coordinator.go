package quota

import (
	"sync"
	"time"
)

// minDecisiveShare is the share of a limit below which a coordinator does not refuse, since
// another coordinator may hold the larger part and be able to decide.
const minDecisiveShare = 0.5

// Coordinator applies the limits of groups of tenants. It is safe for concurrent use.
type Coordinator struct {
	incarnation string
	started     time.Time
	options     Options

	mutex  sync.Mutex
	groups map[int]*group
}

// Options configures a coordinator.
type Options struct {
	Tolerance Tolerance
	// PreferRunningPrograms keeps a part of each limit for running programs; otherwise all requests are
	// treated alike.
	PreferRunningPrograms bool
}

// NewCoordinator returns a coordinator without leases. Its incarnation distinguishes it from
// all other processes.
func NewCoordinator(incarnation string, now time.Time, options Options) *Coordinator {
	return &Coordinator{incarnation: incarnation, started: now, options: options, groups: map[int]*group{}}
}

// Decide records the lease of a request and decides on the request. now must come from a
// monotonic clock.
func (coordinator *Coordinator) Decide(request Request, now time.Time) Response {
	coordinator.mutex.Lock()
	defer coordinator.mutex.Unlock()
	group := coordinator.group(request.Group, now)
	group.advance(now)
	coordinator.recordLease(group, request, now)
	response := Response{Clock: CoordinatorTime{Incarnation: coordinator.incarnation, Elapsed: now.Sub(coordinator.started)}}
	if request.Tenant == "" {
		return response
	}
	leased := group.leaseTotals(now)
	response.Share = leased.share
	if leased.share == 0 {
		response.Verdict = Undetermined
		return response
	}
	bucket := group.bucket(request, now)
	response.Verdict, response.Delay, response.RetryAfter = bucket.decide(request, leased, coordinator.options.PreferRunningPrograms)
	if response.Verdict == Refused {
		response.Available = bucket.available(leased)
		if leased.share < minDecisiveShare {
			response.Verdict = Undetermined
		}
	}
	return response
}

// recordLease records the lease of the node's share. It starts at the time that the node names
// rather than at the arrival of the request, which may be delayed.
func (coordinator *Coordinator) recordLease(group *group, request Request, now time.Time) {
	if request.LeaseStart.Incarnation != coordinator.incarnation {
		return
	}
	until := coordinator.started.Add(request.LeaseStart.Elapsed + LeaseDuration)
	if !until.After(now) {
		return
	}
	lease := group.leases[request.Node]
	if until.After(lease.expiresAt) {
		lease.expiresAt = until
	}
	lease.exclusiveSince = now.Add(-request.LeasedFor)
	lease.nodes = max(request.Nodes, 1)
	group.leases[request.Node] = lease
}

func (coordinator *Coordinator) group(number int, now time.Time) *group {
	existing := coordinator.groups[number]
	if existing == nil {
		existing = &group{tolerance: coordinator.options.Tolerance, updatedAt: now, leases: map[string]lease{}, buckets: map[string]*bucket{}}
		coordinator.groups[number] = existing
	}
	return existing
}

// group is a group of tenants whose limits are leased together.
type group struct {
	tolerance Tolerance
	leases    map[string]lease
	// leased is the leased share integrated over time up to updatedAt, in seconds: the number
	// of requests that a limit of one per second has given.
	leased    float64
	updatedAt time.Time
	// samples are samples of leased in the last window, the oldest first.
	samples []leaseSample
	buckets map[string]*bucket
}

// leaseSample is the value of group.leased at a time; for a delayed grant, the value expected
// when it runs.
type leaseSample struct {
	at     time.Time
	leased float64
}

// sampleInterval is the time between two samples of group.leased.
const sampleInterval = 50 * time.Millisecond

// lease is the share of one node.
type lease struct {
	expiresAt time.Time
	// exclusiveSince is the time since which the node has leased to no other coordinator.
	exclusiveSince time.Time
	// nodes is the number of nodes that the lessor knows of.
	nodes int
}

// nodeCount returns the highest number of nodes that a lessor knows of. A lessor that has just
// started knows few, and would lease too large a share.
func (group *group) nodeCount() int {
	count := len(group.leases)
	for _, lease := range group.leases {
		count = max(count, lease.nodes)
	}
	return count
}

// leaseTotals returns the totals of the leases at updatedAt.
func (group *group) leaseTotals(now time.Time) leaseTotals {
	if len(group.leases) == 0 {
		return leaseTotals{now: now, cumulative: group.leased}
	}
	window := group.tolerance.window()
	settled := 0
	for _, lease := range group.leases {
		if now.Sub(lease.exclusiveSince) >= window {
			settled++
		}
	}
	nodes := float64(group.nodeCount())
	return leaseTotals{
		now:        now,
		cumulative: group.leased,
		inWindow:   group.leased - group.leasedAt(now.Add(-window)),
		share:      float64(len(group.leases)) / nodes,
		settled:    float64(settled) / nodes,
	}
}

// leasedAt returns the value of leased at the first sample not before a time, or at the latest
// one if there is none, and drops older samples.
func (group *group) leasedAt(at time.Time) float64 {
	first := 0
	for first < len(group.samples)-1 && group.samples[first].at.Before(at) {
		first++
	}
	group.samples = group.samples[first:]
	return group.samples[0].leased
}

// advance updates leased to now, and samples it every sampleInterval.
func (group *group) advance(now time.Time) {
	group.accrue(now)
	if len(group.samples) == 0 || now.Sub(group.samples[len(group.samples)-1].at) >= sampleInterval {
		group.samples = append(group.samples, leaseSample{at: now, leased: group.leased})
	}
}

// accrue adds what was leased up to now, and drops expired leases.
func (group *group) accrue(now time.Time) {
	elapsed := now.Sub(group.updatedAt)
	if elapsed <= 0 {
		return
	}
	nodes := group.nodeCount()
	sum := time.Duration(0)
	for node, lease := range group.leases {
		sum += min(lease.expiresAt.Sub(group.updatedAt), elapsed)
		if !lease.expiresAt.After(now) {
			delete(group.leases, node)
		}
	}
	if nodes > 0 {
		group.leased += min(sum.Seconds()/float64(nodes), elapsed.Seconds())
	}
	group.updatedAt = now
}

// bucket returns the tenant's bucket, with the limit of the latest configuration seen.
func (group *group) bucket(request Request, now time.Time) *bucket {
	existing := group.buckets[request.Tenant]
	if existing == nil {
		existing = newBucket(now)
		group.buckets[request.Tenant] = existing
	}
	if request.ConfigurationVersion >= existing.configurationVersion {
		existing.configurationVersion = request.ConfigurationVersion
		existing.envelope = group.tolerance.envelope(request.Limit)
	}
	return existing
}
