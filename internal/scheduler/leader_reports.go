package scheduler

import (
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/shard"
)

// Reports from leaders to keepers: held grants and live programs. The periodic reports contain
// only a digest of each list. A keeper that is new, or whose digest differs, requests the full
// list.

// emptyGrantReports is the number of reports that a pool's keeper gets after the last grant. The
// keeper requests the list if two consecutive reports differ from its own, and ends grants that
// are not in it and older than GrantConfirm; this number suffices for two such requests.
const emptyGrantReports = 4

// scheduleGrantReports makes the next reports include the pool. It is called for each offer,
// since the keeper may have granted it even if the answer is lost.
func (core *Core) scheduleGrantReports(poolName string) {
	core.grantReportsLeft[poolName] = emptyGrantReports
}

// reportHeldGrants sends each keeper the digest of all grants from its pool that this process
// holds. After the last grant, several empty reports follow: with only one, a keeper might keep
// a grant whose return was lost.
func (core *Core) reportHeldGrants() {
	digests := make(map[string]*listDigest)
	for poolName, left := range core.grantReportsLeft {
		digests[poolName] = &listDigest{}
		core.grantReportsLeft[poolName] = left - 1
		if left <= 1 {
			delete(core.grantReportsLeft, poolName)
		}
	}
	core.eachHeldGrant(func(live *liveCall) {
		if digests[live.pool] == nil {
			digests[live.pool] = &listDigest{}
		}
		core.scheduleGrantReports(live.pool)
		digests[live.pool].addGrant(callKey(live.wireKey()), live.call.Intent().BackEnd)
	})
	for _, poolName := range sortedKeys(digests) {
		core.sendHeldGrants(poolName, &schedulerv1.GrantsHeld{Digest: digests[poolName].wire()})
	}
}

// eachHeldGrant visits the calls that hold a grant, in a deterministic order.
func (core *Core) eachHeldGrant(visit func(*liveCall)) {
	for _, number := range core.hostNumbers() {
		host := core.hosts[number]
		if !host.leads() {
			continue
		}
		for _, live := range host.sortedCalls() {
			if live.pool != "" && live.call.Intent() != nil && live.phase != phaseClosing {
				visit(live)
			}
		}
	}
}

// listHeldGrants sends a keeper the full list of held grants.
func (core *Core) listHeldGrants(poolName string) {
	list := &schedulerv1.GrantsHeld{}
	core.eachHeldGrant(func(live *liveCall) {
		if live.pool != poolName {
			return
		}
		list.Grants = append(list.Grants, &schedulerv1.HeldGrant{
			Offer:  live.host.offerOf(live),
			Engine: live.call.Intent().BackEnd,
			Shard:  live.host.number,
		})
	})
	if len(list.Grants) > 0 {
		core.scheduleGrantReports(poolName)
	}
	core.sendHeldGrants(poolName, list)
}

// listResumedGrants sends keepers the grants that a new leader has taken over from the previous
// one.
func (host *host) listResumedGrants() {
	pools := make(map[string]bool)
	for _, live := range host.sortedCalls() {
		if live.pool != "" && live.call.Intent() != nil {
			pools[live.pool] = true
		}
	}
	for _, poolName := range sortedKeys(pools) {
		host.core.listHeldGrants(poolName)
	}
}

func (core *Core) sendHeldGrants(poolName string, held *schedulerv1.GrantsHeld) {
	core.requestKeeper(poolName, core.shardOfPool(poolName), &schedulerv1.KeeperRequest{
		Request: &schedulerv1.KeeperRequest_Held{Held: held},
	})
}

// reportLivePrograms sends each keeper the digest of the shard's live programs that may have
// cache in its pool. The keeper releases the cache of all others.
func (host *host) reportLivePrograms() {
	digests := make(map[string]*listDigest)
	for _, poolName := range sortedKeys(host.core.layout.engines) {
		// The keeper may still count grants of the previous leader, so it also needs a report if
		// this process holds none.
		host.core.scheduleGrantReports(poolName)
		digests[poolName] = &listDigest{}
	}
	for _, program := range host.livePrograms() {
		for _, poolName := range host.core.poolsUsed(program) {
			if digest := digests[poolName]; digest != nil {
				digest.add(program.ID())
			}
		}
	}
	for _, poolName := range sortedKeys(digests) {
		host.sendLivePrograms(poolName, &schedulerv1.ProgramsLive{Digest: digests[poolName].wire()})
	}
}

// listLivePrograms sends a keeper the full list of live programs.
func (host *host) listLivePrograms(poolName string) {
	list := &schedulerv1.ProgramsLive{}
	for _, program := range host.livePrograms() {
		for _, used := range host.core.poolsUsed(program) {
			if used == poolName {
				list.Programs = append(list.Programs, program.ID())
			}
		}
	}
	host.sendLivePrograms(poolName, list)
}

func (host *host) livePrograms() []*shard.Program {
	var found []*shard.Program
	for _, program := range host.sortedPrograms() {
		if !program.IsFinal() {
			found = append(found, program)
		}
	}
	return found
}

func (host *host) sendLivePrograms(poolName string, live *schedulerv1.ProgramsLive) {
	host.core.requestKeeper(poolName, host.number, &schedulerv1.KeeperRequest{
		Request: &schedulerv1.KeeperRequest_Live{Live: live},
	})
}

// listsWanted sends a keeper the full lists that it requests.
func (core *Core) listsWanted(poolName string, shardNumber uint32, wanted *schedulerv1.ListsWanted) {
	if wanted.Grants {
		core.listHeldGrants(poolName)
	}
	if !wanted.Programs {
		return
	}
	for _, number := range core.hostNumbers() {
		host := core.hosts[number]
		if host.leads() && (wanted.AllShards || number == shardNumber) {
			host.listLivePrograms(poolName)
		}
	}
}
