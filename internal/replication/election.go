package replication

import (
	"time"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	"github.com/magpielug/magpielug/charts"
)

// ballot is what a candidate asks for.
type ballot int

const (
	// preVote asks whether a vote would be given, so that a replica that was
	// paused or cut off doesn't raise the epoch in vain.
	preVote ballot = iota
	// fullVote asks for the vote of the next epoch.
	fullVote
	// orderedVote does so at the order of the leader, which has given up its lease.
	orderedVote
)

// becomeFollower enters an epoch, or steps back within it, for a cause that the
// chart names. The vote is forgotten only when the epoch rises.
func (r *Replica) becomeFollower(now time.Duration, epoch Epoch, cause charts.ReplicaEvent) {
	if epoch > r.epoch {
		r.epoch = epoch
		r.votedFor = ""
	}
	r.fire(cause)
	r.leader = ""
	r.lead = nil
	r.votes = nil
	r.electionDeadline = now + r.electionDelay()
}

// followLeader takes note of a sign of life of the epoch's leader, and promises
// it the time of a lease. It returns false if this replica itself leads the
// epoch, so that the sign can't be genuine.
func (r *Replica) followLeader(now time.Duration, leader Incarnation) bool {
	if !r.fire(charts.ReplicaEventLeaderSeen) {
		return false
	}
	r.leader = leader
	r.votes = nil
	r.promiseEnd = max(r.promiseEnd, now+r.config.ElectionTimeoutMin)
	r.electionDeadline = now + r.electionDelay()
	return true
}

// campaign asks the group for votes.
func (r *Replica) campaign(now time.Duration, wanted ballot) {
	r.electionDeadline = now + r.electionDelay()
	if findMember(r.members, r.self.Incarnation) < 0 {
		return
	}
	cause := charts.ReplicaEventElectionTimeout
	if wanted == orderedVote {
		cause = charts.ReplicaEventCampaignOrdered
	}
	r.fire(cause)
	r.leader = ""
	r.ballot = wanted
	r.votes = map[Incarnation]bool{r.self.Incarnation: true}
	candidateEpoch := r.epoch.Next()
	if wanted != preVote {
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
			PreVote:        r.ballot == preVote,
			ByTransfer:     r.ballot == orderedVote,
		}
		r.send(member.Incarnation, &replicationv1.Message{
			Body: &replicationv1.Message_VoteRequest{VoteRequest: request},
		})
	}
}

// receiveVoteRequest decides about a vote. While a leader may hold a lease the
// request is ignored, its epoch too; only a campaign that the leader itself
// has ordered, after giving up its lease, passes.
func (r *Replica) receiveVoteRequest(now time.Duration, message *replicationv1.Message, request *replicationv1.VoteRequest) {
	from := Incarnation(message.GetFrom())
	if !request.GetByTransfer() && r.leaseMayHold(now) {
		r.noticeRemoved(now, from, Epoch(message.GetEpoch()))
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

// leaseMayHold tells whether a leader known here may hold a lease.
func (r *Replica) leaseMayHold(now time.Duration) bool {
	if r.role == RoleLeader {
		return now < r.leaseEnd(now)
	}
	return now < r.promiseEnd
}

// noticeRemoved answers a campaigner that the leader knows to be no member.
func (r *Replica) noticeRemoved(now time.Duration, from Incarnation, epoch Epoch) {
	isCertain := r.HoldsLease(now) && epoch <= r.epoch && r.membersIndex <= r.commit
	if !isCertain || findMember(r.members, from) >= 0 {
		return
	}
	r.send(from, &replicationv1.Message{
		Body: &replicationv1.Message_RetireNotice{RetireNotice: &replicationv1.RetireNotice{}},
	})
}

// isUpToDate tells whether a candidate's log holds all that could be committed
// as far as this replica's log shows.
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

// receiveVoteResponse counts a vote for the campaign under way. The answer to a
// pre-vote may come from an earlier epoch.
func (r *Replica) receiveVoteResponse(now time.Duration, message *replicationv1.Message, response *replicationv1.VoteResponse) {
	if epoch := Epoch(message.GetEpoch()); epoch > r.epoch {
		r.becomeFollower(now, epoch, charts.ReplicaEventHigherEpochSeen)
		return
	}
	isPreVote := r.ballot == preVote
	if r.role != RoleCandidate || response.GetPreVote() != isPreVote || !response.GetGranted() {
		return
	}
	campaigned := r.epoch
	if isPreVote {
		campaigned = r.epoch.Next()
	}
	if Epoch(response.GetCandidateEpoch()) != campaigned {
		return
	}
	r.votes[Incarnation(message.GetFrom())] = true
	r.countVotes(now)
}

// countVotes counts only the votes of incarnations in the group.
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
	if r.ballot == preVote {
		r.campaign(now, fullVote)
		return
	}
	r.becomeLeader(now)
}

// receiveTransferOrder campaigns at once at the leader's own order. The
// campaign is for the very next epoch and passes by the voters' promises; any
// leader since would have raised the voters' epochs beyond it.
func (r *Replica) receiveTransferOrder(now time.Duration, from Incarnation) {
	if r.role != RoleFollower || (r.leader != "" && r.leader != from) {
		return
	}
	r.campaign(now, orderedVote)
}
