package replication

import (
	"time"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	"github.com/magpielug/magpielug/charts"
)

// voteKind is the kind of vote that a candidate requests.
type voteKind int

const (
	// preVote asks whether a vote would be granted, so that a replica that was paused
	// or partitioned does not raise the epoch needlessly.
	preVote voteKind = iota
	// electionVote requests a vote in the next epoch.
	electionVote
	// transferVote requests a vote in the next epoch on behalf of the leader, which
	// has given up its lease.
	transferVote
)

// becomeFollower steps down, entering a higher epoch if given one. The vote is
// cleared only if the epoch rises.
func (r *Replica) becomeFollower(now time.Duration, epoch Epoch, event charts.ReplicaEvent) {
	if epoch > r.epoch {
		r.epoch = epoch
		r.votedFor = ""
	}
	r.applyEvent(event)
	r.leader = ""
	r.leaderState = nil
	r.votes = nil
	r.electionDeadline = now + r.electionDelay()
}

// followLeader records contact with the leader of the epoch and extends the time in
// which no vote is granted. It returns false if this replica is the leader itself.
func (r *Replica) followLeader(now time.Duration, leader Incarnation) bool {
	if !r.applyEvent(charts.ReplicaEventLeaderSeen) {
		return false
	}
	r.leader = leader
	r.votes = nil
	r.noVoteBefore = max(r.noVoteBefore, now+r.config.ElectionTimeoutMin)
	r.electionDeadline = now + r.electionDelay()
	return true
}

// campaign starts an election of the given kind.
func (r *Replica) campaign(now time.Duration, kind voteKind) {
	r.electionDeadline = now + r.electionDelay()
	if findMember(r.members, r.self.Incarnation) < 0 {
		return
	}
	event := charts.ReplicaEventElectionTimeout
	if kind == transferVote {
		event = charts.ReplicaEventCampaignOrdered
	}
	r.applyEvent(event)
	r.leader = ""
	r.voteKind = kind
	r.votes = map[Incarnation]bool{r.self.Incarnation: true}
	candidateEpoch := r.epoch.Next()
	if kind != preVote {
		r.epoch = candidateEpoch
		r.votedFor = r.self.Incarnation
	}
	r.requestVotes(candidateEpoch)
	r.countVotes(now)
}

func (r *Replica) requestVotes(candidateEpoch Epoch) {
	for _, member := range r.members {
		if member.Incarnation == r.self.Incarnation {
			continue
		}
		request := &replicationv1.VoteRequest{
			CandidateEpoch: uint64(candidateEpoch),
			LastIndex:      r.log.lastIndex(),
			LastEpoch:      uint64(r.log.lastEpoch()),
			PreVote:        r.voteKind == preVote,
			ByTransfer:     r.voteKind == transferVote,
		}
		r.send(member.Incarnation, &replicationv1.Message{
			Body: &replicationv1.Message_VoteRequest{VoteRequest: request},
		})
	}
}

// receiveVoteRequest handles a vote request. While a leader may hold a lease, the
// request and its epoch are ignored unless the leader gave up its lease and
// requested the election.
func (r *Replica) receiveVoteRequest(now time.Duration, message *replicationv1.Message, request *replicationv1.VoteRequest) {
	from := Incarnation(message.GetFrom())
	if !request.GetByTransfer() && r.leaseMayBeHeld(now) {
		r.sendRetireNotice(now, from, Epoch(message.GetEpoch()))
		return
	}
	candidateEpoch := Epoch(request.GetCandidateEpoch())
	if candidateEpoch.Generation() != r.generation {
		return
	}
	if request.GetPreVote() {
		granted := candidateEpoch > r.epoch && r.isUpToDate(request)
		r.respondVote(from, candidateEpoch, true, granted)
		return
	}
	if candidateEpoch > r.epoch {
		r.becomeFollower(now, candidateEpoch, charts.ReplicaEventHigherEpochSeen)
	}
	granted := candidateEpoch == r.epoch &&
		(r.votedFor == "" || r.votedFor == from) &&
		r.isUpToDate(request)
	if granted {
		r.votedFor = from
		r.electionDeadline = now + r.electionDelay()
	}
	r.respondVote(from, candidateEpoch, false, granted)
}

// leaseMayBeHeld reports whether this replica or the leader it last heard from may
// hold a lease.
func (r *Replica) leaseMayBeHeld(now time.Duration) bool {
	if r.role == RoleLeader {
		return now < r.leaseEnd(now)
	}
	return now < r.noVoteBefore
}

// sendRetireNotice tells a candidate to retire if it is known not to be a member.
func (r *Replica) sendRetireNotice(now time.Duration, from Incarnation, epoch Epoch) {
	isCertain := r.HoldsLease(now) && epoch <= r.epoch && r.membersIndex <= r.commit
	if !isCertain || findMember(r.members, from) >= 0 {
		return
	}
	r.send(from, &replicationv1.Message{
		Body: &replicationv1.Message_RetireNotice{RetireNotice: &replicationv1.RetireNotice{}},
	})
}

// isUpToDate reports whether a candidate's log is at least as up to date as this
// replica's.
func (r *Replica) isUpToDate(request *replicationv1.VoteRequest) bool {
	lastEpoch := Epoch(request.GetLastEpoch())
	if lastEpoch != r.log.lastEpoch() {
		return lastEpoch > r.log.lastEpoch()
	}
	return request.GetLastIndex() >= r.log.lastIndex()
}

func (r *Replica) respondVote(to Incarnation, candidateEpoch Epoch, isPreVote, granted bool) {
	response := &replicationv1.VoteResponse{
		CandidateEpoch: uint64(candidateEpoch),
		PreVote:        isPreVote,
		Granted:        granted,
	}
	r.send(to, &replicationv1.Message{
		Body: &replicationv1.Message_VoteResponse{VoteResponse: response},
	})
}

// receiveVoteResponse counts a vote for the current campaign. A pre-vote response
// may come from an earlier epoch.
func (r *Replica) receiveVoteResponse(now time.Duration, message *replicationv1.Message, response *replicationv1.VoteResponse) {
	if epoch := Epoch(message.GetEpoch()); epoch > r.epoch {
		r.becomeFollower(now, epoch, charts.ReplicaEventHigherEpochSeen)
		return
	}
	isPreVote := r.voteKind == preVote
	if r.role != RoleCandidate || response.GetPreVote() != isPreVote || !response.GetGranted() {
		return
	}
	expectedEpoch := r.epoch
	if isPreVote {
		expectedEpoch = r.epoch.Next()
	}
	if Epoch(response.GetCandidateEpoch()) != expectedEpoch {
		return
	}
	r.votes[Incarnation(message.GetFrom())] = true
	r.countVotes(now)
}

// countVotes counts only votes of current group members.
func (r *Replica) countVotes(now time.Duration) {
	granted := 0
	for _, member := range r.members {
		if r.votes[member.Incarnation] {
			granted++
		}
	}
	if granted < quorum(len(r.members)) {
		return
	}
	if r.voteKind == preVote {
		r.campaign(now, electionVote)
		return
	}
	r.becomeLeader(now)
}

// receiveTransferOrder starts an election immediately. It bypasses the voters'
// lease check, which is safe because it requests the next epoch: if another leader
// has been elected since, voters are already beyond that epoch.
func (r *Replica) receiveTransferOrder(now time.Duration, from Incarnation) {
	if r.role != RoleFollower || (r.leader != "" && r.leader != from) {
		return
	}
	r.campaign(now, transferVote)
}
