package shard

import (
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Outcome is the result of applying an entry. Only the leader uses it.
type Outcome struct {
	// Program is the entry's program; nil if it does not exist.
	Program *Program
	// Call is the entry's call; nil if the entry concerns no call.
	Call *Call
	// Duplicate is true if an earlier entry already had this effect, so that
	// nothing changed.
	Duplicate bool
	// Cancelled lists the open calls that the end of their program cancelled. They
	// may be running on a back end.
	Cancelled []*Call
	// Ended lists the programs that the entry ended: the named program, then its
	// sub-agents.
	Ended []*Program
	// Err is the reason why the entry was rejected; nil otherwise.
	Err *resultcode.Error
}

func errorOutcome(code resultcode.Code, format string, arguments ...any) Outcome {
	return Outcome{Err: resultcode.New(code, format, arguments...)}
}

// Apply applies one committed entry.
func (state *State) Apply(entry *shardv1.Entry) Outcome {
	switch change := entry.Change.(type) {
	case *shardv1.Entry_ProgramCreated:
		return state.createProgram(change.ProgramCreated)
	case *shardv1.Entry_CallAccepted:
		return state.acceptCall(change.CallAccepted)
	case *shardv1.Entry_CallDeclined:
		return state.declineCall(change.CallDeclined)
	case *shardv1.Entry_CallIntended:
		return state.intendCall(change.CallIntended)
	case *shardv1.Entry_CallRequeued:
		return state.requeueCall(change.CallRequeued)
	case *shardv1.Entry_CallFinished:
		return state.finishCall(change.CallFinished)
	case *shardv1.Entry_CallEnded:
		return state.endCall(change.CallEnded)
	case *shardv1.Entry_ProgramEnded:
		return state.endProgram(change.ProgramEnded)
	case *shardv1.Entry_ProgramForgotten:
		return state.forgetProgram(change.ProgramForgotten)
	default:
		return state.applyLedger(entry)
	}
}
