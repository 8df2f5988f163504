package scheduler

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/replication"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/shard"
)

const (
	recoveryBound = 60 * time.Second
	lossSchedules = 10
)

// replaceAll replaces all processes at once, losing all state in memory.
func (cluster *testCluster) replaceAll() {
	for _, name := range sortedKeys(cluster.nodes) {
		cluster.nodes[name].dead = true
	}
	for _, name := range sortedKeys(cluster.nodes) {
		cluster.start(name)
	}
}

// viewFromStart reads a shard's stream from its start, without using snapshots.
func (cluster *testCluster) viewFromStart(number uint32) *streamView {
	return viewFromStart(&testLog{streams: cluster.log.streams}, number)
}

func viewFromStart(log *testLog, number uint32) *streamView {
	view := newStreamView(number)
	reader := &streamReader{log: log, shard: number}
	Expect(reader.readOn(context.Background(), view)).To(Succeed())
	return view
}

// archivedAll reports whether everything known to be committed is archived.
func (cluster *testCluster) archivedAll() bool {
	for number := range testConfig("s0").Shards {
		host := cluster.furthest(number)
		if host == nil || host.replica.CommittedIndex() > cluster.viewFromStart(number).archive.Last().Index {
			return false
		}
	}
	return true
}

// states encodes the state of each shard once it has a leader.
func (cluster *testCluster) states() [][]byte {
	states := make([][]byte, testConfig("s0").Shards)
	for number := range states {
		var leading *host
		Expect(cluster.runUntil(recoveryBound, func() bool {
			leading = cluster.leadingShard(uint32(number))
			return leading != nil
		})).To(BeTrue())
		state, err := leading.state.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		states[number] = state
	}
	return states
}

// leadingShard returns the replica that leads a shard, or nil.
func (cluster *testCluster) leadingShard(number uint32) *host {
	for _, node := range cluster.nodes {
		host := node.core.hosts[number]
		if !node.dead && !node.paused && host != nil && host.leads() {
			return host
		}
	}
	return nil
}

// callMany runs calls of one program and returns the states of all shards afterwards.
func (cluster *testCluster) callMany(program string, first, count int) [][]byte {
	for number := first; number < first+count; number++ {
		final := cluster.call(testCall(program, fmt.Sprintf("r%03d", number)), recoveryBound)
		Expect(final.failure).To(BeNil())
		Expect(final.ended).To(BeTrue())
	}
	Expect(cluster.runUntil(recoveryBound, cluster.archivedAll)).To(BeTrue())
	cluster.runFor(time.Second)
	return cluster.states()
}

// snapshotsOf counts the snapshots of a program's shard in the log.
func (cluster *testCluster) snapshotsOf(program string) int {
	number := cluster.nodes["s0"].core.shardOf(program)
	return len(cluster.log.streams[indexStreamName(number)])
}

