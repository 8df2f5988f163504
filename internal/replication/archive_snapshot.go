package replication

import (
	"errors"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// ErrBadSnapshot says that a snapshot of the stream can't be used.
var ErrBadSnapshot = errors.New("unusable snapshot of the stream")

// maximumSnapshotChunks bounds what a reader keeps of a snapshot that says it
// has many parts.
const maximumSnapshotChunks = 1 << 16

var snapshotChecksums = crc32.MakeTable(crc32.Castagnoli)

// ArchiveSnapshot is what reading a shard's stream from its start gives, up to
// and without the record at Offset.
//
// It holds nothing but a function of that part of the stream, which never
// changes. So it is good for ever, whoever wrote it and wherever it stands: its
// reader goes on at Offset and sees every later claim and entry that a reader
// from the start sees.
type ArchiveSnapshot struct {
	Archive *Archive
	// Offset is of the record to read next.
	Offset uint64
	// State is the state machine's with all entries up to Archive.Last applied.
	State []byte
}

// EncodeArchiveSnapshot renders a snapshot, for SplitArchiveSnapshot.
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

// DecodeArchiveSnapshot reads a snapshot of a shard's stream. The error wraps
// ErrBadSnapshot.
func DecodeArchiveSnapshot(shard uint32, encoded []byte) (ArchiveSnapshot, error) {
	decoded := &replicationv1.ArchiveSnapshot{}
	if err := proto.Unmarshal(encoded, decoded); err != nil {
		return ArchiveSnapshot{}, fmt.Errorf("%w: %w", ErrBadSnapshot, err)
	}
	if decoded.GetShard() != shard {
		return ArchiveSnapshot{}, fmt.Errorf("%w: of shard %d", ErrBadSnapshot, decoded.GetShard())
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

// SplitArchiveSnapshot renders an encoded snapshot as records of the shard's
// stream of at most chunkBytes each, and a little more. The id must never have
// been used for another snapshot.
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
				Checksum:   crc32.Checksum(encoded, snapshotChecksums),
			}},
		})
		if err != nil {
			return nil, err
		}
		records[number] = record
	}
	return records, nil
}

// SnapshotCollector puts one snapshot together from the stream's records.
type SnapshotCollector struct {
	shard uint32
	id    string
	// count and checksum are those of the first part seen; 0 before it.
	count    uint32
	checksum uint32
	chunks   map[uint32][]byte
}

// NewSnapshotCollector returns a collector of the snapshot with an id.
func NewSnapshotCollector(shard uint32, id string) *SnapshotCollector {
	return &SnapshotCollector{shard: shard, id: id, chunks: make(map[uint32][]byte)}
}

// Take looks at one record of the stream and tells whether it is a part of the
// snapshot; any other record does nothing. ErrBadSnapshot is final.
func (c *SnapshotCollector) Take(record []byte) (bool, error) {
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
	isPart := chunk.GetCount() == c.count &&
		chunk.GetChecksum() == c.checksum &&
		chunk.GetNumber() < c.count &&
		c.count <= maximumSnapshotChunks
	if !isPart {
		return true, fmt.Errorf("%w: part %d of %d", ErrBadSnapshot, chunk.GetNumber(), chunk.GetCount())
	}
	c.chunks[chunk.GetNumber()] = chunk.GetData()
	return true, nil
}

// Encoded returns the encoded snapshot once every part is there, and false until
// then. The error wraps ErrBadSnapshot.
func (c *SnapshotCollector) Encoded() ([]byte, bool, error) {
	if c.count == 0 || len(c.chunks) < int(c.count) {
		return nil, false, nil
	}
	var encoded []byte
	for number := range c.count {
		encoded = append(encoded, c.chunks[number]...)
	}
	if crc32.Checksum(encoded, snapshotChecksums) != c.checksum {
		return nil, false, fmt.Errorf("%w: checksum", ErrBadSnapshot)
	}
	return encoded, true, nil
}
