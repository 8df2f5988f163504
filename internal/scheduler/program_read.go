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

// programOf returns a caller's program if this process leads its shard. A program of another
// tenant is reported as unknown.
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

func (core *Core) getRequested(event GetRequested) {
	program, failure := core.programOf(event.Request.ProgramId, event.Request.Caller)
	core.answerProgram(event.ReplyTo, failure, program)
}

func (core *Core) historyRequested(event HistoryRequested) {
	request := event.Request
	program, failure := core.programOf(request.ProgramId, request.Caller)
	if failure != nil {
		core.emit(Reply{To: event.ReplyTo, Message: &schedulerv1.ReadHistoryReply{Error: failure}})
		return
	}
	turns := program.Turns()
	from := min(int(request.FromTurn), len(turns))
	count := len(turns) - from
	if request.Limit > 0 {
		count = min(count, int(request.Limit))
	}
	count = min(count, maximumHistoryTurns)
	core.emit(TurnsReply{ReplyTo: event.ReplyTo, Turns: slices.Clone(turns[from : from+count])})
}

// listRequested lists the programs of the shards led by this process.
func (core *Core) listRequested(event ListRequested) {
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
	core.emit(Reply{To: event.ReplyTo, Message: reply})
}

func (core *Core) explainRequested(event ExplainRequested) {
	host := core.leadingHost(event.Request.ProgramId)
	if host == nil {
		failure := core.notLeader(core.shardOf(event.Request.ProgramId))
		core.emit(Reply{To: event.ReplyTo, Message: &schedulerv1.ExplainCallReply{Error: failure}})
		return
	}
	program := host.state.Program(event.Request.ProgramId)
	if program == nil || program.Call(event.Request.RequestId) == nil {
		failure := wireError(resultcode.New(resultcode.UnknownRequest, "no call %s", event.Request.RequestId))
		core.emit(Reply{To: event.ReplyTo, Message: &schedulerv1.ExplainCallReply{Error: failure}})
		return
	}
	core.emit(Reply{To: event.ReplyTo, Message: &schedulerv1.ExplainCallReply{
		CallState: program.Call(event.Request.RequestId).State().String(),
		Decisions: host.decisionsOf(callID{program: program.ID(), requestID: event.Request.RequestId}),
	}})
}

func (core *Core) statusRequested(event StatusRequested) {
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
	core.emit(Reply{To: event.ReplyTo, Message: reply})
}

// sortedPrograms lists the shard's programs sorted by id.
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
