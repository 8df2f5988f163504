package replication_test

import (
	"math/rand"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	"github.com/magpielug/magpielug/internal/replication"
)

const (
	self  = "a#1"
	peerB = "b#1"
	peerC = "c#1"
)

// replicaHarness is a replica whose peers are simulated by the test.
type replicaHarness struct {
	replica *replication.Replica
	now     time.Duration
}

func newHarness(config replication.Config) *replicaHarness {
	members := namedMembers(peerB, self, peerC)
	group := replication.Group{Shard: 1, Generation: 1, Members: members}
	now := time.Hour
	replica, err := replication.New(config, now, members[1], group, replication.Base{}, rand.New(rand.NewSource(1)))
	Expect(err).NotTo(HaveOccurred())
	return &replicaHarness{replica: replica, now: now}
}

// receive passes a message to the replica and returns its responses.
func (h *replicaHarness) receive(from string, epoch replication.Epoch, message *replicationv1.Message) []*replicationv1.Message {
	message.Shard = 1
	message.Epoch = uint64(epoch)
	message.From = from
	message.To = self
	h.replica.Receive(h.now, message)
	return messagesOf(h.replica.Ready(h.now))
}

func messagesOf(output replication.Output) []*replicationv1.Message {
	messages := []*replicationv1.Message{}
	for _, envelope := range output.Messages {
		messages = append(messages, envelope.Message)
	}
	return messages
}

func appendMessage(previous uint64, previousEpoch replication.Epoch, entries ...*replicationv1.Entry) *replicationv1.Message {
	return &replicationv1.Message{Body: &replicationv1.Message_AppendRequest{
		AppendRequest: &replicationv1.AppendRequest{
			PreviousIndex: previous, PreviousEpoch: uint64(previousEpoch), Entries: entries, SentAt: 1,
		},
	}}
}

func (h *replicaHarness) acknowledge(from string, index uint64) []*replicationv1.Message {
	return h.receive(from, h.replica.Epoch(), &replicationv1.Message{
		Body: &replicationv1.Message_AppendResponse{AppendResponse: &replicationv1.AppendResponse{
			Success: true, Index: index, SentAt: int64(h.now),
		}},
	})
}

func entryOf(index uint64, epoch replication.Epoch) *replicationv1.Entry {
	return &replicationv1.Entry{Index: index, Epoch: uint64(epoch)}
}

// elect makes the replica leader of the next epoch with the vote of c.
func (h *replicaHarness) elect() {
	h.now += time.Minute
	h.replica.Tick(h.now)
	candidateEpoch := h.replica.Epoch().Next()
	for _, preVote := range []bool{true, false} {
		h.receive(peerC, h.replica.Epoch(), &replicationv1.Message{
			Body: &replicationv1.Message_VoteResponse{VoteResponse: &replicationv1.VoteResponse{
				CandidateEpoch: uint64(candidateEpoch), PreVote: preVote, Granted: true,
			}},
		})
	}
	Expect(h.replica.Role()).To(Equal(replication.RoleLeader))
}

