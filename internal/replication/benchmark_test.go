package replication_test

import (
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magpielug/magpielug/internal/replication"
)

// benchmarkEntryBytes is the size of a proposal in the benchmarks.
const benchmarkEntryBytes = 512

// host is a process with replicas of many shards, on a reliable network that delivers
// within the tick.
type host struct {
	name     string
	batcher  *replication.Batcher
	replicas map[uint32]*replication.Replica
}

// cluster is three hosts, each with a replica of every shard.
type cluster struct {
	hosts     []*host
	now       time.Duration
	batches   int
	bytes     int
	committed int
}

func newCluster(shards int) *cluster {
	random := rand.New(rand.NewSource(1))
	c := &cluster{now: time.Second}
	members := []replication.Member{}
	for _, name := range []string{"10.0.0.1:7000", "10.0.1.1:7000", "10.0.2.1:7000"} {
		registry := replication.NewRegistry(name, random)
		members = append(members, replication.Member{Incarnation: registry.Boot(), Zone: name[:6]})
		c.hosts = append(c.hosts, &host{
			name:     name,
			batcher:  replication.NewBatcher(registry.Boot()),
			replicas: map[uint32]*replication.Replica{},
		})
	}
	for shard := range uint32(shards) {
		for position, host := range c.hosts {
			first := int(shard) % len(members)
			group := replication.Group{
				Shard:      shard,
				Generation: 1,
				Members:    append(slices.Clone(members[first:]), members[:first]...),
			}
			replica, err := replication.New(replication.DefaultConfig(), c.now, members[position], group, replication.Base{}, random)
			if err != nil {
				panic(err)
			}
			host.replicas[shard] = replica
		}
	}
	return c
}

// tick ticks every host, then delivers messages until none are left.
func (c *cluster) tick() {
	for _, host := range c.hosts {
		for _, replica := range host.replicas {
			replica.Tick(c.now)
			c.finish(host, replica)
		}
	}
	for c.exchange() {
	}
}

func (c *cluster) finish(host *host, replica *replication.Replica) {
	output := replica.Ready(c.now)
	for _, envelope := range output.Messages {
		host.batcher.Add(envelope)
	}
	c.committed += len(output.Committed)
	if replica.Role() == replication.RoleLeader {
		replica.SetArchived(replica.CommittedIndex())
	}
}

func (c *cluster) exchange() bool {
	sent := false
	for _, host := range c.hosts {
		for _, peer := range host.batcher.Peers() {
			batch := host.batcher.Take(peer)
			c.batches++
			c.bytes += proto.Size(batch)
			sent = true
			for _, other := range c.hosts {
				if other.name != peer {
					continue
				}
				for _, message := range other.batcher.Unpack(batch) {
					replica := other.replicas[message.GetShard()]
					replica.Receive(c.now, message)
					c.finish(other, replica)
				}
			}
		}
	}
	return sent
}

func (c *cluster) run(duration time.Duration) {
	for end := c.now + duration; c.now < end; c.now += tickInterval {
		c.tick()
	}
}

func (c *cluster) leader(shard uint32) (*host, *replication.Replica) {
	for _, host := range c.hosts {
		if replica := host.replicas[shard]; replica.HoldsLease(c.now) {
			return host, replica
		}
	}
	panic("no leader")
}

// BenchmarkIdle reports the work and traffic of an idle process per second.
func BenchmarkIdle(b *testing.B) {
	for _, shards := range []int{1, 10, 30} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			c := newCluster(shards)
			c.run(5 * time.Second)
			c.batches, c.bytes = 0, 0
			b.ResetTimer()
			for range b.N {
				c.run(time.Second)
			}
			perProcess := float64(b.N * len(c.hosts))
			b.ReportMetric(float64(c.batches)/perProcess, "batches/s/process")
			b.ReportMetric(float64(c.bytes)/perProcess, "bytes/s/process")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/perProcess, "ns/s/process")
		})
	}
}

// BenchmarkCommit reports the work of all three replicas and batchers from Propose
// until the leader commits and the members have responded.
func BenchmarkCommit(b *testing.B) {
	for _, together := range []int{1, 16} {
		b.Run(fmt.Sprintf("together=%d", together), func(b *testing.B) {
			c := newCluster(1)
			c.run(5 * time.Second)
			host, leader := c.leader(0)
			c.batches, c.bytes, c.committed = 0, 0, 0
			data := make([]byte, benchmarkEntryBytes)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				for range together {
					if _, err := leader.Propose(c.now, data); err != nil {
						b.Fatal(err)
					}
				}
				c.finish(host, leader)
				for c.exchange() {
				}
				c.finish(host, leader)
			}
			entries := float64(b.N * together)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/entries, "ns/entry")
			b.ReportMetric(float64(c.batches)/entries, "batches/entry")
			b.ReportMetric(float64(c.bytes)/entries, "bytes/entry")
		})
	}
}

// BenchmarkMemory reports the heap size of a replica, idle and with entries kept for
// members that lag behind.
func BenchmarkMemory(b *testing.B) {
	const shards = 60
	for _, entries := range []int{0, 1000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				c := newCluster(shards)
				c.run(3 * time.Second)
				c.fill(shards, entries)
				replicas := float64(shards * len(c.hosts))
				b.ReportMetric(float64(heapBytes()-before)/replicas, "bytes/replica")
				runtime.KeepAlive(c)
			}
		})
	}
}

// fill commits entries in each shard. The three replicas share the entries' data,
// since they are in one process.
func (c *cluster) fill(shards, entries int) {
	for shard := range uint32(shards) {
		host, leader := c.leader(shard)
		for range entries {
			_, _ = leader.Propose(c.now, make([]byte, benchmarkEntryBytes))
			c.finish(host, leader)
			for c.exchange() {
			}
		}
	}
	c.run(time.Second)
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	stats := runtime.MemStats{}
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkFailover reports the virtual time from a leader's failure until another
// replica holds the lease, with one seed per iteration.
func BenchmarkFailover(b *testing.B) {
	times := []time.Duration{}
	for seed := range b.N {
		if taken := failoverTime(int64(seed)); taken > 0 {
			times = append(times, taken)
		}
	}
	slices.Sort(times)
	b.ReportMetric(times[len(times)/2].Seconds(), "s-p50")
	b.ReportMetric(times[len(times)*99/100].Seconds(), "s-p99")
	b.ReportMetric(times[len(times)-1].Seconds(), "s-max")
}

// failoverTime stops the leader of a healthy group at a random time by a pause that
// outlasts the run.
func failoverTime(seed int64) time.Duration {
	sim := newSimulation(seed, []string{"a", "b", "c"}, faultRates{})
	killAt := 5*time.Second + time.Duration(sim.random.Int63n(int64(time.Second)))
	sim.run(killAt)
	killed := sim.leaseHolder()
	if killed == nil {
		return 0
	}
	killed.pausedUntil = time.Hour
	for sim.now < killAt+time.Minute {
		sim.run(sim.now + time.Millisecond)
		holder := sim.leaseHolder()
		if holder != nil && holder != killed {
			return sim.now - killAt
		}
		sim.now = max(sim.now, sim.events[0].at)
	}
	return 0
}

func (sim *simulation) leaseHolder() *process {
	for _, node := range sim.processes {
		if node.replica.HoldsLease(node.clock(sim.now)) {
			return node
		}
	}
	return nil
}
