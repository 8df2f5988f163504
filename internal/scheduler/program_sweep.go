package scheduler

import (
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/shard"
)

// maximumRemembered bounds the closed calls whose decisions a leader keeps.
const maximumRemembered = 4096

// noteQuiet starts the clock of a program's pause.
func (host *host) noteQuiet(program *shard.Program) {
	if _, known := host.quietSince[program.ID()]; !known && program.OpenCalls() == 0 {
		host.quietSince[program.ID()] = host.core.now
	}
}

// sweepPrograms stops programs whose caller was silent for too long, and drops
// the records of programs long over.
func (host *host) sweepPrograms() {
	for _, programID := range sortedKeys(host.quietSince) {
		host.sweepQuiet(programID)
	}
	for _, programID := range sortedKeys(host.overSince) {
		if host.core.now-host.overSince[programID] < host.core.config.EndedMemory {
			continue
		}
		delete(host.overSince, programID)
		program := host.state.Program(programID)
		if program != nil && program.Root() == program {
			host.propose(&shardv1.Entry{Change: &shardv1.Entry_ProgramForgotten{
				ProgramForgotten: &shardv1.ProgramForgotten{ProgramId: programID},
			}}, ignoredWaiter{})
		}
	}
	if host.core.now-host.lastLive >= host.core.config.LiveInterval {
		host.lastLive = host.core.now
		host.reportLivePrograms()
	}
}

func (host *host) sweepQuiet(programID string) {
	program := host.state.Program(programID)
	if program == nil || program.Over() || program.OpenCalls() > 0 {
		delete(host.quietSince, programID)
		return
	}
	limit := host.core.pauseLimit(program)
	if limit == 0 || host.core.now-host.quietSince[programID] < limit || program.LiveSubAgents() > 0 {
		return
	}
	delete(host.quietSince, programID)
	host.core.log("program_pause_expired", host.number, programID, "", limit.String())
	host.proposeEnd(&shardv1.ProgramEnded{
		ProgramId: programID,
		Stopped:   true,
		Reason:    "the caller was silent for longer than " + limit.String(),
	}, ignoredWaiter{})
}

// pauseLimit is how long a program of this kind may be silent; 0 is no bound.
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

// rememberDecisions keeps a closed call's decisions for an operator's question.
func (host *host) rememberDecisions(live *liveCall) {
	if len(host.remembered) >= maximumRemembered {
		delete(host.decisions, host.remembered[0])
		host.remembered = host.remembered[1:]
	}
	host.remembered = append(host.remembered, live.id())
	host.decisions[live.id()] = live.decisions
}

func (host *host) decisionsOf(id callID) []*schedulerv1.Decision {
	if live := host.calls[id]; live != nil {
		return live.decisions
	}
	return host.decisions[id]
}
