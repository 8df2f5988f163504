package scheduler

import (
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/shard"
)

// The leader's reports to keepers: the grants held and the live programs. At
// intervals only a digest of each list is told; a keeper that is new, or sees
// something else, asks for the list itself.

// noneReports is how many reports a pool gets after its last grant. A keeper that
// counts a grant which its leader does not hold asks for the list when two reports in a
// row differ, and ends what is older than its GrantConfirm: two asks are sure to find it.
const noneReports = 4

// noteGrantsAt has the next reports tell a pool's keeper of held grants. It is called with
// each offer: the keeper may grant it, and the answer be lost.
func (core *Core) noteGrantsAt(poolName string) { core.heldBefore[poolName] = noneReports }

// reportHeldGrants tells each keeper the digest of its grants that this process
// holds, over all shards. A pool that had grants is told some more times when it has
// none: with one report alone the keeper would go on counting a grant whose end was lost.
func (core *Core) reportHeldGrants() {
	digests := make(map[string]*listDigest)
	for poolName, left := range core.heldBefore {
		digests[poolName] = &listDigest{}
		core.heldBefore[poolName] = left - 1
		if left <= 1 {
			delete(core.heldBefore, poolName)
		}
	}
	core.eachHeldGrant(func(live *liveCall) {
		if digests[live.pool] == nil {
			digests[live.pool] = &listDigest{}
		}
		core.noteGrantsAt(live.pool)
		digests[live.pool].addGrant(callKey(live.wireKey()), live.call.Intent().BackEnd)
	})
	for _, poolName := range sortedKeys(digests) {
		core.sendHeldGrants(poolName, &schedulerv1.GrantsHeld{Digest: digests[poolName].wire()})
	}
}

// eachHeldGrant shows the calls that hold a grant, in order.
func (core *Core) eachHeldGrant(show func(*liveCall)) {
	for _, number := range core.hostNumbers() {
		host := core.hosts[number]
		if !host.leads() {
			continue
		}
		for _, live := range host.sortedCalls() {
			if live.pool != "" && live.call.Intent() != nil && live.phase != phaseClosing {
				show(live)
			}
		}
	}
}

// listHeldGrants tells a keeper the whole list.
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
		core.noteGrantsAt(poolName)
	}
	core.sendHeldGrants(poolName, list)
}

// listResumedGrants tells keepers which grants the shard's new leader has taken
// over, so that none counts as held by the old one.
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

// reportLivePrograms tells each keeper the digest of the shard's programs that
// may have cache in its pool, so that cache of all others can be released.
func (host *host) reportLivePrograms() {
	digests := make(map[string]*listDigest)
	for _, poolName := range sortedKeys(host.core.layout.engines) {
		// The keeper may count grants of the shard's former leader: it must be told
		// also that this process holds none.
		host.core.noteGrantsAt(poolName)
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

// listLivePrograms tells a keeper the whole list.
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
		if !program.Over() {
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

// listsWanted sends a keeper the whole lists that it asks for.
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