var _ = Describe("A replica", func() {
	first := replication.MakeEpoch(1, 1)

	It("votes once per epoch, for an up-to-date log, and not while its leader may hold a lease", func() {
		h := newHarness(replication.DefaultConfig())
		h.receive(peerB, first, appendMessage(0, 0, entryOf(1, first)))
		ask := func(from string, request *replicationv1.VoteRequest) []*replicationv1.Message {
			request.CandidateEpoch = uint64(first.Next())
			return h.receive(from, first, &replicationv1.Message{
				Body: &replicationv1.Message_VoteRequest{VoteRequest: request},
			})
		}
		current := func() *replicationv1.VoteRequest {
			return &replicationv1.VoteRequest{LastIndex: 1, LastEpoch: uint64(first)}
		}
		Expect(ask(peerC, current())).To(BeEmpty())
		h.now += replication.DefaultConfig().ElectionTimeoutMin
		Expect(ask(peerC, &replicationv1.VoteRequest{PreVote: true})[0].GetVoteResponse().GetGranted()).To(BeFalse())
		Expect(ask(peerC, &replicationv1.VoteRequest{})[0].GetVoteResponse().GetGranted()).To(BeFalse())
		Expect(ask(peerC, current())[0].GetVoteResponse().GetGranted()).To(BeTrue())
		Expect(ask(peerB, current())[0].GetVoteResponse().GetGranted()).To(BeFalse())
	})

	It("commits entries of earlier epochs only with one of its own epoch", func() {
		h := newHarness(replication.DefaultConfig())
		h.receive(peerB, first, appendMessage(0, 0, entryOf(1, first)))
		h.elect()
		h.acknowledge(peerC, 1)
		Expect(h.replica.CommittedIndex()).To(BeZero())
		h.acknowledge(peerC, 2)
		Expect(h.replica.CommittedIndex()).To(BeEquivalentTo(2))
	})

	It("marks a heartbeat optional only if the member has responded within half an interval", func() {
		config := replication.DefaultConfig()
		h := newHarness(config)
		h.elect()
		h.acknowledge(peerC, 1)
		optional := func() map[string]bool {
			found := map[string]bool{}
			h.replica.Tick(h.now)
			for _, envelope := range h.replica.Ready(h.now).Messages {
				if envelope.Message.GetHeartbeat() != nil {
					found[envelope.Message.GetTo()] = envelope.Optional
				}
			}
			return found
		}
		answered := h.now
		h.now = (h.now/config.HeartbeatInterval + 1) * config.HeartbeatInterval
		Expect(optional()).To(Equal(map[string]bool{peerB: false, peerC: h.now-answered < config.HeartbeatInterval/2}))
		h.acknowledge(peerC, 1)
		h.now += config.HeartbeatInterval
		Expect(optional()).To(Equal(map[string]bool{peerB: false, peerC: false}))
		h.now += config.HeartbeatInterval - 1
		h.acknowledge(peerC, 1)
		h.now++
		Expect(optional()).To(Equal(map[string]bool{peerB: false, peerC: true}))
	})

	It("commits nothing on a response that arrives after the lease expired", func() {
		config := replication.DefaultConfig()
		h := newHarness(config)
		h.elect()
		sent := h.now
		late := &replicationv1.Message{Body: &replicationv1.Message_AppendResponse{
			AppendResponse: &replicationv1.AppendResponse{Success: true, Index: 1, SentAt: int64(sent)},
		}}
		h.now += config.LeaseDuration
		h.receive(peerC, h.replica.Epoch(), late)
		Expect(h.replica.CommittedIndex()).To(BeZero())
		h.acknowledge(peerC, 1)
		Expect(h.replica.CommittedIndex()).To(BeEquivalentTo(1))
	})

	It("changes one member at a time, after committing an entry of its epoch", func() {
		h := newHarness(replication.DefaultConfig())
		h.elect()
		Expect(h.replica.Remove(h.now, peerB)).To(MatchError(replication.ErrChangePending))
		h.acknowledge(peerC, 1)
		Expect(h.replica.Remove(h.now, peerB)).To(Succeed())
		Expect(h.replica.Remove(h.now, peerC)).To(MatchError(replication.ErrChangePending))
		Expect(h.replica.Remove(h.now, self)).To(MatchError(replication.ErrUnknownMember))
	})

	It("forwards a join request to the leader, once", func() {
		h := newHarness(replication.DefaultConfig())
		h.receive(peerB, first, appendMessage(0, 0))
		join := func(from string) []*replicationv1.Message {
			return h.receive(from, replication.MakeEpoch(1, 0), &replicationv1.Message{
				Body: &replicationv1.Message_JoinRequest{JoinRequest: &replicationv1.JoinRequest{
					Member: &replicationv1.Member{Incarnation: "c#2"},
				}},
			})
		}
		Expect(join("c#2")[0].GetTo()).To(Equal(peerB))
		Expect(join(peerC)).To(BeEmpty())
	})

	It("adds no member whose failure would cost the group its majority", func() {
		h := newHarness(replication.DefaultConfig())
		h.elect()
		h.acknowledge(peerC, 1)
		h.now += replication.DefaultConfig().ElectionTimeoutMin
		h.acknowledge(peerC, 1)
		Expect(h.replica.Admit(h.now, replication.Member{Incarnation: "d#1"})).To(Succeed())
		h.acknowledge("d#1", 1)
		Expect(h.replica.Members()).To(HaveLen(3), "b is unresponsive: a majority of four would need d")
		Expect(h.replica.Remove(h.now, peerC)).To(MatchError(replication.ErrTooFewActiveMembers))
		h.acknowledge(peerB, 1)
		Expect(h.replica.Members()).To(HaveLen(4))
	})

	It("adds a process's new incarnation only after removal of the previous one is committed", func() {
		h := newHarness(replication.DefaultConfig())
		h.elect()
		h.acknowledge(peerC, 1)
		Expect(h.replica.Remove(h.now, peerB)).To(Succeed())
		Expect(h.replica.Admit(h.now, replication.Member{Incarnation: "b#2"})).To(Succeed())
		h.acknowledge("b#2", 2)
		Expect(h.replica.Members()).To(HaveLen(2))
		h.acknowledge(peerC, 2)
		Expect(h.replica.Members()).To(HaveLen(3))
	})

	It("rejects a change that is unsafe for a rebuild from any group that may be archived", func() {
		h := newHarness(replication.DefaultConfig())
		h.elect()
		answer := func(index uint64, members ...string) {
			for _, member := range members {
				h.acknowledge(member, index)
			}
		}
		answer(1, peerB, peerC)
		Expect(h.replica.Admit(h.now, replication.Member{Incarnation: "d#1"})).To(Succeed())
		answer(1, "d#1")
		answer(2, peerB, peerC, "d#1")
		h.replica.SetArchived(2)
		Expect(h.replica.Remove(h.now, peerC)).To(Succeed())
		answer(3, peerB, "d#1")
		Expect(h.replica.Admit(h.now, replication.Member{Incarnation: "c#2"})).To(Succeed())
		answer(3, "c#2")
		answer(4, peerB, "d#1", "c#2")
		Expect(h.replica.Members()).To(HaveLen(4))
		Expect(h.replica.Remove(h.now, peerB)).To(MatchError(replication.ErrChangePending),
			"the archived group may be a, b and d, of which a and b may be gone while c and d are alive")
		h.replica.SetArchived(4)
		Expect(h.replica.Remove(h.now, peerB)).To(Succeed())
	})

	It("keeps acknowledged entries after a delayed snapshot of earlier ones", func() {
		h := newHarness(replication.DefaultConfig())
		h.receive(peerB, first, appendMessage(0, 0, entryOf(1, first), entryOf(2, first), entryOf(3, first)))
		payload := encode(&replicationv1.Snapshot{Index: 2, Epoch: uint64(first), State: []byte("state")})
		h.receive(peerB, first, chunkMessage(2, 0, uint64(len(payload)), payload))
		answers := h.receive(peerB, first, appendMessage(3, first))
		Expect(answers[0].GetAppendResponse().GetSuccess()).To(BeTrue())
		Expect(h.replica.CommittedIndex()).To(BeEquivalentTo(2))
	})

	It("resumes a snapshot at the offset the receiver reports, even if it moved back", func() {
		config := replication.DefaultConfig()
		config.KeepEntries = 0
		config.SnapshotChunkBytes = 10
		h := newHarness(config)
		h.receive(peerB, first, appendMessage(0, 0, entryOf(1, first)))
		h.elect()
		h.acknowledge(peerC, 2)
		h.replica.SetArchived(2)
		h.replica.Ready(h.now)
		h.receive(peerB, h.replica.Epoch(), &replicationv1.Message{
			Body: &replicationv1.Message_AppendResponse{AppendResponse: &replicationv1.AppendResponse{Index: 1}},
		})
		Expect(h.replica.ProvideSnapshot(h.now, make([]byte, 100))).To(Succeed())
		h.replica.Ready(h.now)
		ack := func(received uint64, sentAt time.Duration) []*replicationv1.Message {
			return h.receive(peerB, h.replica.Epoch(), &replicationv1.Message{
				Body: &replicationv1.Message_SnapshotAck{SnapshotAck: &replicationv1.SnapshotAck{
					Index: 2, Received: received, SentAt: int64(sentAt),
				}},
			})
		}
		sentAt := h.now
		h.now += time.Millisecond
		Expect(ack(30, sentAt)[0].GetSnapshotChunk().GetOffset()).To(BeEquivalentTo(30))
		Expect(ack(10, sentAt)).To(BeEmpty(), "a response to an earlier chunk")
		Expect(ack(20, h.now)[0].GetSnapshotChunk().GetOffset()).To(BeEquivalentTo(20))
	})

	It("retires on a message of a later generation and ignores those of an earlier one", func() {
		h := newHarness(replication.DefaultConfig())
		h.receive(peerB, replication.MakeEpoch(0, 9), appendMessage(0, 0, entryOf(1, first)))
		Expect(h.replica.Leader()).To(BeEmpty())
		h.receive(peerB, replication.MakeEpoch(2, 0), appendMessage(0, 0))
		Expect(h.replica.Role()).To(Equal(replication.RoleRetired))
	})

	It("rejects proposals without a lease or with a full backlog", func() {
		config := replication.DefaultConfig()
		config.MaxBacklogBytes = 1000
		h := newHarness(config)
		_, err := h.replica.Propose(h.now, nil)
		Expect(err).To(MatchError(replication.ErrNotLeader))
		h.elect()
		_, err = h.replica.Propose(h.now, nil)
		Expect(err).To(MatchError(replication.ErrNoLease))
		h.acknowledge(peerC, 1)
		_, err = h.replica.Propose(h.now, make([]byte, 1000))
		Expect(err).To(MatchError(replication.ErrBacklogFull))
		_, err = h.replica.Propose(h.now, make([]byte, 10))
		Expect(err).NotTo(HaveOccurred())
		Expect(h.replica.HoldsLease(h.now + config.LeaseDuration)).To(BeFalse())
	})

	It("rejects a lease duration that would not be exclusive", func() {
		config := replication.DefaultConfig()
		config.LeaseDuration = config.ElectionTimeoutMin
		Expect(config.Validate()).To(MatchError(replication.ErrInvalidConfig))
	})
})
