package scheduler

import (
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/keeper"
)

// poolLists is what a keeper has been told of its leaders' lists.
type poolLists struct {
	// grants holds, by process, how its digests compared.
	grants map[string]*grantsView
	// programs holds the last list of live programs of each shard.
	programs map[uint32]*schedulerv1.ProgramsLive
}

// grantsView is what is known of one process's list of grants. Without one the
// process has not told its list to this keeper.
type grantsView struct {
	// differed is true where the last digest differed: a grant or a return may
	// just have been on its way.
	differed bool
}

func newPoolLists() poolLists {
	return poolLists{
		grants:   make(map[string]*grantsView),
		programs: make(map[uint32]*schedulerv1.ProgramsLive),
	}
}

// askForLists has every scheduler tell a new keeper what it holds and which
// programs live. Where a message is lost, the next digest makes up for it.
func (pool *pool) askForLists() {
	pool.lists = newPoolLists()
	wanted := &schedulerv1.ListsWanted{Grants: true, Programs: true, AllShards: true}
	for _, process := range sortedKeys(pool.core.directory.schedulers) {
		pool.askLists(process, 0, wanted)
	}
}

func (pool *pool) askLists(process string, shard uint32, wanted *schedulerv1.ListsWanted) {
	pool.reply(keeper.Request{Leader: process, Shard: shard}, &schedulerv1.KeeperReply{
		Reply: &schedulerv1.KeeperReply_ListsWanted{ListsWanted: wanted},
	})
}

// grantsHeld takes a process's list of the grants of the pool, or its digest.
func (pool *pool) grantsHeld(request *schedulerv1.KeeperRequest, held *schedulerv1.GrantsHeld) {
	if held.Digest != nil {
		pool.compareGrants(request.Leader, held.Digest)
		return
	}
	pool.lists.grants[request.Leader] = &grantsView{}
	var grants []keeper.HeldGrant
	for _, grant := range held.Grants {
		asked := pool.core.keeperRequest(request, grant.Offer)
		asked.Shard = grant.Shard
		grants = append(grants, keeper.HeldGrant{Request: asked, Engine: grant.Engine})
	}
	pool.step(keeper.GrantsHeld{Leader: request.Leader, Grants: grants})
}

// compareGrants asks for the list of a process that has told none, and of one
// whose digest differs twice in a row.
func (pool *pool) compareGrants(process string, told *schedulerv1.ListDigest) {
	view := pool.lists.grants[process]
	if view != nil {
		var own listDigest
		pool.keeper.EachGrant(process, own.addGrant)
		differs := !own.matches(told)
		again := differs && view.differed
		view.differed = differs && !again
		if !again {
			return
		}
	}
	pool.askLists(process, 0, &schedulerv1.ListsWanted{Grants: true})
}

// programsLive takes a shard's list of live programs, or its digest. A list that
// has not changed counts anew: a program that it leaves out is gone only some
// time after it was last seen.
func (pool *pool) programsLive(request *schedulerv1.KeeperRequest, live *schedulerv1.ProgramsLive) {
	if live.Digest == nil {
		pool.lists.programs[request.Shard] = live
	}
	known := pool.lists.programs[request.Shard]
	if known == nil || live.Digest != nil && !digestOfPrograms(known).matches(live.Digest) {
		pool.askLists(request.Leader, request.Shard, &schedulerv1.ListsWanted{Programs: true})
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
