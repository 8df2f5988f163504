package replication

import (
	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// Member is a voting replica of a group.
type Member struct {
	Incarnation Incarnation
	Zone        string
}

// Group is a shard's group as known to the host when it creates a replica.
type Group struct {
	Shard uint32
	// Generation is the generation of the claim that created the group.
	Generation uint32
	// Members holds the founding members, or the last known members for a replica
	// that joins.
	Members []Member
}

// Base is the log position up to which a founding member's host has restored the
// state from the platform's log. It is the same for all founding members of a
// generation, since they read the same stream up to the claim. It is zero for a
// replica that joins.
type Base struct {
	Index uint64
	Epoch Epoch
}

// quorum returns the size of the smallest majority.
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

// findProcess returns the position of a process's incarnation, or -1.
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

// EncodeMembers converts members to their wire format.
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

// DecodeMembers converts members from their wire format.
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
