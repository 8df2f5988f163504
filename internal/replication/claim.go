package replication

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// ErrMajorityLives says that the old group may still have a majority, so that
// a rebuilt one could lose what it has committed.
var ErrMajorityLives = errors.New("a majority of the group may be alive")

// Claim founds a group of a shard.
type Claim struct {
	Shard      uint32
	Generation uint32
	Members    []Member
	// ID tells the claimant's own record from others after a lost answer.
	ID string
}

// EncodeClaim renders a claim as a record of the shard's stream.
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

// EncodeEntries renders committed entries of one generation as a record of the
// shard's stream. Records may be appended again after a lost answer.
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

// Archive is what a shard's stream says, read record by record in the stream's
// order. All readers that have read as far see the same.
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

// Read takes in the stream's next record and returns the entries that it adds
// to the shard's history, for the state machine to apply in order.
//
// A claim counts only if its generation is the next one: so of several claims
// to one generation, the first in the stream wins. Entries of an earlier
// generation after it don't count, nor ones that repeat or leave a gap.
func (a *Archive) Read(record []byte) ([]Entry, error) {
	decoded := &replicationv1.ArchiveRecord{}
	if err := proto.Unmarshal(record, decoded); err != nil {
		return nil, fmt.Errorf("archive record: %w", err)
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

// Claim returns the claim in force; its Generation is 0 if there is none yet.
func (a *Archive) Claim() Claim { return a.claim }

// Base returns the last entry before the claim in force, from which its group
// starts.
func (a *Archive) Base() Base { return a.base }

// Last returns the last entry of the stream so far.
func (a *Archive) Last() Base { return a.last }

// Members returns the last group that the stream knows of. The group may have
// changed since, as entries are archived after they are committed.
func (a *Archive) Members() []Member { return a.members }

// NextClaim returns the claim to append in order to found the shard's first
// group, or to rebuild one. A rebuild needs the proof that a majority of the old
// group's processes is gone, which isGone gives for one process: the platform
// lists it no more, or it has answered in another boot, holds no voting replica
// of the generation and has promised by Registry.Abstain to have none.
//
// The claimant gathers the proof, reads the stream to its end after that, waits
// Config.RebuildDelay and appends the claim. What the old group had committed
// but not archived is lost with its majority.
func (a *Archive) NextClaim(id string, founders []Member, isGone func(process string) bool) (Claim, error) {
	gone := 0
	for _, member := range a.members {
		if isGone(member.Incarnation.Process()) {
			gone++
		}
	}
	if len(a.members) > 0 && gone < quorum(len(a.members)) {
		return Claim{}, ErrMajorityLives
	}
	return Claim{
		Shard:      a.shard,
		Generation: a.claim.Generation + 1,
		Members:    founders,
		ID:         id,
	}, nil
}
