package replication

import (
	"time"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// silentLearnerTimeouts is after how many longest election timeouts a leader
// forgets a learner that doesn't answer.
const silentLearnerTimeouts = 4

// Admit makes the leader take a member in: first as a learner, and once it has
// caught up, by a committed change of the group. An older incarnation of the
// same process is removed before that, by a change of its own.
func (r *Replica) Admit(now time.Duration, member Member) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	if !r.canAdmit(member) {
		return ErrUnknownMember
	}
	r.addLearner(now, member)
	r.lead.find(member.Incarnation).byHost = true
	return nil
}

// Remove proposes the group without a member. A leader can't remove itself; it
// transfers the leadership first.
func (r *Replica) Remove(now time.Duration, incarnation Incarnation) error {
	if r.role != RoleLeader {
		return ErrNotLeader
	}
	if incarnation == r.self.Incarnation || findMember(r.members, incarnation) < 0 {
		return ErrUnknownMember
	}
	members := withoutMember(r.members, incarnation)
	if !r.mayChangeMembers() || !r.archivedAllows(members) {
		return ErrChangePending
	}
	if !r.canLoseNewcomer(now, members) {
		return ErrTooFewHeard
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
	for _, peer := range r.lead.peers {
		if peer.learner && peer.member.Incarnation.Process() == process {
			r.lead.remove(peer.member.Incarnation)
		}
	}
	peer := newProgress(now, member, r.log.lastIndex()+1)
	peer.learner = true
	r.lead.peers = append(r.lead.peers, peer)
}

// receiveJoinRequest takes in a process that lost its replica, or that fills a
// group up. Others need an Admit by the host. A follower passes the request on,
// once, since the joining process may not know the leader's.
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
	if !r.canAdmit(member) || r.lead.find(member.Incarnation) != nil {
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

// tickLearner asks every process last known in the group to be taken in.
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

// archivedAllows keeps the platform's log enough to judge the group by. The log
// may show any group from the last one known to be archived on, since the answer
// to a later record may be lost. Whichever it shows: once a majority of its
// processes is gone, the changed group must have no majority either. A change
// that goes further waits for the archive.
func (r *Replica) archivedAllows(changed []Member) bool {
	shown, index := r.log.membersAt(r.log.archived)
	for {
		if !impliesNoMajority(shown, changed) {
			return false
		}
		next, nextIndex := r.log.nextMembers(max(index, r.log.archived))
		if nextIndex == 0 {
			return true
		}
		shown, index = next, nextIndex
	}
}

// impliesNoMajority tells whether the changed group can't have a majority alive
// when a majority of the shown group's processes is gone. In the worst case as
// many as can be of those gone are in the shown group alone.
func impliesNoMajority(shown, changed []Member) bool {
	left := 0
	for _, member := range shown {
		if findProcess(changed, member.Incarnation.Process()) < 0 {
			left++
		}
	}
	gone := max(0, quorum(len(shown))-left)
	return len(changed)-gone < quorum(len(changed))
}

// mayChangeMembers keeps two rules that single-member changes rest on: one
// change at a time, and none before an entry of the leader's own epoch is
// committed.
func (r *Replica) mayChangeMembers() bool {
	return r.membersIndex <= r.commit &&
		r.commit >= r.lead.startIndex &&
		r.lead.transferTo == ""
}

// changeMembers puts a group into force that differs from the last by one member.
func (r *Replica) changeMembers(now time.Duration, members []Member) {
	r.appendOwn(&replicationv1.Entry{
		Kind:    KindMembers,
		Members: EncodeMembers(members),
	})
	r.refreshMembers()
	r.syncPeers(now)
}

// advanceMembers takes the next step of an admission.
func (r *Replica) advanceMembers(now time.Duration) {
	if !r.mayChangeMembers() {
		return
	}
	for _, peer := range r.lead.peers {
		if !peer.learner || !r.hasCaughtUp(now, peer) {
			continue
		}
		members := r.membersAfterAdmission(peer)
		isSafe := members != nil &&
			r.archivedAllows(members) &&
			r.canLoseNewcomer(now, members)
		if isSafe {
			r.changeMembers(now, members)
			return
		}
	}
}

// membersAfterAdmission returns the group after the next change that a
// learner's admission needs, or nil if it may not join.
func (r *Replica) membersAfterAdmission(learner *progress) []Member {
	superseded := findProcess(r.members, learner.member.Incarnation.Process())
	switch {
	case superseded >= 0:
		return withoutMember(r.members, r.members[superseded].Incarnation)
	case learner.byHost || len(r.members) < r.config.GroupSize:
		return withMember(r.members, learner.member)
	default:
		return nil
	}
}

// hasCaughtUp tells whether a learner holds all that is committed, and answers.
func (r *Replica) hasCaughtUp(now time.Duration, peer *progress) bool {
	return peer.match >= r.commit && r.isHeard(now, peer)
}

func (r *Replica) isHeard(now time.Duration, peer *progress) bool {
	return peer.heard && now-peer.acknowledged < r.config.ElectionTimeoutMin
}

// canLoseNewcomer tells whether a changed group would still have a majority if
// a member that the change adds died at once: the others heard of late must be
// one. Else a group with a dead member could lose its majority by its own
// change. A group of one can only grow by trusting the newcomer.
func (r *Replica) canLoseNewcomer(now time.Duration, changed []Member) bool {
	if len(r.members) == 1 {
		return true
	}
	heard := 0
	for _, member := range changed {
		peer := r.lead.find(member.Incarnation)
		isSelf := member.Incarnation == r.self.Incarnation
		if isSelf || (peer != nil && !peer.learner && r.isHeard(now, peer)) {
			heard++
		}
	}
	return heard >= quorum(len(changed))
}

func (r *Replica) dropSilentLearners(now time.Duration) {
	limit := silentLearnerTimeouts * r.config.ElectionTimeoutMax
	for _, peer := range r.lead.peers {
		lastSign := max(peer.acknowledged, peer.admittedAt)
		if peer.learner && now-lastSign > limit {
			r.lead.remove(peer.member.Incarnation)
		}
	}
}

// retireIfRemoved ends a replica that a committed change has removed.
func (r *Replica) retireIfRemoved() {
	isVoter := r.role == RoleFollower || r.role == RoleCandidate
	if !isVoter || r.membersIndex > r.commit {
		return
	}
	if findMember(r.members, r.self.Incarnation) < 0 {
		r.Retire()
	}
}
