package replication

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// SnapshotPointer is a record of a shard's index stream: a hint where to look
// for a snapshot. What is found there decides; a pointer that leads nowhere
// costs its reader a look.
type SnapshotPointer struct {
	Shard      uint32
	SnapshotID string
	// Offset is the snapshot's own: its parts stand there or later.
	Offset uint64
	// LastIndex is of the last entry in the snapshot.
	LastIndex  uint64
	Generation uint32
	// Size is of the encoded snapshot in bytes.
	Size uint64
}

// EncodeSnapshotPointer renders a pointer as a record of the index stream.
func EncodeSnapshotPointer(pointer SnapshotPointer) ([]byte, error) {
	return proto.Marshal(&replicationv1.SnapshotPointer{
		Shard:      pointer.Shard,
		SnapshotId: pointer.SnapshotID,
		Offset:     pointer.Offset,
		LastIndex:  pointer.LastIndex,
		Generation: pointer.Generation,
		Size:       pointer.Size,
	})
}

// DecodeSnapshotPointer reads a record of a shard's index stream.
func DecodeSnapshotPointer(shard uint32, record []byte) (SnapshotPointer, error) {
	decoded := &replicationv1.SnapshotPointer{}
	if err := proto.Unmarshal(record, decoded); err != nil {
		return SnapshotPointer{}, fmt.Errorf("snapshot pointer: %w", err)
	}
	if decoded.GetShard() != shard || decoded.GetSnapshotId() == "" {
		return SnapshotPointer{}, fmt.Errorf("snapshot pointer of shard %d", decoded.GetShard())
	}
	return SnapshotPointer{
		Shard:      shard,
		SnapshotID: decoded.GetSnapshotId(),
		Offset:     decoded.GetOffset(),
		LastIndex:  decoded.GetLastIndex(),
		Generation: decoded.GetGeneration(),
		Size:       decoded.GetSize(),
	}, nil
}
