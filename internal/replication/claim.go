package replication

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// ErrMajorityMayBeAlive means that the previous group may still have a majority, so
// that rebuilding could lose committed entries.
var ErrMajorityMayBeAlive = errors.New("a majority of the previous group may be alive")

// Claim creates a generation of a shard's group.
type Claim struct {
	Shard      uint32
	Generation uint32
	Members    []Member
	// ID identifies the claimant's own record if the append response was lost.
	ID string
}

// EncodeClaim encodes a claim as a stream record.
func EncodeClaim(claim Claim) ([]byte, error) {
	return proto.Marshal(&replicationv1.ArchiveRecord{
		Shard: claim.Shard,
		Body: &replicationv1.ArchiveRecord_Claim{Claim: &replicationv1.GroupClaim{
			Generation: claim.Generation,
			Members:    EncodeMembers(claim.Members),
			ClaimId:    claim.ID,
		}},
	})
}

// EncodeEntries encodes committed entries of one generation as a stream record.
// Readers ignore duplicates, so a record may be appended again if the response was
// lost.
func EncodeEntries(shard, generation uint32, entries []Entry) ([]byte, error) {
	encoded := make([]*replicationv1.Entry, len(entries))
	for position, entry := range entries {
		encoded[position] = &replicationv1.Entry{
			Index:   entry.Index,
			Epoch:   uint64(entry.Epoch),
			Kind:    entry.Kind,
			Data:    entry.Data,
			Members: EncodeMembers(entry.Members),
		}
	}
	return proto.Marshal(&replicationv1.ArchiveRecord{
		Shard: shard,
		Body: &replicationv1.ArchiveRecord_Entries{Entries: &replicationv1.ArchivedEntries{
			Generation: generation,
			Entries:    encoded,
		}},
	})
}

// Archive is the state derived from a shard's stream by reading its records in
// order. Readers of the same prefix derive the same state.
type Archive struct {
	shard   uint32
	claim   Claim
	base    Base
	last    Base
	members []Member
}

// NewArchive returns the archive of an empty stream.
func NewArchive(shard uint32) *Archive {
	return &Archive{shard: shard}
}

// Apply processes the next record of the stream and returns the entries that it adds
// to the shard's log, to be applied in order.
//
// A claim is accepted only if its generation follows the current one, so the first
// of several claims to a generation wins. Entries of another generation, duplicates
// and entries after a gap are ignored.
func (a *Archive) Apply(record []byte) ([]Entry, error) {
	decoded := &replicationv1.ArchiveRecord{}
	if err := proto.Unmarshal(record, decoded); err != nil {
		return nil, fmt.Errorf("decoding archive record: %w", err)
	}
	if decoded.GetShard() != a.shard {
		return nil, nil
	}
	switch body := decoded.GetBody().(type) {
	case *replicationv1.ArchiveRecord_Claim:
		a.readClaim(body.Claim)
	case *replicationv1.ArchiveRecord_Entries:
		return a.readEntries(body.Entries), nil
	}
	return nil, nil
}

func (a *Archive) readClaim(claim *replicationv1.GroupClaim) {
	if claim.GetGeneration() != a.claim.Generation+1 || len(claim.GetMembers()) == 0 {
		return
	}
	a.claim = Claim{
		Shard:      a.shard,
		Generation: claim.GetGeneration(),
		Members:    DecodeMembers(claim.GetMembers()),
		ID:         claim.GetClaimId(),
	}
	a.members = a.claim.Members
	a.base = a.last
}

func (a *Archive) readEntries(archived *replicationv1.ArchivedEntries) []Entry {
	if archived.GetGeneration() != a.claim.Generation {
		return nil
	}
	var added []Entry
	for _, encoded := range archived.GetEntries() {
		if encoded.GetIndex() != a.last.Index+1 {
			continue
		}
		entry := decodeEntry(encoded)
		a.last = Base{Index: entry.Index, Epoch: entry.Epoch}
		if entry.Kind == KindMembers {
			a.members = entry.Members
		}
		added = append(added, entry)
	}
	return added
}

// Claim returns the current claim. Its Generation is 0 if there is none.
func (a *Archive) Claim() Claim { return a.claim }

// Base returns the last entry before the current claim, from which its group starts.
func (a *Archive) Base() Base { return a.base }

// Last returns the last entry read.
func (a *Archive) Last() Base { return a.last }

// Members returns the latest group in the stream. The current group may differ,
// since entries are archived after they are committed.
func (a *Archive) Members() []Member { return a.members }

// NextClaim returns the claim to append in order to create the shard's first group
// or to rebuild one. A rebuild requires proof that a majority of the previous
// group's processes is gone. isGone must return true only if the platform no longer
// lists the process, or if the process has responded from a later boot, has no
// voting replica of the generation and has called Registry.Abstain for it.
//
// The claimant must obtain the proof, then read the stream to its end, wait for
// Config.RebuildDelay and append the claim. Entries that were committed but not
// archived are lost.
func (a *Archive) NextClaim(id string, founders []Member, isGone func(process string) bool) (Claim, error) {
	gone := 0
	for _, member := range a.members {
		if isGone(member.Incarnation.Process()) {
			gone++
		}
	}
	if len(a.members) > 0 && gone < quorum(len(a.members)) {
		return Claim{}, ErrMajorityMayBeAlive
	}
	return Claim{
		Shard:      a.shard,
		Generation: a.claim.Generation + 1,
		Members:    founders,
		ID:         id,
	}, nil
}
