package shard

import (
	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Outcome tells the leader what an entry did. Replicas that do not lead drop
// it.
type Outcome struct {
	// Program the entry was about; nil where it is unknown.
	Program *Program
	// Call the entry was about; nil where it is about no call.
	Call *Call
	// Duplicate is true where the entry repeats an earlier one and changed
	// nothing.
	Duplicate bool
	// Cancelled are the calls that a program's end has closed and that may be
	// running on a back end.
	Cancelled []*Call
	// Ended are the programs that the entry has ended: the one it names first,
	// then its sub-agents.
	Ended []*Program
	// Err is why the entry changed nothing, nil where it took effect.
	Err *resultcode.Error
}

func refused(code resultcode.Code, format string, arguments ...any) Outcome {
	return Outcome{Err: resultcode.New(code, format, arguments...)}
}

// Apply carries out one committed entry.
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
