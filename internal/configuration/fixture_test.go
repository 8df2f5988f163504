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
	patience  = 30 * time.Second
	testPoll  = 5 * time.Millisecond
	testBound = 500 * time.Millisecond
)

var errRefused = errors.New("connection refused")

// faultyLog is a log whose answers can be lost after or before the effect, and
// which can be away for one node or all.
type faultyLog struct {
	mutex    sync.Mutex
	random   *rand.Rand
	records  [][]byte
	lossRate float64
	away     map[int]bool
}

func newFaultyLog(seed uint64, lossRate float64) *faultyLog {
	return &faultyLog{random: rand.New(rand.NewPCG(seed, 0)), lossRate: lossRate, away: map[int]bool{}}
}

func (log *faultyLog) setAway(node int, away bool) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	log.away[node] = away
}

// client is one node's way to the log.
type client struct {
	log  *faultyLog
	node int
}

func (client client) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	log := client.log
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.away[client.node] {
		return 0, errRefused
	}
	lost := log.random.Float64()
	if lost < log.lossRate/2 {
		return 0, fmt.Errorf("lost before: %w", outside.ErrOutcomeUnknown)
	}
	log.records = append(log.records, data)
	if lost < log.lossRate {
		return 0, fmt.Errorf("lost after: %w", outside.ErrOutcomeUnknown)
	}
	return uint64(len(log.records) - 1), nil
}

func (client client) Read(_ context.Context, _ string, offset uint64, limit int) ([]outside.Record, error) {
	log := client.log
	log.mutex.Lock()
	defer log.mutex.Unlock()
	if log.away[client.node] || log.random.Float64() < log.lossRate/2 {
		return nil, errRefused
	}
	var records []outside.Record
	for at := offset; at < uint64(len(log.records)) && len(records) < limit; at++ {
		records = append(records, outside.Record{Offset: at, Data: log.records[at]})
	}
	return records, nil
}

// node is one process: a reader, a publisher and the versions it has seen.
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

// cluster is a set of nodes, one zone each, that tell each other what they
// know unless the link between them is cut.
type cluster struct {
	log   *faultyLog
	nodes []*node
	mutex sync.Mutex
	cut   map[int]bool
}

func startCluster(log *faultyLog, size int) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	DeferCleanup(func() {
		cancel()
		running.Wait()
	})
	made := &cluster{log: log, cut: map[int]bool{}}
	var zones []string
	for number := range size {
		zones = append(zones, fmt.Sprint("zone-", number))
	}
	for number := range size {
		made.addNode(number, zones)
	}
	for _, started := range made.nodes {
		running.Go(func() { started.reader.Run(ctx) })
		running.Go(func() { made.exchange(ctx, started) })
	}
	return made
}

func (cluster *cluster) addNode(number int, zones []string) {
	made := &node{number: number, zone: zones[number]}
	access := client{log: cluster.log, node: number}
	made.reader = NewReader(ReaderOptions{
		Log: access, Zone: made.zone, Poll: testPoll, FreshBound: testBound,
		ReadTimeout: time.Second, Changed: made.changed,
	})
	made.reader.SetZones(zones)
	made.publisher = NewPublisher(access, made.reader, 3*time.Second, time.Second)
	cluster.nodes = append(cluster.nodes, made)
}

// exchange hands other nodes' versions and rounds to one node.
func (cluster *cluster) exchange(ctx context.Context, receiver *node) {
	for ctx.Err() == nil {
		time.Sleep(testPoll)
		for _, sender := range cluster.nodes {
			if sender == receiver || cluster.isCut(sender) || cluster.isCut(receiver) {
				continue
			}
			sent := time.Now()
			receiver.reader.PeerReported(sender.zone, sender.reader.Version(), sent)
			round := sender.reader.Round()
			if round.GetNextOffset() > receiver.reader.Round().GetNextOffset() {
				receiver.reader.Offer(round)
			}
		}
	}
}

func (cluster *cluster) isCut(node *node) bool {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.cut[node.number]
}

func (cluster *cluster) setCut(number int, cut bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.cut[number] = cut
}

// expectAgreement checks that all nodes reach the same version, that no node
// went back, and that no version was seen with two contents.
func (cluster *cluster) expectAgreement() {
	newest := func() uint64 {
		highest := uint64(0)
		for _, node := range cluster.nodes {
			highest = max(highest, node.reader.Version())
		}
		return highest
	}
	for _, node := range cluster.nodes {
		Eventually(func() bool { return node.reader.Version() == newest() }, patience).Should(BeTrue())
	}
	contents := map[uint64]string{}
	for _, node := range cluster.nodes {
		node.mutex.Lock()
		before := uint64(0)
		for _, snapshot := range node.seen {
			Expect(snapshot.Version()).To(BeNumerically(">", before))
			before = snapshot.Version()
			mark := fmt.Sprint(snapshot.Configuration().GetDrainedBackEnds())
			known, found := contents[before]
			if found {
				Expect(mark).To(Equal(known))
			}
			contents[before] = mark
		}
		node.mutex.Unlock()
	}
}
