package quota_test

import (
	"fmt"
	"time"

	"github.com/magpielug/magpielug/internal/quota"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var start = time.Unix(1000, 0)

// leaseInterval is how often the lessors of a test renew their leases.
const leaseInterval = 100 * time.Millisecond

// cluster is one coordinator with nodes that lease to it.
type cluster struct {
	coordinator *quota.Coordinator
	now         time.Time
	nodes       int
	limit       tenant.Limit
	// exclusiveSince is when the nodes started to lease to it.
	exclusiveSince time.Time
}

func newCluster(nodes int, limit tenant.Limit, options quota.Options) *cluster {
	return &cluster{coordinator: quota.NewCoordinator("k", start, options), now: start, nodes: nodes, limit: limit, exclusiveSince: start}
}

// advance advances the time while the first nodes renew their leases.
func (cluster *cluster) advance(span time.Duration, lessors int) {
	for end := cluster.now.Add(span); cluster.now.Before(end); cluster.now = cluster.now.Add(leaseInterval) {
		cluster.renewLeases(lessors)
	}
	cluster.renewLeases(lessors)
}

func (cluster *cluster) renewLeases(lessors int) {
	for number := range lessors {
		request := quota.Request{Node: fmt.Sprint(number), Nodes: cluster.nodes}
		request.LeaseStart = cluster.coordinator.Decide(request, cluster.now).Clock
		request.LeasedFor = cluster.now.Sub(cluster.exclusiveSince)
		cluster.coordinator.Decide(request, cluster.now)
	}
}

// request requests a grant for a program.
func (cluster *cluster) request(program string, maxWait time.Duration) quota.Response {
	return cluster.coordinator.Decide(quota.Request{Node: "0", Nodes: cluster.nodes, LeasedFor: cluster.now.Sub(cluster.exclusiveSince), Tenant: "t", Limit: cluster.limit,
		Program: program, MaxWait: maxWait}, cluster.now)
}

// grantAll sends requests until one is not granted, and returns the number of grants.
func (cluster *cluster) grantAll() int {
	count := 0
	for cluster.request("", 0).Verdict == quota.Granted {
		count++
	}
	return count
}

var _ = Describe("Coordinator", func() {
	const window = 5 * time.Second
	ten := tenant.Limit{PerSecond: 10, Burst: 20}

	It("grants the limit in a window, and no more in any window", func() {
		cluster := newCluster(4, ten, quota.Options{})
		cluster.advance(window, 4)
		first := cluster.grantAll()
		Expect(first).To(Equal(20), "70 in a window, less 9 per second for a successor during 5.5 s")
		total := first
		for range 4 {
			cluster.advance(time.Second, 4)
			total += cluster.grantAll()
		}
		Expect(total).To(BeNumerically("~", 20+4*9, 2))
		for range 20 {
			cluster.advance(window, 4)
			Expect(cluster.grantAll()).To(BeNumerically("<=", 70))
		}
	})

	It("grants the configured excess", func() {
		tolerance := quota.Tolerance{Window: window, ExcessFraction: 0.1, ExcessRequests: 20}
		cluster := newCluster(1, ten, quota.Options{Tolerance: tolerance})
		cluster.advance(window, 1)
		Expect(cluster.grantAll()).To(Equal(20 + 7 + 20))
	})

	It("starts empty and at a reduced rate until it was leased to for a window", func() {
		cluster := newCluster(2, ten, quota.Options{})
		Expect(cluster.request("", 0).Verdict).To(Equal(quota.Undetermined))
		cluster.renewLeases(2)
		Expect(cluster.grantAll()).To(BeZero())
		cluster.advance(2*time.Second, 2)
		Expect(cluster.grantAll()).To(BeNumerically("~", 18, 1), "all that was leased, up to the depth")
		total := 0
		for range 20 {
			cluster.advance(leaseInterval, 2)
			total += cluster.grantAll()
		}
		Expect(total).To(BeNumerically("~", 18, 3), "9 per second")
	})

	It("grants the share of the nodes that lease to it", func() {
		cluster := newCluster(4, ten, quota.Options{})
		cluster.advance(window, 2)
		Expect(cluster.grantAll()).To(Equal(10))
	})

	It("loses its share when nodes lease to another coordinator meanwhile", func() {
		cluster := newCluster(2, ten, quota.Options{})
		cluster.advance(4*window, 2)
		cluster.now = cluster.now.Add(window)
		Expect(cluster.request("", 0).Verdict).To(Equal(quota.Undetermined))
		cluster.exclusiveSince = cluster.now
		cluster.renewLeases(2)
		Expect(cluster.grantAll()).To(BeNumerically("<=", 4), "what the last leases gave in half a second of the window")
	})

	It("ignores leases with the clock of another process, and expired ones", func() {
		cluster := newCluster(1, ten, quota.Options{})
		cluster.now = start.Add(10 * time.Second)
		for _, clock := range []quota.CoordinatorTime{{}, {Incarnation: "other", Elapsed: 10 * time.Second}, {Incarnation: "k", Elapsed: 9 * time.Second}} {
			cluster.coordinator.Decide(quota.Request{Node: "0", Nodes: 1, LeaseStart: clock}, cluster.now)
			Expect(cluster.request("", 0).Verdict).To(Equal(quota.Undetermined))
		}
	})

	It("uses the highest number of nodes that a lessor knows", func() {
		cluster := newCluster(2, ten, quota.Options{})
		cluster.advance(window, 2)
		late := quota.Request{Node: "late", Nodes: 10}
		late.LeaseStart = cluster.coordinator.Decide(late, cluster.now).Clock
		cluster.coordinator.Decide(late, cluster.now)
		Expect(cluster.grantAll()).To(Equal(6), "three of ten nodes")
	})

	It("delays a request that fits soon, and returns a retry time otherwise", func() {
		cluster := newCluster(1, tenant.Limit{PerSecond: 10}, quota.Options{})
		cluster.advance(window, 1)
		Expect(cluster.grantAll()).To(BeNumerically(">", 0))
		response := cluster.request("", time.Second)
		Expect(response.Verdict).To(Equal(quota.Granted))
		Expect(response.Delay).To(BeNumerically(">", 0))
		refused := cluster.request("", 0)
		Expect(refused.Verdict).To(Equal(quota.Refused))
		Expect(refused.RetryAfter).To(BeNumerically(">", response.Delay))
	})

	It("applies a lower limit of a newer configuration, and ignores older ones", func() {
		cluster := newCluster(1, tenant.Limit{PerSecond: 100, Burst: 100}, quota.Options{})
		cluster.advance(window, 1)
		lower := quota.Request{Node: "0", Nodes: 1, Tenant: "t", Limit: tenant.Limit{PerSecond: 1, Burst: 2}, ConfigurationVersion: 2}
		Expect(cluster.coordinator.Decide(lower, cluster.now).Verdict).To(Equal(quota.Granted))
		Expect(cluster.grantAll()).To(BeNumerically("<=", 3))
	})

	It("starts fewer programs while running ones are limited, with different retry times", func() {
		cluster := newCluster(1, tenant.Limit{PerSecond: 4, Burst: 10}, quota.Options{PreferRunningPrograms: true})
		cluster.advance(window, 1)
		started := 0
		for cluster.request(fmt.Sprint("p", started), 0).Verdict == quota.Granted {
			started++
		}
		Expect(started).To(BeNumerically(">", 8))
		Expect(cluster.request("p1", 0).Verdict).To(Equal(quota.Refused))
		cluster.advance(500*time.Millisecond, 1)
		first := cluster.request("q1", 0)
		second := cluster.request("q2", 0)
		Expect(first.Verdict).To(Equal(quota.Refused), "a quarter is reserved for running programs")
		Expect(second.RetryAfter).To(BeNumerically(">", first.RetryAfter))
		Expect(cluster.request("p1", 0).Verdict).To(Equal(quota.Granted))
		cluster.advance(3*time.Second, 1)
		Expect(cluster.request("q1", 0).Verdict).To(Equal(quota.Granted))
	})

	It("starts programs even if the limit is tiny", func() {
		cluster := newCluster(1, tenant.Limit{PerSecond: 0.5}, quota.Options{PreferRunningPrograms: true})
		cluster.advance(window, 1)
		Expect(cluster.request("p1", time.Second).Verdict).To(Equal(quota.Granted))
	})
})
