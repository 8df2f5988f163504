package scheduler

import (
	"slices"
	"strings"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/shard"
)

const (
	defaultListLimit    = 100
	maximumListLimit    = 1000
	maximumHistoryTurns = 1000
)

// programOf finds a caller's program, if this process may answer for it now. One
// of another tenant is answered like one that does not exist.
func (core *Core) programOf(programID string, caller *schedulerv1.Caller) (*shard.Program, *schedulerv1.Error) {
	host := core.leadingHost(programID)
	if host == nil {
		return nil, core.notLeader(core.shardOf(programID))
	}
	program := host.state.Program(programID)
	if program == nil || program.Created().Tenant != caller.GetTenant() {
		return nil, wireError(unknownProgram(programID))
	}
	return program, nil
}

func (core *Core) getAsked(event GetAsked) {
	program, failure := core.programOf(event.Request.ProgramId, event.Request.Caller)
	core.answerProgram(event.Ask, failure, program)
}

func (core *Core) historyAsked(event HistoryAsked) {
	request := event.Request
	program, failure := core.programOf(request.ProgramId, request.Caller)
	if failure != nil {
		core.emit(Answer{Ask: event.Ask, Message: &schedulerv1.ReadHistoryReply{Error: failure}})
		return
	}
	turns := program.Turns()
	from := min(int(request.FromTurn), len(turns))
	count := len(turns) - from
	if request.Limit > 0 {
		count = min(count, int(request.Limit))
	}
	count = min(count, maximumHistoryTurns)
	core.emit(TurnsTaken{Ask: event.Ask, Turns: slices.Clone(turns[from : from+count])})
}

// listAsked lists the programs of the shards that this process leads.
func (core *Core) listAsked(event ListAsked) {
	limit := int(event.Request.Limit)
	if limit == 0 {
		limit = defaultListLimit
	}
	limit = min(limit, maximumListLimit)
	reply := &schedulerv1.ListProgramsReply{}
	for _, number := range core.hostNumbers() {
		host := core.hosts[number]
		if !host.leads() {
			continue
		}
		for _, program := range host.sortedPrograms() {
			if len(reply.Programs) == limit {
				break
			}
			if event.Request.Tenant == "" || program.Created().Tenant == event.Request.Tenant {
				reply.Programs = append(reply.Programs, describeProgram(program))
			}
		}
	}
	core.emit(Answer{Ask: event.Ask, Message: reply})
}

func (core *Core) explainAsked(event ExplainAsked) {
	host := core.leadingHost(event.Request.ProgramId)
	if host == nil {
		failure := core.notLeader(core.shardOf(event.Request.ProgramId))
		core.emit(Answer{Ask: event.Ask, Message: &schedulerv1.ExplainCallReply{Error: failure}})
		return
	}
	program := host.state.Program(event.Request.ProgramId)
	if program == nil || program.Call(event.Request.RequestId) == nil {
		failure := wireError(resultcode.New(resultcode.UnknownRequest, "no call %s", event.Request.RequestId))
		core.emit(Answer{Ask: event.Ask, Message: &schedulerv1.ExplainCallReply{Error: failure}})
		return
	}
	core.emit(Answer{Ask: event.Ask, Message: &schedulerv1.ExplainCallReply{
		CallState: program.Call(event.Request.RequestId).State().String(),
		Decisions: host.decisionsOf(callID{program: program.ID(), requestID: event.Request.RequestId}),
	}})
}

func (core *Core) statusAsked(event StatusAsked) {
	reply := &schedulerv1.StatusReply{Node: core.config.Process, Zone: core.config.Zone}
	if core.configuration != nil {
		reply.ConfigurationVersion = core.configuration.Version()
	}
	for _, number := range core.hostNumbers() {
		reply.ShardsHosted = append(reply.ShardsHosted, number)
		if core.hosts[number].leads() {
			reply.ShardsLed = append(reply.ShardsLed, number)
		}
	}
	core.emit(Answer{Ask: event.Ask, Message: reply})
}

// sortedPrograms lists the shard's programs in the order of their ids.
func (host *host) sortedPrograms() []*shard.Program {
	list := make([]*shard.Program, 0, host.state.Len())
	host.state.Programs(func(program *shard.Program) bool {
		list = append(list, program)
		return true
	})
	slices.SortFunc(list, func(left, right *shard.Program) int {
		return strings.Compare(left.ID(), right.ID())
	})
	return list
}
