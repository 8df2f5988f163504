package scheduler

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/shard"
)

var _ = Describe("escrow of a shard", func() {
	It("is requested again as soon as the last request is answered", func() {
		const calls = 64
		cluster := newTestCluster(8, 3)
		var programs []string
		leader := cluster.leader("p0")
		core := cluster.nodes[leader].core
		host := core.leadingHost("p0")
		for number := 0; len(programs) < calls; number++ {
			program := fmt.Sprintf("p%d", number)
			if core.shardOf(program) != host.number {
				continue
			}
			programs = append(programs, program)
			request := testCall(program, "r1")
			request.SingleCall = true
			cluster.nodes[leader].step(CallRequested{ReplyTo: ReplyID(calls + number), Request: request})
		}
		// One top-up covers about ten of these calls. At one request per escrowRetry, all calls
		// would take seconds.
		Expect(cluster.runUntil(escrowRetry/2, func() bool {
			return !slices.ContainsFunc(programs, func(program string) bool {
				known := host.state.Program(program)
				return known == nil || known.Call("r1") == nil
			})
		})).To(BeTrue())
	})

	It("is recalled from a shard that does not know of its grant", func() {
		cluster := newTestCluster(21, 3)
		cluster.budget = 1_000
		key := shard.TierKey{Tenant: testTenant, Tier: testTier}
		cluster.create("p1")
		cluster.runFor(3 * time.Second)
		account := cluster.accountHost(key)
		requester := account.core.shardOf("p1")
		unaware := (requester + 1) % account.core.config.Shards
		Expect(account.propose(&shardv1.Entry{Change: &shardv1.Entry_AccountGranted{AccountGranted: &shardv1.AccountGranted{
			Tenant: testTenant, Tier: testTier, Shard: unaware, WantedTotalMicros: 1_000, BudgetMicros: 1_000,
		}}}, ignoredWaiter{})).To(BeNil())
		cluster.runFor(time.Second)
		Expect(account.state.Account(key).Available()).To(BeZero())
		Expect(cluster.call(testCall("p1", "r1"), 20*time.Second).failure).To(BeNil())
	})
})

// accountHost returns the leader of the shard that holds the tier's account.
func (cluster *testCluster) accountHost(key shard.TierKey) *host {
	for _, name := range sortedKeys(cluster.nodes) {
		core := cluster.nodes[name].core
		if found := core.hosts[core.shardOfAccount(key)]; found != nil && found.leads() {
			return found
		}
	}
	return nil
}
