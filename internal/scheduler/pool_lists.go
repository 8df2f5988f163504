package scheduler

import (
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/keeper"
)

// poolLists is what leaders have reported to a keeper.
type poolLists struct {
	// grants holds the state of each process's grant reports.
	grants map[string]*grantComparison
	// programs holds the last list of live programs of each shard.
	programs map[uint32]*schedulerv1.ProgramsLive
}

// grantComparison is the result of comparing one process's digest. It exists only if the process
// has sent its full list to this keeper.
type grantComparison struct {
	// lastDiffered is true if the last digest differed, which may be due to a grant or a return
	// in transit.
	lastDiffered bool
}

func newPoolLists() poolLists {
	return poolLists{
		grants:   make(map[string]*grantComparison),
		programs: make(map[uint32]*schedulerv1.ProgramsLive),
	}
}

// requestAllLists requests the lists of all schedulers for a new keeper. If a message is lost,
// the next digest reveals the difference.
func (pool *pool) requestAllLists() {
	pool.lists = newPoolLists()
	wanted := &schedulerv1.ListsWanted{Grants: true, Programs: true, AllShards: true}
	for _, process := range sortedKeys(pool.core.directory.schedulers) {
		pool.requestLists(process, 0, wanted)
	}
}

func (pool *pool) requestLists(process string, shard uint32, wanted *schedulerv1.ListsWanted) {
	pool.reply(keeper.Request{Leader: process, Shard: shard}, &schedulerv1.KeeperReply{
		Reply: &schedulerv1.KeeperReply_ListsWanted{ListsWanted: wanted},
	})
}

// grantsHeld handles a process's list of held grants, or its digest.
func (pool *pool) grantsHeld(request *schedulerv1.KeeperRequest, held *schedulerv1.GrantsHeld) {
	if held.Digest != nil {
		pool.compareGrants(request.Leader, held.Digest)
		return
	}
	pool.lists.grants[request.Leader] = &grantComparison{}
	var grants []keeper.HeldGrant
	for _, grant := range held.Grants {
		call := pool.core.keeperRequest(request, grant.Offer)
		call.Shard = grant.Shard
		grants = append(grants, keeper.HeldGrant{Request: call, Engine: grant.Engine})
	}
	pool.step(keeper.GrantsHeld{Leader: request.Leader, Grants: grants})
}

// compareGrants requests the list of a process that has not sent one, or whose digest differs
// twice in a row.
func (pool *pool) compareGrants(process string, reported *schedulerv1.ListDigest) {
	view := pool.lists.grants[process]
	if view != nil {
		var computed listDigest
		pool.keeper.EachGrant(process, computed.addGrant)
		differs := !computed.matches(reported)
		again := differs && view.lastDiffered
		view.lastDiffered = differs && !again
		if !again {
			return
		}
	}
	pool.requestLists(process, 0, &schedulerv1.ListsWanted{Grants: true})
}

// programsLive handles a shard's list of live programs, or its digest. A matching digest counts
// as a new report of the same list, because programs are removed only if they are missing for
// some time.
func (pool *pool) programsLive(request *schedulerv1.KeeperRequest, live *schedulerv1.ProgramsLive) {
	if live.Digest == nil {
		pool.lists.programs[request.Shard] = live
	}
	known := pool.lists.programs[request.Shard]
	if known == nil || live.Digest != nil && !digestOfPrograms(known).matches(live.Digest) {
		pool.requestLists(request.Leader, request.Shard, &schedulerv1.ListsWanted{Programs: true})
		return
	}
	pool.step(keeper.ProgramsLive{Leader: request.Leader, Shard: request.Shard, Programs: known.Programs})
}

func digestOfPrograms(live *schedulerv1.ProgramsLive) *listDigest {
	digest := &listDigest{}
	for _, program := range live.Programs {
		digest.add(program)
	}
	return digest
}
