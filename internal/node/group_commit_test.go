package node

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/ownership"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// heldLog is a log whose appends wait until they are released.
type heldLog struct {
	*durable.Memory
	// appends counts the appends that have arrived.
	appends atomic.Int64
	release chan struct{}
	// maxRecordBytes is the size above which a record is rejected, 0 for none.
	maxRecordBytes int
}

func newHeldLog() *heldLog {
	return &heldLog{Memory: durable.NewMemory(), release: make(chan struct{})}
}

func (log *heldLog) Append(ctx context.Context, partition durable.Partition, records [][]byte, condition durable.Condition) (durable.AppendResult, error) {
	log.appends.Add(1)
	select {
	case <-log.release:
		for _, record := range records {
			if log.maxRecordBytes > 0 && len(record) > log.maxRecordBytes {
				return durable.AppendResult{}, durable.ErrRejected
			}
		}
		return log.Memory.Append(ctx, partition, records, condition)
	case <-ctx.Done():
		return durable.AppendResult{}, ctx.Err()
	}
}

var _ = Describe("Group commit", func() {
	const groupShards = 4
	const shard = 1
	const nodeCount = 48
	// maxHeldAppends is how many appends one node has in flight at most while the log holds them,
	// hedges included.
	const maxHeldAppends = 4 * groupShards
	var network *fakeNetwork
	var nodes []*Node
	var log *heldLog

	BeforeEach(func() {
		logger, err := logging.New("error", GinkgoWriter)
		Expect(err).NotTo(HaveOccurred())
		network = &fakeNetwork{nodes: map[string]http.Handler{}, cut: map[[2]string]bool{}}
		log = newHeldLog()
		nodes = nil
		for number := range nodeCount {
			name := "node-" + strconv.Itoa(number)
			node := &Node{settings: Settings{Name: name, Shards: groupShards}, members: newMembers(), logger: logger.Sampled(), turns: history.NewStore(1 << 20)}
			node.peers = newPeers(node.members, network.clientFor(name))
			node.programs = newPrograms(node)
			node.recorder = history.NewRecorder(log, groupShards)
			node.recorder.SetRelay(node.recordRemotely)
			node.recorder.EnableGroupCommit(node.recordInGroup, &node.logHealth)
			network.nodes[name] = nodev1.NewNodeServer(&peerServer{node: node})
			nodes = append(nodes, node)
		}
		for _, node := range nodes {
			for _, other := range nodes {
				node.members.put(Member{Name: other.settings.Name, Address: other.settings.Name, Capacity: 800})
			}
		}
	})

	turnFrom := func(node *Node) *history.Turn {
		return &history.Turn{ID: "turn-of-" + node.settings.Name, Program: "p", Input: []byte("in"), Output: []byte("out\n"), EndedAt: time.Now(), Retention: time.Minute}
	}

	// ownBy makes all nodes know a node as the shard's owner.
	ownBy := func(owner *Node) {
		for _, node := range nodes {
			node.programs.owners[shard] = ownership.Owner{Node: owner.settings.Name, Epoch: 1}
		}
	}

	markSlow := func() {
		for _, node := range nodes {
			node.logHealth.ObserveSlowAppend(time.Now())
		}
	}

	// recordFromAll records a turn at each node and returns the channel of their results.
	recordFromAll := func(ctx context.Context, from []*Node) <-chan error {
		results := make(chan error, len(from))
		for _, node := range from {
			go func() { results <- node.recorder.Record(ctx, shard, turnFrom(node)) }()
		}
		return results
	}

	expectRecorded := func(results <-chan error, count int) {
		for range count {
			Eventually(results, eventuallyTimeout).Should(Receive(BeNil()))
		}
		batch, err := log.Read(context.Background(), durable.Partition{Topic: history.Topic, Number: shard}, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(batch.Records)).To(BeNumerically(">=", count))
	}

	// Guards against turns lost in a slow log's queue: each node appending its own turns fills it
	// for longer than callers wait.
	It("appends the turns of all nodes through the shard's owner while appends are slow", func() {
		owner := nodes[nodeCount-1]
		ownBy(owner)
		markSlow()
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		results := recordFromAll(ctx, nodes)
		Eventually(owner.recorder.InFlight, eventuallyTimeout).Should(Equal(nodeCount))
		Expect(log.appends.Load()).To(BeNumerically("<=", maxHeldAppends))
		close(log.release)
		expectRecorded(results, nodeCount)
	})

	// Guards against a turn that the log rejects for good being sent to writer after writer, each of
	// which then counts as failing and records no other turn.
	It("holds a rejected turn against neither its writer nor the turns beside it", func() {
		ownBy(nodes[0])
		log.maxRecordBytes = 10_000
		close(log.release)
		rejected := turnFrom(nodes[1])
		rejected.Output = make([]byte, 2*log.maxRecordBytes)
		beside := recordFromAll(context.Background(), nodes[2:])
		began := time.Now()
		err := nodes[1].recorder.Record(context.Background(), shard, rejected)
		Expect(errors.Is(err, durable.ErrRejected)).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		expectRecorded(beside, nodeCount-2)
		Expect(nodes[1].programs.suspectedWriters.contains(nodes[0].settings.Name, time.Now())).To(BeFalse())
		Expect(nodes[0].recorder.AppendFailedRecently()).To(BeFalse())
	})

	// Guards against two records of a turn where one is enough, and against turns lost with the owner.
	It("records each turn once while appends are fast, with and without the owner", func() {
		ownBy(nodes[0])
		close(log.release)
		expectRecorded(recordFromAll(context.Background(), nodes[:nodeCount/2]), nodeCount/2)
		network.isolate(nodes[0].settings.Name)
		expectRecorded(recordFromAll(context.Background(), nodes[nodeCount/2:]), nodeCount/2)
		batch, err := log.Read(context.Background(), durable.Partition{Topic: history.Topic, Number: shard}, 0, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch.Records).To(HaveLen(nodeCount))
		Expect(log.appends.Load()).To(BeNumerically("<=", nodeCount))
	})

	// Guards against turns lost with an owner that holds them, and against nodes that then append
	// one by one.
	It("continues at one other node when the owner is lost with turns in its hands", func() {
		owner := nodes[nodeCount-1]
		ownBy(owner)
		markSlow()
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		results := recordFromAll(ctx, nodes[:nodeCount-1])
		Eventually(owner.recorder.InFlight, eventuallyTimeout).Should(Equal(nodeCount - 1))
		network.isolate(owner.settings.Name)
		writers := nodes[0].groupWriters(shard, turnFrom(nodes[0]))
		Expect(writers).To(HaveLen(maxGroupWriters))
		second := writers[1].Name
		Eventually(func() int {
			for _, node := range nodes {
				if node.settings.Name == second {
					return node.recorder.InFlight()
				}
			}
			return 0
		}, eventuallyTimeout).Should(BeNumerically(">=", nodeCount-2))
		close(log.release)
		expectRecorded(results, nodeCount-1)
	})

	// Guards against a caller's stream that ends before its turn is durable.
	It("reports a turn as recorded only once the log has acknowledged it", func() {
		owner, requester := nodes[0], nodes[1]
		client := requester.peers.clientAt(owner.settings.Name)
		request := &nodev1.RecordRequest{Shard: shard, Turn: history.ToProto(turnFrom(requester)), AcceptsPending: true}
		reply, err := client.Record(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Pending).To(BeTrue())
		request.AcceptsPending = false
		_, err = client.Record(context.Background(), request)
		Expect(err).To(HaveOccurred(), "a requester of an older version takes any reply for an acknowledgement")
		Expect(owner.recorder.InFlight()).To(Equal(1), "repeated requests share one recording")
		close(log.release)
		reply, err = client.Record(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Pending).To(BeFalse())
	})

	// Guards against requesters that append one by one, and make the log slower, after one failed
	// append of the group writer.
	It("accepts turns after a failed append only while the log is slow", func() {
		owner, requester := nodes[0], nodes[1]
		log.Intercept = func(string, durable.Partition) error { return durable.ErrUnavailable }
		close(log.release)
		bounded, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		Expect(owner.recorder.RecordLocally(bounded, shard, turnFrom(owner))).NotTo(Succeed())
		request := &nodev1.RecordRequest{Shard: shard, Turn: history.ToProto(turnFrom(requester)), AcceptsPending: true}
		Expect(owner.rejectsRecordings(request)).To(BeTrue())
		owner.logHealth.ObserveSlowAppend(time.Now())
		Expect(owner.rejectsRecordings(request)).To(BeFalse())
		request.AcceptsPending = false
		Expect(owner.rejectsRecordings(request)).To(BeTrue())
	})

	It("begins at all nodes once one has found the log slow and no other has found it fast", func() {
		first, second := nodes[0], nodes[1]
		first.logHealth.observe(durable.OperationAppend, durable.SlowAppend, nil)
		Expect(first.logHealth.AppendsSlow()).To(BeTrue())
		second.logHealth.observeRemote(first.logHealth.report(time.Now()), time.Now())
		Expect(second.logHealth.AppendsSlow()).To(BeTrue())
		second.logHealth.observe(durable.OperationAppend, durable.SlowAppend/2, nil)
		Expect(second.logHealth.AppendsSlow()).To(BeFalse(), "an append was fast since")
		first.logHealth.observeRemote(second.logHealth.report(time.Now()), time.Now())
		Expect(first.logHealth.AppendsSlow()).To(BeFalse())
	})

	It("does not begin for slow appends long ago, reads, or appends without a response", func() {
		health := &logHealth{}
		health.observeRemote(logObservations{slowAppendAge: (durable.SlowAppendMemory + time.Second).Milliseconds()}, time.Now())
		health.observe(durable.OperationRead, time.Second, nil)
		health.observe(durable.OperationAppend, time.Second, errors.New("no response"))
		Expect(health.AppendsSlow()).To(BeFalse())
	})
})
