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

// bench is one replica whose peers are played by the test.
type bench struct {
	replica *replication.Replica
	now     time.Duration
}

func newBench(config replication.Config) *bench {
	members := namedMembers(peerB, self, peerC)
	group := replication.Group{Shard: 1, Generation: 1, Members: members}
	now := time.Hour
	replica, err := replication.New(config, now, members[1], group, replication.Base{}, rand.New(rand.NewSource(1)))
	Expect(err).NotTo(HaveOccurred())
	return &bench{replica: replica, now: now}
}

// receive feeds a message and returns the answers.
func (b *bench) receive(from string, epoch replication.Epoch, message *replicationv1.Message) []*replicationv1.Message {
	message.Shard = 1
	message.Epoch = uint64(epoch)
	message.From = from
	message.To = self
	b.replica.Receive(b.now, message)
	return messagesOf(b.replica.Ready(b.now))
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

func (b *bench) acknowledge(from string, index uint64) []*replicationv1.Message {
	return b.receive(from, b.replica.Epoch(), &replicationv1.Message{
		Body: &replicationv1.Message_AppendResponse{AppendResponse: &replicationv1.AppendResponse{
			Success: true, Index: index, SentAt: int64(b.now),
		}},
	})
}

func entryOf(index uint64, epoch replication.Epoch) *replicationv1.Entry {
	return &replicationv1.Entry{Index: index, Epoch: uint64(epoch)}
}

// elect makes the replica the leader of the next epoch by the vote of c.
func (b *bench) elect() {
	b.now += time.Minute
	b.replica.Tick(b.now)
	candidateEpoch := b.replica.Epoch().Next()
	for _, preVote := range []bool{true, false} {
		b.receive(peerC, b.replica.Epoch(), &replicationv1.Message{
			Body: &replicationv1.Message_VoteResponse{VoteResponse: &replicationv1.VoteResponse{
				CandidateEpoch: uint64(candidateEpoch), PreVote: preVote, Granted: true,
			}},
		})
	}
	Expect(b.replica.Role()).To(Equal(replication.RoleLeader))
}

var _ = Describe("A replica", func() {
	first := replication.MakeEpoch(1, 1)

	It("votes once an epoch, for a log as new as its own, and not while its leader may lead", func() {
		b := newBench(replication.DefaultConfig())
		b.receive(peerB, first, appendMessage(0, 0, entryOf(1, first)))
		ask := func(from string, request *replicationv1.VoteRequest) []*replicationv1.Message {
			request.CandidateEpoch = uint64(first.Next())
			return b.receive(from, first, &replicationv1.Message{
				Body: &replicationv1.Message_VoteRequest{VoteRequest: request},
			})
		}
		current := func() *replicationv1.VoteRequest {
			return &replicationv1.VoteRequest{LastIndex: 1, LastEpoch: uint64(first)}
		}
		Expect(ask(peerC, current())).To(BeEmpty())
		b.now += replication.DefaultConfig().ElectionTimeoutMin
		Expect(ask(peerC, &replicationv1.VoteRequest{PreVote: true})[0].GetVoteResponse().GetGranted()).To(BeFalse())
		Expect(ask(peerC, &replicationv1.VoteRequest{})[0].GetVoteResponse().GetGranted()).To(BeFalse())
		Expect(ask(peerC, current())[0].GetVoteResponse().GetGranted()).To(BeTrue())
		Expect(ask(peerB, current())[0].GetVoteResponse().GetGranted()).To(BeFalse())
	})

	It("commits an earlier epoch's entry only with one of its own", func() {
		b := newBench(replication.DefaultConfig())
		b.receive(peerB, first, appendMessage(0, 0, entryOf(1, first)))
		b.elect()
		b.acknowledge(peerC, 1)
		Expect(b.replica.CommittedIndex()).To(BeZero())
		b.acknowledge(peerC, 2)
		Expect(b.replica.CommittedIndex()).To(BeEquivalentTo(2))
	})

	It("holds a heartbeat spare to a member that has answered within half an interval only", func() {
		config := replication.DefaultConfig()
		b := newBench(config)
		b.elect()
		b.acknowledge(peerC, 1)
		spare := func() map[string]bool {
			found := map[string]bool{}
			b.replica.Tick(b.now)
			for _, envelope := range b.replica.Ready(b.now).Messages {
				if envelope.Message.GetHeartbeat() != nil {
					found[envelope.Message.GetTo()] = envelope.Spare
				}
			}
			return found
		}
		answered := b.now
		b.now = (b.now/config.HeartbeatInterval + 1) * config.HeartbeatInterval
		Expect(spare()).To(Equal(map[string]bool{peerB: false, peerC: b.now-answered < config.HeartbeatInterval/2}))
		b.acknowledge(peerC, 1)
		b.now += config.HeartbeatInterval
		Expect(spare()).To(Equal(map[string]bool{peerB: false, peerC: false}))
		b.now += config.HeartbeatInterval - 1
		b.acknowledge(peerC, 1)
		b.now++
		Expect(spare()).To(Equal(map[string]bool{peerB: false, peerC: true}))
	})

	It("commits nothing on an answer that comes after the lease", func() {
		config := replication.DefaultConfig()
		b := newBench(config)
		b.elect()
		sent := b.now
		late := &replicationv1.Message{Body: &replicationv1.Message_AppendResponse{
			AppendResponse: &replicationv1.AppendResponse{Success: true, Index: 1, SentAt: int64(sent)},
		}}
		b.now += config.LeaseDuration
		b.receive(peerC, b.replica.Epoch(), late)
		Expect(b.replica.CommittedIndex()).To(BeZero())
		b.acknowledge(peerC, 1)
		Expect(b.replica.CommittedIndex()).To(BeEquivalentTo(1))
	})

	It("changes no member before an entry of its epoch is committed, and one at a time", func() {
		b := newBench(replication.DefaultConfig())
		b.elect()
		Expect(b.replica.Remove(b.now, peerB)).To(MatchError(replication.ErrChangePending))
		b.acknowledge(peerC, 1)
		Expect(b.replica.Remove(b.now, peerB)).To(Succeed())
		Expect(b.replica.Remove(b.now, peerC)).To(MatchError(replication.ErrChangePending))
		Expect(b.replica.Remove(b.now, self)).To(MatchError(replication.ErrUnknownMember))
	})

	It("passes a joining process's request on to the leader, once", func() {
		b := newBench(replication.DefaultConfig())
		b.receive(peerB, first, appendMessage(0, 0))
		join := func(from string) []*replicationv1.Message {
			return b.receive(from, replication.MakeEpoch(1, 0), &replicationv1.Message{
				Body: &replicationv1.Message_JoinRequest{JoinRequest: &replicationv1.JoinRequest{
					Member: &replicationv1.Member{Incarnation: "c#2"},
				}},
			})
		}
		Expect(join("c#2")[0].GetTo()).To(Equal(peerB))
		Expect(join(peerC)).To(BeEmpty())
	})

	It("adds no member that the group could not lose again", func() {
		b := newBench(replication.DefaultConfig())
		b.elect()
		b.acknowledge(peerC, 1)
		b.now += replication.DefaultConfig().ElectionTimeoutMin
		b.acknowledge(peerC, 1)
		Expect(b.replica.Admit(b.now, replication.Member{Incarnation: "d#1"})).To(Succeed())
		b.acknowledge("d#1", 1)
		Expect(b.replica.Members()).To(HaveLen(3), "b is silent: a majority of four would need d")
		Expect(b.replica.Remove(b.now, peerC)).To(MatchError(replication.ErrTooFewHeard))
		b.acknowledge(peerB, 1)
		Expect(b.replica.Members()).To(HaveLen(4))
	})

	It("adds a process's next incarnation only once the last one's removal is committed", func() {
		b := newBench(replication.DefaultConfig())
		b.elect()
		b.acknowledge(peerC, 1)
		Expect(b.replica.Remove(b.now, peerB)).To(Succeed())
		Expect(b.replica.Admit(b.now, replication.Member{Incarnation: "b#2"})).To(Succeed())
		b.acknowledge("b#2", 2)
		Expect(b.replica.Members()).To(HaveLen(2))
		b.acknowledge(peerC, 2)
		Expect(b.replica.Members()).To(HaveLen(3))
	})

	It("changes the group no further than any group that the log may show allows", func() {
		b := newBench(replication.DefaultConfig())
		b.elect()
		answer := func(index uint64, members ...string) {
			for _, member := range members {
				b.acknowledge(member, index)
			}
		}
		answer(1, peerB, peerC)
		Expect(b.replica.Admit(b.now, replication.Member{Incarnation: "d#1"})).To(Succeed())
		answer(1, "d#1")
		answer(2, peerB, peerC, "d#1")
		b.replica.SetArchived(2)
		Expect(b.replica.Remove(b.now, peerC)).To(Succeed())
		answer(3, peerB, "d#1")
		Expect(b.replica.Admit(b.now, replication.Member{Incarnation: "c#2"})).To(Succeed())
		answer(3, "c#2")
		answer(4, peerB, "d#1", "c#2")
		Expect(b.replica.Members()).To(HaveLen(4))
		Expect(b.replica.Remove(b.now, peerB)).To(MatchError(replication.ErrChangePending),
			"the log may show a, b and d, of which a and b may be gone with d and c alive")
		b.replica.SetArchived(4)
		Expect(b.replica.Remove(b.now, peerB)).To(Succeed())
	})

	It("keeps acknowledged entries after a late snapshot of earlier ones", func() {
		b := newBench(replication.DefaultConfig())
		b.receive(peerB, first, appendMessage(0, 0, entryOf(1, first), entryOf(2, first), entryOf(3, first)))
		payload := encode(&replicationv1.Snapshot{Index: 2, Epoch: uint64(first), State: []byte("state")})
		b.receive(peerB, first, chunkMessage(2, 0, uint64(len(payload)), payload))
		answers := b.receive(peerB, first, appendMessage(3, first))
		Expect(answers[0].GetAppendResponse().GetSuccess()).To(BeTrue())
		Expect(b.replica.CommittedIndex()).To(BeEquivalentTo(2))
	})

	It("sends a snapshot on from what the receiver has, also if it lost a part", func() {
		config := replication.DefaultConfig()
		config.KeepEntries = 0
		config.SnapshotChunkBytes = 10
		b := newBench(config)
		b.receive(peerB, first, appendMessage(0, 0, entryOf(1, first)))
		b.elect()
		b.acknowledge(peerC, 2)
		b.replica.SetArchived(2)
		b.replica.Ready(b.now)
		b.receive(peerB, b.replica.Epoch(), &replicationv1.Message{
			Body: &replicationv1.Message_AppendResponse{AppendResponse: &replicationv1.AppendResponse{Index: 1}},
		})
		Expect(b.replica.ProvideSnapshot(b.now, make([]byte, 100))).To(Succeed())
		b.replica.Ready(b.now)
		ack := func(received uint64, sentAt time.Duration) []*replicationv1.Message {
			return b.receive(peerB, b.replica.Epoch(), &replicationv1.Message{
				Body: &replicationv1.Message_SnapshotAck{SnapshotAck: &replicationv1.SnapshotAck{
					Index: 2, Received: received, SentAt: int64(sentAt),
				}},
			})
		}
		sentAt := b.now
		b.now += time.Millisecond
		Expect(ack(30, sentAt)[0].GetSnapshotChunk().GetOffset()).To(BeEquivalentTo(30))
		Expect(ack(10, sentAt)).To(BeEmpty(), "an answer to an earlier chunk")
		Expect(ack(20, b.now)[0].GetSnapshotChunk().GetOffset()).To(BeEquivalentTo(20))
	})

	It("retires when it hears of a later generation, and ignores an earlier one", func() {
		b := newBench(replication.DefaultConfig())
		b.receive(peerB, replication.MakeEpoch(0, 9), appendMessage(0, 0, entryOf(1, first)))
		Expect(b.replica.Leader()).To(BeEmpty())
		b.receive(peerB, replication.MakeEpoch(2, 0), appendMessage(0, 0))
		Expect(b.replica.Role()).To(Equal(replication.RoleRetired))
	})

	It("refuses proposals without a lease or with a full backlog", func() {
		config := replication.DefaultConfig()
		config.MaxBacklogBytes = 1000
		b := newBench(config)
		_, err := b.replica.Propose(b.now, nil)
		Expect(err).To(MatchError(replication.ErrNotLeader))
		b.elect()
		_, err = b.replica.Propose(b.now, nil)
		Expect(err).To(MatchError(replication.ErrNoLease))
		b.acknowledge(peerC, 1)
		_, err = b.replica.Propose(b.now, make([]byte, 1000))
		Expect(err).To(MatchError(replication.ErrBacklogFull))
		_, err = b.replica.Propose(b.now, make([]byte, 10))
		Expect(err).NotTo(HaveOccurred())
		Expect(b.replica.HoldsLease(b.now + config.LeaseDuration)).To(BeFalse())
	})

	It("refuses a lease that would not be exclusive", func() {
		config := replication.DefaultConfig()
		config.LeaseDuration = config.ElectionTimeoutMin
		Expect(config.Validate()).To(MatchError(replication.ErrBadConfig))
	})
})
