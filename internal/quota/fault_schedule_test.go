package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/quota"
	"github.com/magpielug/magpielug/internal/tenant"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// step is the time step of the model, span the duration of one schedule.
	step = 10 * time.Millisecond
	span = 25 * time.Second
	// window is the time window of the limit.
	window = 5 * time.Second
	// requestTimeout is how long a node waits for a response.
	requestTimeout = 200 * time.Millisecond
)

// message is a request or a response in transit.
type message struct {
	from, to int
	at       time.Time
	sent     time.Time
	request  *quota.Request
	response *quota.Response
}

// faultSchedule runs nodes that send as many requests as they can during partitions, message
// delays, freezes and restarts.
type faultSchedule struct {
	random       *rand.Rand
	now          time.Time
	limit        tenant.Limit
	incarnations int
	coordinators []*quota.Coordinator
	lessors      []*quota.Lessor
	// suspectedUntil holds, by suspecting and suspected node, when the suspicion ends.
	suspectedUntil [][]time.Time
	frozenUntil    []time.Time
	// blockedUntil is the time until which messages from one node to another are lost.
	blockedUntil map[[2]int]time.Time
	messages     []message
	grants       []time.Time
	restarts     int
}

func newFaultSchedule(seed uint64, nodes int, limit tenant.Limit) *faultSchedule {
	schedule := &faultSchedule{random: rand.New(rand.NewPCG(seed, 1)), now: start, limit: limit, blockedUntil: map[[2]int]time.Time{}}
	for range nodes {
		schedule.coordinators = append(schedule.coordinators, nil)
		schedule.lessors = append(schedule.lessors, nil)
		schedule.suspectedUntil = append(schedule.suspectedUntil, make([]time.Time, nodes))
		schedule.frozenUntil = append(schedule.frozenUntil, time.Time{})
	}
	for node := range nodes {
		schedule.startNode(node)
	}
	return schedule
}

func (schedule *faultSchedule) startNode(node int) {
	schedule.incarnations++
	schedule.coordinators[node] = quota.NewCoordinator(fmt.Sprint("life-", schedule.incarnations), schedule.now, quota.Options{})
	schedule.lessors[node] = &quota.Lessor{}
}

func (schedule *faultSchedule) injectFault() {
	nodes := len(schedule.coordinators)
	node := schedule.random.IntN(nodes)
	until := schedule.now.Add(time.Duration(schedule.random.IntN(8000)) * time.Millisecond)
	switch schedule.random.IntN(400) {
	case 0:
		schedule.frozenUntil[node] = until
	case 1: // One node is isolated.
		for other := range nodes {
			schedule.blockedUntil[[2]int{node, other}] = until
			schedule.blockedUntil[[2]int{other, node}] = until
		}
	case 2: // A partition into halves.
		for left := range nodes / 2 {
			for right := nodes / 2; right < nodes; right++ {
				schedule.blockedUntil[[2]int{left, right}] = until
				schedule.blockedUntil[[2]int{right, left}] = until
			}
		}
	case 3: // An asymmetric partition.
		schedule.blockedUntil[[2]int{node, schedule.random.IntN(nodes)}] = until
	}
}

// preferredNode returns the first node that the requester does not suspect.
func (schedule *faultSchedule) preferredNode(requester int) int {
	for node := range schedule.coordinators {
		if schedule.now.After(schedule.suspectedUntil[requester][node]) {
			return node
		}
	}
	return requester
}

func (schedule *faultSchedule) requestFrom(requester int) {
	lessor := schedule.lessors[requester]
	preferred := schedule.preferredNode(requester)
	healthy := lessor.Coordinator() != "" && schedule.now.After(schedule.suspectedUntil[requester][nodeNumber(lessor.Coordinator())])
	target, leaseStart := lessor.Target(fmt.Sprint(preferred), healthy, schedule.now)
	request := &quota.Request{Node: fmt.Sprint(requester), Nodes: len(schedule.coordinators), LeaseStart: leaseStart, LeasedFor: lessor.LeasedFor(schedule.now), Tenant: "t", Limit: schedule.limit}
	schedule.send(message{from: requester, to: nodeNumber(target), sent: schedule.now, request: request})
}

