package configuration

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	eventuallyTimeout = 30 * time.Second
	testPoll          = 5 * time.Millisecond
	testBound         = 500 * time.Millisecond
)

var errRefused = errors.New("connection refused")

// faultyLog is an in-memory log with injected faults: an append is lost before or
// after it takes effect with probability lossRate, and the log can be made unavailable
// to each node.
type faultyLog struct {
	mutex       sync.Mutex
	random      *rand.Rand
	records     [][]byte
	lossRate    float64
	unavailable map[int]bool
}

func newFaultyLog(seed uint64, lossRate float64) *faultyLog {
	return &faultyLog{random: rand.New(rand.NewPCG(seed, 0)), lossRate: lossRate, unavailable: map[int]bool{}}
}

func (log *faultyLog) setUnavailable(node int, unavailable bool) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.unavailable[node] = unavailable
}

// logClient is the log as one node accesses it.
type logClient struct {
	log  *faultyLog
	node int
}

func (client logClient) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	log := client.log
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.unavailable[client.node] {
		return 0, errRefused
	}
	draw := log.random.Float64()
	if draw < log.lossRate/2 {
		return 0, fmt.Errorf("request lost before the append: %w", outside.ErrOutcomeUnknown)
	}
	log.records = append(log.records, data)
	if draw < log.lossRate {
		return 0, fmt.Errorf("response lost after the append: %w", outside.ErrOutcomeUnknown)
	}
	return uint64(len(log.records) - 1), nil
}

func (client logClient) Read(_ context.Context, _ string, offset uint64, limit int) ([]outside.Record, error) {
	log := client.log
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.unavailable[client.node] || log.random.Float64() < log.lossRate/2 {
		return nil, errRefused
	}
	var records []outside.Record
	for next := offset; next < uint64(len(log.records)) && len(records) < limit; next++ {
		records = append(records, outside.Record{Offset: next, Data: log.records[next]})
	}
	return records, nil
}

// node is one process with its reader and publisher. seen records the versions that
// its reader reported.
type node struct {
	number    int
	zone      string
	reader    *Reader
	publisher *Publisher
	mutex     sync.Mutex
	seen      []*Snapshot
}

func (node *node) changed(snapshot *Snapshot) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	node.seen = append(node.seen, snapshot)
}

// cluster is a set of nodes, one per zone, that exchange versions and rounds unless
// one of them is partitioned.
type cluster struct {
	log         *faultyLog
	nodes       []*node
	mutex       sync.Mutex
	partitioned map[int]bool
}

func startCluster(log *faultyLog, size int) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	DeferCleanup(func() {
		cancel()
		running.Wait()
	})
	started := &cluster{log: log, partitioned: map[int]bool{}}
	var zones []string
	for number := range size {
		zones = append(zones, fmt.Sprint("zone-", number))
	}
	for number := range size {
		started.addNode(number, zones)
	}
	for _, member := range started.nodes {
		running.Go(func() { member.reader.Run(ctx) })
		running.Go(func() { started.exchange(ctx, member) })
	}
	return started
}

func (cluster *cluster) addNode(number int, zones []string) {
	added := &node{number: number, zone: zones[number]}
	access := logClient{log: cluster.log, node: number}
	added.reader = NewReader(ReaderOptions{
		Log: access, Zone: added.zone, Poll: testPoll, FreshBound: testBound,
		ReadTimeout: time.Second, Changed: added.changed,
	})
	added.reader.SetZones(zones)
	added.publisher = NewPublisher(access, added.reader, 3*time.Second, time.Second)
	cluster.nodes = append(cluster.nodes, added)
}

// exchange delivers the versions and rounds of the other nodes to receiver.
func (cluster *cluster) exchange(ctx context.Context, receiver *node) {
	for ctx.Err() == nil {
		time.Sleep(testPoll)
		for _, sender := range cluster.nodes {
			if sender == receiver || cluster.isPartitioned(sender) || cluster.isPartitioned(receiver) {
				continue
			}
			sent := time.Now()
			receiver.reader.RecordPeerVersion(sender.zone, sender.reader.Version(), sent)
			round := sender.reader.Round()
			if round.GetNextOffset() > receiver.reader.Round().GetNextOffset() {
				receiver.reader.Offer(round)
			}
		}
	}
}

func (cluster *cluster) isPartitioned(node *node) bool {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.partitioned[node.number]
}

func (cluster *cluster) setPartitioned(number int, partitioned bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.partitioned[number] = partitioned
}

// expectAgreement checks that all nodes reach the same version, that no node's version
// decreased, and that each version has the same content on all nodes.
func (cluster *cluster) expectAgreement() {
	newest := func() uint64 {
		highest := uint64(0)
		for _, node := range cluster.nodes {
			highest = max(highest, node.reader.Version())
		}
		return highest
	}
	for _, node := range cluster.nodes {
		Eventually(func() bool { return node.reader.Version() == newest() }, eventuallyTimeout).Should(BeTrue())
	}
	contents := map[uint64]string{}
	for _, node := range cluster.nodes {
		node.mutex.Lock()
		previous := uint64(0)
		for _, snapshot := range node.seen {
			Expect(snapshot.Version()).To(BeNumerically(">", previous))
			previous = snapshot.Version()
			label := fmt.Sprint(snapshot.Configuration().GetDrainedBackEnds())
			known, found := contents[previous]
			if found {
				Expect(label).To(Equal(known))
			}
			contents[previous] = label
		}
		node.mutex.Unlock()
	}
}
