package scheduler

import (
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/ledger"
	"github.com/magpielug/magpielug/internal/shard"
)

// The granting side of escrow. The leader of the shard that holds a tier's account grants parts
// of the tier's budget to the other shards and recalls them.

// maximumHops bounds how often an escrow request is forwarded.
const maximumHops = 2

// recallInterval is the minimum time between two recalls of a tier's escrow.
const recallInterval = time.Second

func tierOfRequest(request *schedulerv1.EscrowRequest) shard.TierKey {
	return shard.TierKey{Tenant: request.Tenant, Tier: request.Tier}
}

// requestEscrow routes a request to the leader of the shard that holds the tier's account.
func (core *Core) requestEscrow(request *schedulerv1.EscrowRequest) {
	number := core.shardOfAccount(tierOfRequest(request))
	if host := core.hosts[number]; host != nil && host.leads() {
		core.escrowRequested(request)
		return
	}
	if process := core.leaderProcess(number); process != "" {
		batch := core.batchTo(process)
		batch.EscrowRequests = append(batch.EscrowRequests, request)
	}
}

// escrowRequested commits the total that the shard has returned and then the grant.
func (core *Core) escrowRequested(request *schedulerv1.EscrowRequest) {
	key := tierOfRequest(request)
	host := core.hosts[core.shardOfAccount(key)]
	if host == nil || !host.leads() {
		core.forwardEscrowRequest(request)
		return
	}
	if core.configuration == nil {
		return
	}
	account := host.state.Account(key)
	if ledger.Micros(request.ReturnedTotalMicros) > account.Returned(request.Shard) {
		host.propose(&shardv1.Entry{Change: &shardv1.Entry_AccountReturned{AccountReturned: &shardv1.AccountReturned{
			Tenant:              request.Tenant,
			Tier:                request.Tier,
			Shard:               request.Shard,
			ReturnedTotalMicros: request.ReturnedTotalMicros,
		}}}, ignoredWaiter{})
	}
	tier, _ := core.configuration.Tier(request.Tenant, request.Tier)
	host.propose(&shardv1.Entry{Change: &shardv1.Entry_AccountGranted{AccountGranted: &shardv1.AccountGranted{
		Tenant:               request.Tenant,
		Tier:                 request.Tier,
		Shard:                request.Shard,
		WantedTotalMicros:    request.WantedTotalMicros,
		BudgetMicros:         tier.GetBudgetMicros(),
		ConfigurationVersion: core.configuration.Version(),
	}}}, grantWaiter{request: request})
}

// forwardEscrowRequest forwards a request to the last known leader of the account's shard.
func (core *Core) forwardEscrowRequest(request *schedulerv1.EscrowRequest) {
	process := core.leaderProcess(core.shardOfAccount(tierOfRequest(request)))
	if request.Hops >= maximumHops || process == "" {
		return
	}
	request.Hops++
	batch := core.batchTo(process)
	batch.EscrowRequests = append(batch.EscrowRequests, request)
}

// grantWaiter replies to the requesting shard once the grant is applied.
type grantWaiter struct{ request *schedulerv1.EscrowRequest }

func (waiting grantWaiter) applied(host *host, _ shard.Outcome) {
	request := waiting.request
	key := tierOfRequest(request)
	granted := uint64(host.state.Account(key).Granted(request.Shard))
	recalling := false
	if granted < request.WantedTotalMicros {
		recalling = host.recallEscrow(key, request.Shard)
	}
	host.core.replyEscrow(request.Leader, &schedulerv1.EscrowReply{
		Tenant:             request.Tenant,
		Tier:               request.Tier,
		Shard:              request.Shard,
		GrantedTotalMicros: granted,
		WantedTotalMicros:  request.WantedTotalMicros,
		Recalling:          recalling,
	})
}

func (grantWaiter) abandoned(*host) {}

// recallEscrow asks all other holders to return escrow that they do not need. It reports false
// if there are none, or if the last recall was less than recallInterval ago.
func (host *host) recallEscrow(key shard.TierKey, requester uint32) bool {
	last, recalled := host.recalledAt[key]
	if recalled && host.core.now-last < recallInterval {
		return false
	}
	host.recalledAt[key] = host.core.now
	recalling := false
	for _, holder := range host.state.Account(key).Holders() {
		if holder == requester {
			continue
		}
		recalling = true
		host.core.recallFrom(&schedulerv1.EscrowRecall{
			Tenant:             key.Tenant,
			Tier:               key.Tier,
			Shard:              holder,
			GrantedTotalMicros: uint64(host.state.Account(key).Granted(holder)),
		})
	}
	return recalling
}

func (core *Core) recallFrom(recall *schedulerv1.EscrowRecall) {
	if host := core.hosts[recall.Shard]; host != nil && host.leads() {
		core.escrowRecalled(recall)
		return
	}
	if process := core.leaderProcess(recall.Shard); process != "" {
		batch := core.batchTo(process)
		batch.EscrowRecalls = append(batch.EscrowRecalls, recall)
	}
}

func (core *Core) replyEscrow(leader string, reply *schedulerv1.EscrowReply) {
	if leader == core.config.Process {
		core.escrowReplied(reply)
		return
	}
	batch := core.batchTo(leader)
	batch.EscrowReplies = append(batch.EscrowReplies, reply)
}
