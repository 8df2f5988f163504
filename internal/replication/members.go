package replication

import (
	"time"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// learnerTimeoutFactor is the number of maximum election timeouts after which a
// leader removes an unresponsive learner.
const learnerTimeoutFactor = 4

// Admit adds a member, first as a learner and, once it has caught up, as a voting
// member by a committed membership change. An older incarnation of the same process
// is removed before by a separate change.
func (r *Replica) Admit(now time.Duration, member Member) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	if !r.canAdmit(member) {
		return ErrUnknownMember
	}
	r.addLearner(now, member)
	r.leaderState.find(member.Incarnation).requestedByHost = true
	return nil
}

// Remove proposes a membership change that removes a member. A leader cannot remove
// itself; it must transfer the leadership first.
func (r *Replica) Remove(now time.Duration, incarnation Incarnation) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	if incarnation == r.self.Incarnation || findMember(r.members, incarnation) < 0 {
		return ErrUnknownMember
	}
	members := withoutMember(r.members, incarnation)
	if !r.canChangeMembers() || !r.isSafeForRebuild(members) {
		return ErrChangePending
	}
	if !r.toleratesNewMemberFailure(now, members) {
		return ErrTooFewActiveMembers
	}
	r.changeMembers(now, members)
	return nil
}

func (r *Replica) canAdmit(member Member) bool {
	process := member.Incarnation.Process()
	return process != "" &&
		process != r.self.Incarnation.Process() &&
		findMember(r.members, member.Incarnation) < 0
}

func (r *Replica) addLearner(now time.Duration, member Member) {
	process := member.Incarnation.Process()
	for _, peer := range r.leaderState.peers {
		if peer.learner && peer.member.Incarnation.Process() == process {
			r.leaderState.remove(peer.member.Incarnation)
		}
	}
	peer := newProgress(now, member, r.log.lastIndex()+1)
	peer.learner = true
	r.leaderState.peers = append(r.leaderState.peers, peer)
}

// receiveJoinRequest admits a learner that replaces an older incarnation of a
// member's process, or that fills the group up to GroupSize. Other processes need
// Admit by the host. A follower forwards the request once, since the joining process
// may not know the leader.
func (r *Replica) receiveJoinRequest(now time.Duration, from Incarnation, request *replicationv1.JoinRequest) {
	member := Member{
		Incarnation: Incarnation(request.GetMember().GetIncarnation()),
		Zone:        request.GetMember().GetZone(),
	}
	if r.role != RoleLeader {
		if r.leader != "" && from == member.Incarnation {
			r.send(r.leader, joinRequest(member))
		}
		return
	}
	if !r.canAdmit(member) || r.leaderState.find(member.Incarnation) != nil {
		return
	}
	replaces := findProcess(r.members, member.Incarnation.Process()) >= 0
	if replaces || len(r.members) < r.config.GroupSize {
		r.addLearner(now, member)
	}
}

func joinRequest(member Member) *replicationv1.Message {
	request := &replicationv1.JoinRequest{Member: EncodeMembers([]Member{member})[0]}
	return &replicationv1.Message{
		Body: &replicationv1.Message_JoinRequest{JoinRequest: request},
	}
}

// tickLearner periodically sends a join request to all known members.
func (r *Replica) tickLearner(now time.Duration) {
	if now < r.joinDeadline {
		return
	}
	r.joinDeadline = now + r.config.ElectionTimeoutMin
	for _, known := range r.members {
		process := known.Incarnation.Process()
		if process == r.self.Incarnation.Process() {
			continue
		}
		r.sendToProcess(process, "", joinRequest(r.self))
	}
}

// isSafeForRebuild reports whether the archive suffices to decide about a rebuild
// after a change of the group. The stream may contain any group from the last one
// known to be archived on, since responses to later appends may be lost. For each of
// them, losing a majority of its processes must imply that the changed group has no
// majority either. Otherwise the change must wait until more is archived.
func (r *Replica) isSafeForRebuild(changed []Member) bool {
	recorded, index := r.log.membersAt(r.log.archived)
	for {
		if !majorityLossCarriesOver(recorded, changed) {
			return false
		}
		next, nextIndex := r.log.nextMembers(max(index, r.log.archived))
		if nextIndex == 0 {
			return true
		}
		recorded, index = next, nextIndex
	}
}

