package shard

import (
	"cmp"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	shardv1 "github.com/magpielug/magpielug/api/shard/v1"
	"github.com/magpielug/magpielug/charts"
)

// Snapshot encodes the state. Programs are sorted by id, so that equal states have
// equal encodings.
func (state *State) Snapshot() ([]byte, error) {
	snapshot := &shardv1.Snapshot{}
	for _, program := range state.programs {
		snapshot.Programs = append(snapshot.Programs, program.export())
	}
	slices.SortFunc(snapshot.Programs, func(left, right *shardv1.ProgramRecord) int {
		return strings.Compare(left.Created.ProgramId, right.Created.ProgramId)
	})
	state.ledger.export(snapshot)
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	return data, eris.Wrap(err, "encode snapshot")
}

func (program *Program) export() *shardv1.ProgramRecord {
	record := program.record
	record.State = program.state.String()
	record.Calls = nil
	for _, call := range program.calls {
		call.record.State = call.state.String()
		record.Calls = append(record.Calls, call.record)
	}
	slices.SortFunc(record.Calls, func(left, right *shardv1.CallRecord) int {
		return cmp.Or(
			cmp.Compare(left.Turn, right.Turn),
			strings.Compare(left.Accepted.RequestId, right.Accepted.RequestId),
		)
	})
	record.Finished = nil
	for _, stored := range program.turns {
		record.Finished = append(record.Finished, stored.record)
	}
	return record
}

// Restore replaces the state by an encoded snapshot. If the snapshot is invalid, it
// returns an error and leaves the state unchanged.
func (state *State) Restore(data []byte) error {
	snapshot := &shardv1.Snapshot{}
	if err := proto.Unmarshal(data, snapshot); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	programs := make(map[string]*Program, len(snapshot.Programs))
	for _, record := range snapshot.Programs {
		program, err := importProgram(record)
		if err != nil {
			return err
		}
		programs[program.ID()] = program
	}
	if err := linkSubAgents(programs); err != nil {
		return err
	}
	ledgers, err := importLedger(snapshot)
	if err != nil {
		return err
	}
	state.programs = programs
	state.ledger = ledgers
	return nil
}

func importProgram(record *shardv1.ProgramRecord) (*Program, error) {
	programState, known := charts.Program.ParseState(record.State)
	if !known {
		return nil, eris.Errorf("snapshot: unknown program state %q", record.State)
	}
	program := &Program{
		record:   record,
		state:    programState,
		calls:    make(map[string]*Call, len(record.Calls)),
		finished: make(map[string]int, len(record.Finished)),
	}
	for _, callRecord := range record.Calls {
		callState, known := charts.Call.ParseState(callRecord.State)
		if !known {
			return nil, eris.Errorf("snapshot: unknown call state %q", callRecord.State)
		}
		call := &Call{program: program, record: callRecord, state: callState}
		program.calls[call.RequestID()] = call
	}
	for _, finished := range record.Finished {
		program.addTurn(StoredTurn{record: finished})
	}
	record.Calls = nil
	record.Finished = nil
	return program, nil
}

// linkSubAgents sets the root and the direct sub-agents of each program.
func linkSubAgents(programs map[string]*Program) error {
	for _, program := range programs {
		root, err := findRoot(programs, program)
		if err != nil {
			return err
		}
		program.root = root
		parent := programs[program.Created().ParentId]
		if parent == nil {
			continue
		}
		parent.children = append(parent.children, program)
		if !program.IsFinal() {
			parent.liveChildren++
		}
	}
	return nil
}

func findRoot(programs map[string]*Program, program *Program) (*Program, error) {
	root := program
	for depth := 0; root.Created().ParentId != ""; depth++ {
		parent := programs[root.Created().ParentId]
		if parent == nil || depth > len(programs) {
			return nil, eris.Errorf("snapshot: program %s has no root", program.ID())
		}
		root = parent
	}
	return root, nil
}
