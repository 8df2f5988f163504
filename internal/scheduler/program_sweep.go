package scheduler

import (
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/shard"
)

// maximumRetainedDecisions bounds the closed calls whose decisions a leader retains.
const maximumRetainedDecisions = 4096

// noteIdle starts the pause timer of a program without open calls.
func (host *host) noteIdle(program *shard.Program) {
	if _, known := host.idleSince[program.ID()]; !known && program.OpenCalls() == 0 {
		host.idleSince[program.ID()] = host.core.now
	}
}

// sweepPrograms stops programs that exceed their pause limit, removes the records of programs
// that ended long ago, and reports live programs.
func (host *host) sweepPrograms() {
	for _, programID := range sortedKeys(host.idleSince) {
		host.sweepIdle(programID)
	}
	for _, programID := range sortedKeys(host.endedSince) {
		if host.core.now-host.endedSince[programID] < host.core.config.EndedMemory {
			continue
		}
		delete(host.endedSince, programID)
		program := host.state.Program(programID)
		if program != nil && program.Root() == program {
			host.propose(&shardv1.Entry{Change: &shardv1.Entry_ProgramForgotten{
				ProgramForgotten: &shardv1.ProgramForgotten{ProgramId: programID},
			}}, ignoredWaiter{})
		}
	}
	if host.core.now-host.lastProgramReport >= host.core.config.LiveInterval {
		host.lastProgramReport = host.core.now
		host.reportLivePrograms()
	}
}

func (host *host) sweepIdle(programID string) {
	program := host.state.Program(programID)
	if program == nil || program.IsFinal() || program.OpenCalls() > 0 {
		delete(host.idleSince, programID)
		return
	}
	limit := host.core.pauseLimit(program)
	if limit == 0 || host.core.now-host.idleSince[programID] < limit || program.LiveSubAgents() > 0 {
		return
	}
	delete(host.idleSince, programID)
	host.core.log("program_pause_expired", host.number, programID, "", limit.String())
	host.proposeEnd(&shardv1.ProgramEnded{
		ProgramId: programID,
		Stopped:   true,
		Reason:    "the caller was silent for longer than " + limit.String(),
	}, ignoredWaiter{})
}

// pauseLimit returns how long a program of this kind may be without an open call; 0 is
// unlimited.
func (core *Core) pauseLimit(program *shard.Program) time.Duration {
	if core.configuration == nil {
		return 0
	}
	kind, found := core.configuration.Kind(program.Created().Kind)
	if !found {
		return 0
	}
	return time.Duration(kind.ToolPauseLimitMs) * time.Millisecond
}

// retainDecisions retains a closed call's decisions for ExplainCall.
func (host *host) retainDecisions(live *liveCall) {
	if len(host.decisionOrder) >= maximumRetainedDecisions {
		delete(host.decisions, host.decisionOrder[0])
		host.decisionOrder = host.decisionOrder[1:]
	}
	host.decisionOrder = append(host.decisionOrder, live.id())
	host.decisions[live.id()] = live.decisions
}

func (host *host) decisionsOf(id callID) []*schedulerv1.Decision {
	if live := host.calls[id]; live != nil {
		return live.decisions
	}
	return host.decisions[id]
}
