package replication

import (
	"errors"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// ErrInvalidSnapshot means that an archive snapshot cannot be used.
var ErrInvalidSnapshot = errors.New("invalid archive snapshot")

// maxSnapshotChunks limits the number of chunks that a reader accepts for one
// snapshot.
const maxSnapshotChunks = 1 << 16

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// ArchiveSnapshot is the result of reading a shard's stream from its start up to,
// but not including, the record at Offset.
//
// It depends only on that immutable prefix of the stream, so it stays valid
// regardless of who wrote it and where in the stream it is stored. A reader that
// starts from it and continues at Offset reaches the same result as a reader from
// the start.
type ArchiveSnapshot struct {
	Archive *Archive
	// Offset is the offset of the next record to read.
	Offset uint64
	// State is the state machine's state with all entries up to Archive.Last applied.
	State []byte
}

// EncodeArchiveSnapshot encodes a snapshot for SplitArchiveSnapshot.
func EncodeArchiveSnapshot(snapshot ArchiveSnapshot) ([]byte, error) {
	archive := snapshot.Archive
	return proto.Marshal(&replicationv1.ArchiveSnapshot{
		Shard:  archive.shard,
		Offset: snapshot.Offset,
		Claim: &replicationv1.GroupClaim{
			Generation: archive.claim.Generation,
			Members:    EncodeMembers(archive.claim.Members),
			ClaimId:    archive.claim.ID,
		},
		BaseIndex: archive.base.Index,
		BaseEpoch: uint64(archive.base.Epoch),
		LastIndex: archive.last.Index,
		LastEpoch: uint64(archive.last.Epoch),
		Members:   EncodeMembers(archive.members),
		State:     snapshot.State,
	})
}

// DecodeArchiveSnapshot decodes a snapshot of a shard's stream. The error wraps
// ErrInvalidSnapshot.
func DecodeArchiveSnapshot(shard uint32, encoded []byte) (ArchiveSnapshot, error) {
	decoded := &replicationv1.ArchiveSnapshot{}
	if err := proto.Unmarshal(encoded, decoded); err != nil {
		return ArchiveSnapshot{}, fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	if decoded.GetShard() != shard {
		return ArchiveSnapshot{}, fmt.Errorf("%w: it belongs to shard %d", ErrInvalidSnapshot, decoded.GetShard())
	}
	archive := &Archive{
		shard:   shard,
		base:    Base{Index: decoded.GetBaseIndex(), Epoch: Epoch(decoded.GetBaseEpoch())},
		last:    Base{Index: decoded.GetLastIndex(), Epoch: Epoch(decoded.GetLastEpoch())},
		members: DecodeMembers(decoded.GetMembers()),
	}
	if claim := decoded.GetClaim(); claim.GetGeneration() > 0 {
		archive.claim = Claim{
			Shard:      shard,
			Generation: claim.GetGeneration(),
			Members:    DecodeMembers(claim.GetMembers()),
			ID:         claim.GetClaimId(),
		}
	}
	return ArchiveSnapshot{Archive: archive, Offset: decoded.GetOffset(), State: decoded.GetState()}, nil
}

// SplitArchiveSnapshot splits an encoded snapshot into stream records with at most
// chunkBytes of data each. The ID must be unique among all snapshots of the shard.
func SplitArchiveSnapshot(shard uint32, id string, encoded []byte, chunkBytes int) ([][]byte, error) {
	count := max(1, (len(encoded)+chunkBytes-1)/chunkBytes)
	records := make([][]byte, count)
	for number := range records {
		end := min(len(encoded), (number+1)*chunkBytes)
		record, err := proto.Marshal(&replicationv1.ArchiveRecord{
			Shard: shard,
			Body: &replicationv1.ArchiveRecord_SnapshotChunk{SnapshotChunk: &replicationv1.ArchiveSnapshotChunk{
				SnapshotId: id,
				Number:     uint32(number),
				Count:      uint32(count),
				Data:       encoded[number*chunkBytes : end],
				Checksum:   crc32.Checksum(encoded, castagnoliTable),
			}},
		})
		if err != nil {
			return nil, err
		}
		records[number] = record
	}
	return records, nil
}

// SnapshotCollector reassembles one snapshot from the records of a stream.
type SnapshotCollector struct {
	shard uint32
	id    string
	// count and checksum are taken from the first chunk; count is 0 before it.
	count    uint32
	checksum uint32
	chunks   map[uint32][]byte
}

// NewSnapshotCollector returns a collector for the snapshot with the given ID.
func NewSnapshotCollector(shard uint32, id string) *SnapshotCollector {
	return &SnapshotCollector{shard: shard, id: id, chunks: make(map[uint32][]byte)}
}

// AddRecord processes one stream record and reports whether it is a chunk of the
// snapshot. Other records are ignored. After ErrInvalidSnapshot the snapshot cannot
// be recovered.
func (c *SnapshotCollector) AddRecord(record []byte) (bool, error) {
	decoded := &replicationv1.ArchiveRecord{}
	if proto.Unmarshal(record, decoded) != nil || decoded.GetShard() != c.shard {
		return false, nil
	}
	chunk := decoded.GetSnapshotChunk()
	if chunk == nil || chunk.GetSnapshotId() != c.id {
		return false, nil
	}
	if c.count == 0 {
		c.count = chunk.GetCount()
		c.checksum = chunk.GetChecksum()
	}
	isConsistent := chunk.GetCount() == c.count &&
		chunk.GetChecksum() == c.checksum &&
		chunk.GetNumber() < c.count &&
		c.count <= maxSnapshotChunks
	if !isConsistent {
		return true, fmt.Errorf("%w: inconsistent chunk %d of %d", ErrInvalidSnapshot, chunk.GetNumber(), chunk.GetCount())
	}
	c.chunks[chunk.GetNumber()] = chunk.GetData()
	return true, nil
}

// Assemble returns the encoded snapshot, or false while chunks are missing. The error
// wraps ErrInvalidSnapshot.
func (c *SnapshotCollector) Assemble() ([]byte, bool, error) {
	if c.count == 0 || len(c.chunks) < int(c.count) {
		return nil, false, nil
	}
	var encoded []byte
	for number := range c.count {
		encoded = append(encoded, c.chunks[number]...)
	}
	if crc32.Checksum(encoded, castagnoliTable) != c.checksum {
		return nil, false, fmt.Errorf("%w: checksum mismatch", ErrInvalidSnapshot)
	}
	return encoded, true, nil
}
