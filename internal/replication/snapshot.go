package replication

import (
	"time"

	"google.golang.org/protobuf/proto"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// outgoingSnapshot is a transfer to a member that lags behind the log.
type outgoingSnapshot struct {
	index   uint64
	payload []byte
	offset  uint64
}

// incomingSnapshot collects a transfer from the epoch's leader.
type incomingSnapshot struct {
	epoch Epoch
	index uint64
	total uint64
	data  []byte
}

// ProvideSnapshot hands over the state machine's state, with all entries of
// every Output so far applied, for the members that an Output asked it for. It
// is dropped once they have it.
func (r *Replica) ProvideSnapshot(now time.Duration, state []byte) error {
	if r.role != RoleLeader || !r.lead.wantsSnapshot() {
		return ErrNoSnapshotWanted
	}
	payload, err := proto.Marshal(r.encodeSnapshot(state))
	if err != nil {
		return err
	}
	for _, peer := range r.lead.peers {
		if !peer.wantSnapshot {
			continue
		}
		peer.wantSnapshot = false
		peer.snapshot = &outgoingSnapshot{index: r.emitted, payload: payload}
		r.sendChunk(now, peer)
	}
	return nil
}

// encodeSnapshot adds the entries that are not yet archived, since the receiver
// may become the leader that has to archive them.
func (r *Replica) encodeSnapshot(state []byte) *replicationv1.Snapshot {
	previous := min(r.log.archived, r.emitted)
	previousEpoch, _ := r.log.epochAt(previous)
	epoch, _ := r.log.epochAt(r.emitted)
	members, membersIndex := r.log.membersAt(r.emitted)
	return &replicationv1.Snapshot{
		Index:         r.emitted,
		Epoch:         uint64(epoch),
		Members:       EncodeMembers(members),
		MembersIndex:  membersIndex,
		State:         state,
		Unarchived:    r.log.entries[previous-r.log.previousIndex : r.emitted-r.log.previousIndex],
		PreviousIndex: previous,
		PreviousEpoch: uint64(previousEpoch),
	}
}

func (r *Replica) sendChunk(now time.Duration, peer *progress) {
	transfer := peer.snapshot
	total := uint64(len(transfer.payload))
	end := min(total, transfer.offset+uint64(r.config.SnapshotChunkBytes))
	chunk := &replicationv1.SnapshotChunk{
		Index:  transfer.index,
		Offset: transfer.offset,
		Total:  total,
		Data:   transfer.payload[transfer.offset:end],
		SentAt: int64(now),
	}
	peer.lastSend = now
	r.send(peer.member.Incarnation, &replicationv1.Message{
		Body: &replicationv1.Message_SnapshotChunk{SnapshotChunk: chunk},
	})
}

// receiveSnapshotAck sends the chunk that the member lacks next, which may be an
// earlier one if it has lost what it had. Only the answer to the last chunk
// sent tells what it has now.
func (r *Replica) receiveSnapshotAck(now time.Duration, peer *progress, ack *replicationv1.SnapshotAck) {
	transfer := peer.snapshot
	isCurrent := transfer != nil &&
		transfer.index == ack.GetIndex() &&
		ack.GetReceived() < uint64(len(transfer.payload)) &&
		time.Duration(ack.GetSentAt()) == peer.lastSend
	if !isCurrent {
		return
	}
	transfer.offset = ack.GetReceived()
	r.sendChunk(now, peer)
}

// receiveSnapshotChunk collects chunks in order, and installs the whole.
func (r *Replica) receiveSnapshotChunk(now time.Duration, from Incarnation, chunk *replicationv1.SnapshotChunk) {
	if chunk.GetIndex() <= r.commit {
		r.incoming = nil
		r.send(from, appendResponse(true, r.commit, chunk.GetSentAt()))
		return
	}
	if r.incoming != nil && r.incoming.epoch == r.epoch && r.incoming.index > chunk.GetIndex() {
		return
	}
	r.collect(chunk)
	if uint64(len(r.incoming.data)) < r.incoming.total {
		r.acknowledgeChunk(from, chunk)
		return
	}
	payload := r.incoming.data
	r.incoming = nil
	snapshot := &replicationv1.Snapshot{}
	if err := proto.Unmarshal(payload, snapshot); err != nil || snapshot.GetIndex() != chunk.GetIndex() {
		return
	}
	r.install(now, snapshot)
	r.send(from, appendResponse(true, r.commit, chunk.GetSentAt()))
}

func (r *Replica) collect(chunk *replicationv1.SnapshotChunk) {
	isSame := r.incoming != nil &&
		r.incoming.epoch == r.epoch &&
		r.incoming.index == chunk.GetIndex() &&
		r.incoming.total == chunk.GetTotal()
	if !isSame {
		r.incoming = &incomingSnapshot{
			epoch: r.epoch,
			index: chunk.GetIndex(),
			total: chunk.GetTotal(),
		}
	}
	if chunk.GetOffset() == uint64(len(r.incoming.data)) {
		r.incoming.data = append(r.incoming.data, chunk.GetData()...)
	}
}

func (r *Replica) acknowledgeChunk(to Incarnation, chunk *replicationv1.SnapshotChunk) {
	ack := &replicationv1.SnapshotAck{
		Index:    chunk.GetIndex(),
		Received: uint64(len(r.incoming.data)),
		SentAt:   chunk.GetSentAt(),
	}
	r.send(to, &replicationv1.Message{
		Body: &replicationv1.Message_SnapshotAck{SnapshotAck: ack},
	})
}

// install takes a snapshot's state. A log that holds the snapshot's entry keeps
// what follows it, since the leader may count on it.
func (r *Replica) install(now time.Duration, snapshot *replicationv1.Snapshot) {
	index := snapshot.GetIndex()
	if held, known := r.log.epochAt(index); known && held == Epoch(snapshot.GetEpoch()) && index > 0 {
		r.learnCommit(index, snapshot.GetPreviousIndex())
		return
	}
	r.log = entryLog{
		previousIndex:    snapshot.GetPreviousIndex(),
		previousEpoch:    Epoch(snapshot.GetPreviousEpoch()),
		archived:         snapshot.GetPreviousIndex(),
		baseMembers:      DecodeMembers(snapshot.GetMembers()),
		baseMembersIndex: snapshot.GetMembersIndex(),
	}
	for _, entry := range snapshot.GetUnarchived() {
		r.log.append(entry)
	}
	r.commit = index
	r.emitted = index
	r.restore = &RestoredState{Index: index, State: snapshot.GetState()}
	r.electionDeadline = now + r.electionDelay()
	r.refreshMembers()
}