func nodeNumber(name string) int {
	var number int
	_, _ = fmt.Sscan(name, &number)
	return number
}

func (schedule *faultSchedule) send(sent message) {
	delay := time.Duration(schedule.random.IntN(30)) * time.Millisecond
	if schedule.random.IntN(20) == 0 {
		delay = time.Duration(schedule.random.IntN(4000)) * time.Millisecond
	}
	sent.at = schedule.now.Add(delay)
	if schedule.now.After(schedule.blockedUntil[[2]int{sent.from, sent.to}]) {
		schedule.messages = append(schedule.messages, sent)
	}
}

func (schedule *faultSchedule) deliver() {
	waiting := schedule.messages
	schedule.messages = nil
	for _, pending := range waiting {
		if pending.at.After(schedule.now) || schedule.now.Before(schedule.frozenUntil[pending.to]) {
			schedule.messages = append(schedule.messages, pending)
			continue
		}
		if pending.request != nil {
			response := schedule.coordinators[pending.to].Decide(*pending.request, schedule.now)
			schedule.send(message{from: pending.to, to: pending.from, sent: pending.sent, response: &response})
			continue
		}
		schedule.receive(pending)
	}
}

// receive handles a response; the requester ignores late ones.
func (schedule *faultSchedule) receive(received message) {
	if schedule.now.Sub(received.sent) > requestTimeout {
		return
	}
	schedule.lessors[received.to].ObserveCoordinator(fmt.Sprint(received.from), received.response.Clock, schedule.now)
	if received.response.Verdict == quota.Granted {
		schedule.grants = append(schedule.grants, schedule.now)
	}
}

func (schedule *faultSchedule) run(restartAll bool) {
	for schedule.now.Before(start.Add(span)) {
		schedule.injectFault()
		if restartAll && schedule.now.Equal(start.Add(span/2)) {
			schedule.restarts++
			for node := range schedule.coordinators {
				schedule.startNode(node)
			}
		}
		for node := range schedule.coordinators {
			if schedule.now.After(schedule.frozenUntil[node]) {
				schedule.requestFrom(node)
				schedule.suspectOne(node)
			}
		}
		schedule.deliver()
		schedule.now = schedule.now.Add(step)
	}
}

// suspectOne makes a node suspect an unreachable coordinator, and occasionally a reachable one.
func (schedule *faultSchedule) suspectOne(node int) {
	target := nodeNumber(schedule.lessors[node].Coordinator())
	unreachable := schedule.now.Before(schedule.blockedUntil[[2]int{node, target}]) || schedule.now.Before(schedule.blockedUntil[[2]int{target, node}]) || schedule.now.Before(schedule.frozenUntil[target])
	if (unreachable && schedule.random.IntN(20) == 0) || schedule.random.IntN(1000) == 0 {
		schedule.suspectedUntil[node][target] = schedule.now.Add(3 * time.Second)
	}
}

// maxInWindow returns the largest number of grants in any window.
func (schedule *faultSchedule) maxInWindow() int {
	slices.SortFunc(schedule.grants, time.Time.Compare)
	most, first := 0, 0
	for last := range schedule.grants {
		for schedule.grants[last].Sub(schedule.grants[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

var _ = Describe("Limits under fault schedules", func() {
	const schedules = 40
	limit := tenant.Limit{PerSecond: 20, Burst: 15}
	bound := limit.Burst + limit.PerSecond*window.Seconds()

	It("hold during partitions, freezes, wrong suspicions and message delays", func() {
		largest := 0
		for seed := range uint64(schedules) {
			schedule := newFaultSchedule(seed, 2+int(seed%5), limit)
			schedule.run(false)
			Expect(float64(schedule.maxInWindow())).To(BeNumerically("<=", bound), "seed %d", seed)
			largest = max(largest, schedule.maxInWindow())
		}
		Expect(float64(largest)).To(BeNumerically(">", bound*0.7), "the schedules approach the limit")
	})

	It("hold after a restart of all nodes, except for one lease duration", func() {
		for seed := range uint64(schedules) {
			schedule := newFaultSchedule(seed, 2+int(seed%5), limit)
			schedule.run(true)
			Expect(float64(schedule.maxInWindow())).To(BeNumerically("<=", bound+1), "seed %d", seed)
		}
	})
})
