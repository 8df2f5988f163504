package replication_test

import (
	"container/heap"
	"math/rand"
	"time"

	replicationv1 "github.com/magpielug/magpielug/api/replication/v1"
)

// faultRates holds the fault probabilities of one schedule.
type faultRates struct {
	drop      float64
	duplicate float64
	longDelay float64
	// Process and zone faults, per second of virtual time.
	pause          float64
	partition      float64
	restart        float64
	adminOperation float64
}

// event is a message delivery or a timer at a virtual time.
type event struct {
	at       time.Duration
	sequence int
	process  *process
	// batch is delivered to the process. If it is nil, the process's timer fires.
	batch *replicationv1.Batch
	from  string
}

type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int)  { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(item any) { *q = append(*q, item.(*event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	*q = (*q)[:last]
	return item
}

// network delivers batches between processes with random faults.
type network struct {
	random   *rand.Rand
	rates    faultRates
	now      time.Duration
	events   eventQueue
	sequence int
	// partitions holds the end of the partition for each pair of zones and direction.
	partitions map[[2]string]time.Duration
	sent       int
}

func (n *network) schedule(item *event) {
	n.sequence++
	item.sequence = n.sequence
	heap.Push(&n.events, item)
}

func (n *network) next() *event {
	item := heap.Pop(&n.events).(*event)
	n.now = item.at
	return item
}

// send delivers a batch zero, one or two times, with random delays.
func (n *network) send(from, to *process, batch *replicationv1.Batch) {
	n.sent++
	if n.random.Float64() < n.rates.drop {
		return
	}
	copies := 1
	if n.random.Float64() < n.rates.duplicate {
		copies = 2
	}
	for range copies {
		n.schedule(&event{
			at:      n.now + n.delay(),
			process: to,
			batch:   batch,
			from:    from.zone,
		})
	}
}

func (n *network) delay() time.Duration {
	if n.random.Float64() < n.rates.longDelay {
		return time.Duration(n.random.Int63n(int64(4 * time.Second)))
	}
	return time.Duration(n.random.Int63n(int64(5 * time.Millisecond)))
}

// isPartitioned reports whether messages arriving now from a zone are lost.
func (n *network) isPartitioned(from, to string) bool {
	return n.now < n.partitions[[2]string{from, to}]
}

// partitionZones separates two zones in one direction or both.
func (n *network) partitionZones(one, other string) {
	end := n.now + time.Duration(n.random.Int63n(int64(5*time.Second)))
	n.partitions[[2]string{one, other}] = end
	if n.random.Intn(3) > 0 {
		n.partitions[[2]string{other, one}] = end
	}
}

// heal ends all network faults.
func (n *network) heal() {
	n.rates = faultRates{}
	clear(n.partitions)
}
