package replication

import (
	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// Member is one voting replica of a group.
type Member struct {
	Incarnation Incarnation
	Zone        string
}

// Group is a shard's replicas as its host knows them when it makes its own.
type Group struct {
	Shard uint32
	// Generation is the generation of the claim that founded the group.
	Generation uint32
	// Members are the founders of a group, or for a joining replica the members
	// last heard of.
	Members []Member
}

// Base is the point up to which a founder's host has restored the state from
// the platform's log. All founders of a generation have the same base, since
// they read the same stream up to the claim. It is zero for a joining replica.
type Base struct {
	Index uint64
	Epoch Epoch
}

// quorum is the smallest count that is a majority of size.
func quorum(size int) int {
	return size/2 + 1
}

// findMember returns the position of an incarnation, or -1.
func findMember(members []Member, incarnation Incarnation) int {
	for position, member := range members {
		if member.Incarnation == incarnation {
			return position
		}
	}
	return -1
}

// findProcess returns the position of the process's incarnation, or -1.
func findProcess(members []Member, process string) int {
	for position, member := range members {
		if member.Incarnation.Process() == process {
			return position
		}
	}
	return -1
}

func withMember(members []Member, added Member) []Member {
	changed := make([]Member, 0, len(members)+1)
	changed = append(changed, members...)
	return append(changed, added)
}

func withoutMember(members []Member, removed Incarnation) []Member {
	changed := make([]Member, 0, len(members))
	for _, member := range members {
		if member.Incarnation != removed {
			changed = append(changed, member)
		}
	}
	return changed
}

// EncodeMembers converts members to their wire form.
func EncodeMembers(members []Member) []*replicationv1.Member {
	encoded := make([]*replicationv1.Member, len(members))
	for position, member := range members {
		encoded[position] = &replicationv1.Member{
			Incarnation: string(member.Incarnation),
			Zone:        member.Zone,
		}
	}
	return encoded
}

// DecodeMembers converts members from their wire form.
func DecodeMembers(encoded []*replicationv1.Member) []Member {
	members := make([]Member, len(encoded))
	for position, member := range encoded {
		members[position] = Member{
			Incarnation: Incarnation(member.GetIncarnation()),
			Zone:        member.GetZone(),
		}
	}
	return members
}