// majorityLossCarriesOver reports whether the loss of a majority of the recorded
// group's processes implies that the changed group has no majority. It assumes the
// worst case, in which as many of the lost processes as possible are not in the
// changed group.
func majorityLossCarriesOver(recorded, changed []Member) bool {
	left := 0
	for _, member := range recorded {
		if findProcess(changed, member.Incarnation.Process()) < 0 {
			left++
		}
	}
	gone := max(0, quorum(len(recorded))-left)
	return len(changed)-gone < quorum(len(changed))
}

// canChangeMembers enforces the rules of single-member changes: one change at a time,
// and none before an entry of the leader's own epoch is committed.
func (r *Replica) canChangeMembers() bool {
	return r.membersIndex <= r.commit &&
		r.commit >= r.leaderState.epochStartIndex &&
		r.leaderState.transferTo == ""
}

// changeMembers appends a group that differs from the current one by one member. It
// takes effect immediately.
func (r *Replica) changeMembers(now time.Duration, members []Member) {
	r.appendEntry(&replicationv1.Entry{
		Kind:    KindMembers,
		Members: EncodeMembers(members),
	})
	r.refreshMembers()
	r.syncPeers(now)
}

// advanceMembers performs the next membership change that a learner's admission
// needs.
func (r *Replica) advanceMembers(now time.Duration) {
	if !r.canChangeMembers() {
		return
	}
	for _, peer := range r.leaderState.peers {
		if !peer.learner || !r.hasCaughtUp(now, peer) {
			continue
		}
		members := r.membersAfterAdmission(peer)
		isSafe := members != nil &&
			r.isSafeForRebuild(members) &&
			r.toleratesNewMemberFailure(now, members)
		if isSafe {
			r.changeMembers(now, members)
			return
		}
	}
}

// membersAfterAdmission returns the group after the next change needed to admit a
// learner, or nil if it may not be admitted.
func (r *Replica) membersAfterAdmission(learner *progress) []Member {
	position := findProcess(r.members, learner.member.Incarnation.Process())
	switch {
	case position >= 0:
		return withoutMember(r.members, r.members[position].Incarnation)
	case learner.requestedByHost || len(r.members) < r.config.GroupSize:
		return withMember(r.members, learner.member)
	default:
		return nil
	}
}

// hasCaughtUp reports whether a learner is active and holds all committed entries.
func (r *Replica) hasCaughtUp(now time.Duration, peer *progress) bool {
	return peer.matchIndex >= r.commit && r.isRecentlyActive(now, peer)
}

func (r *Replica) isRecentlyActive(now time.Duration, peer *progress) bool {
	return peer.hasAcked && now-peer.lastAckedSendTime < r.config.ElectionTimeoutMin
}

// toleratesNewMemberFailure reports whether the recently active members, without any
// that the change adds, are a majority of the changed group. Otherwise the failure
// of a new member could cost the group its majority. A group of one has no choice
// but to rely on the new member.
func (r *Replica) toleratesNewMemberFailure(now time.Duration, changed []Member) bool {
	if len(r.members) == 1 {
		return true
	}
	active := 0
	for _, member := range changed {
		peer := r.leaderState.find(member.Incarnation)
		isSelf := member.Incarnation == r.self.Incarnation
		if isSelf || (peer != nil && !peer.learner && r.isRecentlyActive(now, peer)) {
			active++
		}
	}
	return active >= quorum(len(changed))
}

func (r *Replica) removeUnresponsiveLearners(now time.Duration) {
	limit := learnerTimeoutFactor * r.config.ElectionTimeoutMax
	for _, peer := range r.leaderState.peers {
		lastContact := max(peer.lastAckedSendTime, peer.admittedAt)
		if peer.learner && now-lastContact > limit {
			r.leaderState.remove(peer.member.Incarnation)
		}
	}
}

// retireIfRemoved retires a replica that a committed change has removed.
func (r *Replica) retireIfRemoved() {
	isVoter := r.role == RoleFollower || r.role == RoleCandidate
	if !isVoter || r.membersIndex > r.commit {
		return
	}
	if findMember(r.members, r.self.Incarnation) < 0 {
		r.Retire()
	}
}
