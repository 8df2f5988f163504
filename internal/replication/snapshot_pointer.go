package replication

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// SnapshotPointer is a record of a shard's index stream that tells where to find a
// snapshot. It is only a hint: readers validate the snapshot itself.
type SnapshotPointer struct {
	Shard      uint32
	SnapshotID string
	// Offset is the snapshot's ArchiveSnapshot.Offset. Its chunks are stored at that
	// offset or later.
	Offset uint64
	// LastIndex is the index of the last entry in the snapshot.
	LastIndex  uint64
	Generation uint32
	// Size is the size of the encoded snapshot in bytes.
	Size uint64
}

// EncodeSnapshotPointer encodes a pointer as a record of the index stream.
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

// DecodeSnapshotPointer decodes a record of a shard's index stream.
func DecodeSnapshotPointer(shard uint32, record []byte) (SnapshotPointer, error) {
	decoded := &replicationv1.SnapshotPointer{}
	if err := proto.Unmarshal(record, decoded); err != nil {
		return SnapshotPointer{}, fmt.Errorf("decoding snapshot pointer: %w", err)
	}
	if decoded.GetShard() != shard || decoded.GetSnapshotId() == "" {
		return SnapshotPointer{}, fmt.Errorf("invalid snapshot pointer: wrong shard (%d) or missing ID", decoded.GetShard())
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
