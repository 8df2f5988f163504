package replication

import (
	"time"

	"google.golang.org/protobuf/proto"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// outgoingSnapshot is a snapshot transfer to a member that lags behind the log.
type outgoingSnapshot struct {
	index   uint64
	payload []byte
	offset  uint64
}

// incomingSnapshot collects the chunks of a snapshot from the leader.
type incomingSnapshot struct {
	epoch Epoch
	index uint64
	total uint64
	data  []byte
}

// ProvideSnapshot passes the state machine's state, with the entries of all previous
// Outputs applied, for transfer to the members that need a snapshot. It is released
// when they have received it.
func (r *Replica) ProvideSnapshot(now time.Duration, state []byte) error {
	if r.role != RoleLeader || !r.leaderState.needsSnapshot() {
		return ErrNoSnapshotNeeded
	}
	payload, err := proto.Marshal(r.encodeSnapshot(state))
	if err != nil {
		return err
	}
	for _, peer := range r.leaderState.peers {
		if !peer.needsSnapshot {
			continue
		}
		peer.needsSnapshot = false
		peer.snapshot = &outgoingSnapshot{index: r.delivered, payload: payload}
		r.sendChunk(now, peer)
	}
	return nil
}

// encodeSnapshot includes the entries that are not yet archived, since the receiver
// may become the leader that must archive them.
func (r *Replica) encodeSnapshot(state []byte) *replicationv1.Snapshot {
	previous := min(r.log.archived, r.delivered)
	previousEpoch, _ := r.log.epochAt(previous)
	epoch, _ := r.log.epochAt(r.delivered)
	members, membersIndex := r.log.membersAt(r.delivered)
	return &replicationv1.Snapshot{
		Index:         r.delivered,
		Epoch:         uint64(epoch),
		Members:       EncodeMembers(members),
		MembersIndex:  membersIndex,
		State:         state,
		Unarchived:    r.log.entries[previous-r.log.previousIndex : r.delivered-r.log.previousIndex],
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
	peer.lastSentAt = now
	r.send(peer.member.Incarnation, &replicationv1.Message{
		Body: &replicationv1.Message_SnapshotChunk{SnapshotChunk: chunk},
	})
}

// receiveSnapshotAck sends the next chunk that the member needs, which may be an
// earlier one if the member lost its data. Only the response to the last chunk sent
// is considered.
func (r *Replica) receiveSnapshotAck(now time.Duration, peer *progress, ack *replicationv1.SnapshotAck) {
	transfer := peer.snapshot
	isCurrent := transfer != nil &&
		transfer.index == ack.GetIndex() &&
		ack.GetReceived() < uint64(len(transfer.payload)) &&
		time.Duration(ack.GetSentAt()) == peer.lastSentAt
	if !isCurrent {
		return
	}
	transfer.offset = ack.GetReceived()
	r.sendChunk(now, peer)
}

// receiveSnapshotChunk collects chunks in order and installs the complete snapshot.
func (r *Replica) receiveSnapshotChunk(now time.Duration, from Incarnation, chunk *replicationv1.SnapshotChunk) {
	if chunk.GetIndex() <= r.commit {
		r.incomingSnapshot = nil
		r.send(from, appendResponse(true, r.commit, chunk.GetSentAt()))
		return
	}
	if r.incomingSnapshot != nil && r.incomingSnapshot.epoch == r.epoch && r.incomingSnapshot.index > chunk.GetIndex() {
		return
	}
	r.collect(chunk)
	if uint64(len(r.incomingSnapshot.data)) < r.incomingSnapshot.total {
		r.acknowledgeChunk(from, chunk)
		return
	}
	payload := r.incomingSnapshot.data
	r.incomingSnapshot = nil
	snapshot := &replicationv1.Snapshot{}
	if err := proto.Unmarshal(payload, snapshot); err != nil || snapshot.GetIndex() != chunk.GetIndex() {
		return
	}
	r.install(now, snapshot)
	r.send(from, appendResponse(true, r.commit, chunk.GetSentAt()))
}

func (r *Replica) collect(chunk *replicationv1.SnapshotChunk) {
	isSame := r.incomingSnapshot != nil &&
		r.incomingSnapshot.epoch == r.epoch &&
		r.incomingSnapshot.index == chunk.GetIndex() &&
		r.incomingSnapshot.total == chunk.GetTotal()
	if !isSame {
		r.incomingSnapshot = &incomingSnapshot{
			epoch: r.epoch,
			index: chunk.GetIndex(),
			total: chunk.GetTotal(),
		}
	}
	if chunk.GetOffset() == uint64(len(r.incomingSnapshot.data)) {
		r.incomingSnapshot.data = append(r.incomingSnapshot.data, chunk.GetData()...)
	}
}

func (r *Replica) acknowledgeChunk(to Incarnation, chunk *replicationv1.SnapshotChunk) {
	ack := &replicationv1.SnapshotAck{
		Index:    chunk.GetIndex(),
		Received: uint64(len(r.incomingSnapshot.data)),
		SentAt:   chunk.GetSentAt(),
	}
	r.send(to, &replicationv1.Message{
		Body: &replicationv1.Message_SnapshotAck{SnapshotAck: ack},
	})
}

// install replaces the log and state by a snapshot. If the log already contains the
// snapshot's last entry, the log is kept, since the leader may rely on later entries.
func (r *Replica) install(now time.Duration, snapshot *replicationv1.Snapshot) {
	index := snapshot.GetIndex()
	if held, known := r.log.epochAt(index); known && held == Epoch(snapshot.GetEpoch()) && index > 0 {
		r.updateCommit(index, snapshot.GetPreviousIndex())
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
	r.delivered = index
	r.pendingRestore = &RestoredState{Index: index, State: snapshot.GetState()}
	r.electionDeadline = now + r.electionDelay()
	r.refreshMembers()
}