var _ = Describe("recovery from the log", func() {
	It("restores history and budgets byte for byte from snapshots when every process is replaced", func() {
		cluster := newTestCluster(21, 3)
		cluster.create("p1")
		before := cluster.callMany("p1", 0, 60)
		Expect(cluster.snapshotsOf("p1")).To(BeNumerically(">", 1))
		for round := range 3 {
			number := cluster.nodes["s0"].core.shardOf("p1")
			opened := openStream(context.Background(), cluster.log, OpenStream{Shard: number})
			Expect(opened.view.restored).To(BeNumerically(">", 0))
			cluster.replaceAll()
			Expect(cluster.states()).To(Equal(before), "round %d", round)
			before = cluster.callMany("p1", 60+10*round, 10)
		}
		key := shard.TierKey{Tenant: testTenant, Tier: testTier}
		host := cluster.nodes[cluster.leader("p1")].core.leadingHost("p1")
		Expect(host.state.Escrow(key).Spent()).To(BeNumerically(">", 0))
		for number := range 90 {
			Expect(cluster.runs[fmt.Sprintf("p1/r%03d", number)]).To(Equal(1))
		}
	})

	It("recovers after a log outage in which every process is replaced", func() {
		cluster := newTestCluster(22, 3)
		cluster.create("p1")
		before := cluster.callMany("p1", 0, 40)
		cluster.log.down = true
		cluster.replaceAll()
		cluster.runFor(2 * time.Minute)
		for _, name := range sortedKeys(cluster.nodes) {
			Expect(cluster.nodes[name].core.hosts).To(BeEmpty())
		}
		cluster.log.down = false
		Expect(cluster.states()).To(Equal(before))
		cluster.callMany("p1", 40, 5)
	})

	It("falls back if snapshots are lost or corrupt, or pointers are wrong", func() {
		cluster := newTestCluster(23, 3)
		cluster.create("p1")
		before := cluster.callMany("p1", 0, 40)
		number := cluster.nodes["s0"].core.shardOf("p1")
		for kind, damage := range map[string]func(position int, record []byte) []byte{
			"parts lost":    func(int, []byte) []byte { return []byte{} },
			"parts corrupt": func(_ int, record []byte) []byte { return append(record[:len(record)-1:len(record)-1], 'x') },
		} {
			damageSnapshots(cluster.log, number, damage)
			falsePointer, err := replication.EncodeSnapshotPointer(replication.SnapshotPointer{
				Shard: number, SnapshotID: "none", Offset: 3, LastIndex: 1 << 40, Generation: 9, Size: 1 << 60,
			})
			Expect(err).NotTo(HaveOccurred())
			index := indexStreamName(number)
			cluster.log.streams[index] = append(cluster.log.streams[index], falsePointer, []byte("no pointer"))
			cluster.replaceAll()
			Expect(cluster.states()).To(Equal(before), kind)
			before = cluster.callMany("p1", len(cluster.runs), 10)
		}
	})

	It("keeps budgets correct when acknowledgements of appends are lost", func() {
		cluster := newTestCluster(24, 3)
		cluster.log.lostAnswers = 0.5
		cluster.log.lost = 0.2
		cluster.create("p1")
		before := cluster.callMany("p1", 0, 60)
		cluster.replaceAll()
		Expect(cluster.states()).To(Equal(before))
	})

	It("does not repeat a call that is not repeatable when every process is replaced before it is archived", func() {
		cluster := newTestCluster(27, 3)
		cluster.create("p1")
		cluster.callMany("p1", 0, 1)
		cluster.log.latency = 50 * time.Millisecond
		startedAt, sentAt := cluster.now, time.Duration(0)
		var replace func()
		replace = func() {
			if cluster.runsOf("p1/tool") == 0 {
				cluster.after(testLatency, replace)
				return
			}
			sentAt = cluster.now
			cluster.replaceAll()
		}
		replace()
		tool := testCall("p1", "tool")
		tool.Kind = schedulerv1.CallKind_CALL_KIND_TOOL
		tool.Target = testTool
		final := cluster.call(tool, recoveryBound)
		Expect(sentAt).To(BeNumerically(">=", startedAt+cluster.log.latency))
		Expect(sentAt).To(BeNumerically("<", startedAt+testConfig("s0").ArchiveIntents))
		Expect(final.ended).To(BeTrue())
		Expect(final.failure.GetCode()).To(BeEquivalentTo(resultcode.OutcomeUnknown))
		Expect(cluster.runsOf("p1/tool")).To(Equal(1))
	})

	It("keeps at-most-once when every process is replaced at random times while the log is available", func() {
		for seed := int64(100); seed < 100+lossSchedules; seed++ {
			cluster := newTestCluster(seed, 3)
			cluster.log.latency = time.Duration(cluster.random.Int63n(int64(100 * time.Millisecond)))
			var clients []*testClient
			for number := range scheduleClients {
				clients = append(clients, cluster.addClient(fmt.Sprintf("p%d", number), scheduleTurns))
			}
			for range 3 {
				cluster.runFor(3*time.Second + time.Duration(cluster.random.Int63n(int64(time.Second))))
				// Otherwise the engines would answer a second attempt from memory.
				cluster.crashEngine("e0")
				cluster.crashEngine("e1")
				cluster.replaceAll()
				cluster.runFor(rebuildTime)
			}
			cluster.runFor(rebuildTime)
			for _, client := range clients {
				Expect(client.results).NotTo(BeEmpty())
				for _, result := range client.results {
					name := client.program + "/" + result.request.RequestId
					if !result.request.Repeatable {
						Expect(cluster.runsOf(name)).To(BeNumerically("<=", 1), "seed %d, %s", seed, name)
					}
				}
			}
		}
	})

	It("sends a call that is not repeatable after a bounded wait during a log outage", func() {
		cluster := newTestCluster(28, 3)
		cluster.create("p1")
		cluster.callMany("p1", 0, 1)
		cluster.log.down = true
		startedAt := cluster.now
		Expect(cluster.call(testCall("p1", "first"), recoveryBound).failure).To(BeNil())
		Expect(cluster.now - startedAt).To(BeNumerically("<", time.Second))
		startedAt = cluster.now
		Expect(cluster.call(testCall("p1", "second"), recoveryBound).failure).To(BeNil())
		Expect(cluster.now - startedAt).To(BeNumerically("<", testConfig("s0").ArchiveIntents))
		cluster.log.down = false
		cluster.callMany("p1", 1, 3)
	})

	It("lets a late founder start from the claim's base and catch up", func() {
		cluster := newTestCluster(29, 3)
		number := cluster.nodes["s0"].core.shardOf("p1")
		Expect(cluster.runUntil(recoveryBound, func() bool { return len(cluster.log.streams[streamName(number)]) > 0 })).To(BeTrue())
		late := cluster.nodes["s2"]
		Expect(late.core.hosts[number]).To(BeNil())
		// Simulates that the log has not answered this process yet.
		late.core.assignments[number] = late.core.newAssignment(number)
		late.paused = true
		cluster.create("p1")
		before := cluster.callMany("p1", 0, 40)
		late.resume()
		Expect(cluster.runUntil(recoveryBound, func() bool { return late.core.hosts[number] != nil })).To(BeTrue())
		Expect(late.core.hosts[number].state.Len()).To(BeZero())
		Expect(cluster.runUntil(recoveryBound, func() bool {
			host := late.core.hosts[number]
			return host != nil && host.replica.CommittedIndex() == cluster.furthest(number).replica.CommittedIndex()
		})).To(BeTrue())
		Expect(late.core.hosts[number].replica.Self().Incarnation).To(Equal(late.core.registry.Boot()))
		Expect(late.core.hosts[number].state.Snapshot()).To(Equal(before[number]))
	})

	It("excludes entries of the claim's generation from a late founder's state", func() {
		cluster := newTestCluster(25, 3)
		cluster.create("p1")
		cluster.nodes["s2"].paused = true
		cluster.callMany("p1", 0, 40)
		number := cluster.nodes["s0"].core.shardOf("p1")
		opened := openStream(context.Background(), cluster.log, OpenStream{Shard: number})
		Expect(opened.view.beyondBase()).To(BeTrue())
		claim := opened.view.archive.Claim()
		opened = openStream(context.Background(), cluster.log, OpenStream{Shard: number, Below: claim.Generation})
		Expect(opened.view.beyondBase()).To(BeFalse())
		empty, err := shard.New().Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(opened.view.state.Snapshot()).To(Equal(empty))
	})
})

// damageSnapshots modifies the parts of all snapshots in a shard's stream.
func damageSnapshots(log *testLog, number uint32, damage func(position int, record []byte) []byte) {
	stream := log.streams[streamName(number)]
	for position, record := range stream {
		if isSnapshotPart(record) {
			stream[position] = damage(position, record)
		}
	}
}

func isSnapshotPart(record []byte) bool {
	decoded := &replicationv1.ArchiveRecord{}
	return proto.Unmarshal(record, decoded) == nil && decoded.GetSnapshotChunk() != nil
}
