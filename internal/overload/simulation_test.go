package overload_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/overload"
	. "github.com/onsi/gomega"
)

// A node in virtual time, one step a millisecond. It works off calls in the order of their arrival, also those
// whose caller has left. Programs take turns one after another; each turn is tried six times.
const (
	turnsPerProgram = 4
	triesPerTurn    = 6
	// capacity is the number of turns that the node can serve in a second.
	capacity = 1000.0
	// refusalCost is the cost of refusing a turn, as a share of that of serving one.
	refusalCost   = 0.08
	callerLeaves  = time.Second
	retryDelay    = 200 * time.Millisecond
	burstBegins   = 5 * time.Second
	burstEnds     = 11 * time.Second
	simulationEnd = 25 * time.Second
)

type simulatedProgram struct {
	name         string
	turns, tries int
}

type simulatedCall struct {
	program *simulatedProgram
	arrived time.Duration
	cost    float64
}

type simulatedNode struct {
	shedder *overload.Shedder
	monitor *overload.Monitor
	random  *rand.Rand
	queue   []simulatedCall
	// credit is the work done beyond the calls that have been served.
	credit float64
	// later holds calls that arrive at a millisecond.
	later map[time.Duration][]*simulatedProgram
	// begun and done count programs by the second of their begin and of their end.
	begun, done [26]int
}

// run plays programs that begin at shares of the capacity, and returns the node.
func run(seed uint64, shedding bool, usual, burst float64) *simulatedNode {
	node := &simulatedNode{monitor: &overload.Monitor{}, random: rand.New(rand.NewPCG(seed, 2)), later: map[time.Duration][]*simulatedProgram{}}
	if shedding {
		node.shedder = overload.NewShedderWithRandom(node.random.Float64)
	}
	nextSample := time.Duration(0)
	for now := time.Duration(0); now < simulationEnd; now += time.Millisecond {
		load := usual
		if now >= burstBegins && now < burstEnds {
			load = burst
		}
		if node.random.Float64() < load*capacity/turnsPerProgram/1000 {
			node.begun[now/time.Second]++
			node.later[now] = append(node.later[now], &simulatedProgram{name: fmt.Sprint(now)})
		}
		for _, program := range node.later[now] {
			node.arrive(program, now)
		}
		delete(node.later, now)
		node.work(now)
		if now >= nextSample {
			nextSample = now + node.sample()
		}
	}
	return node
}

// sample takes a sample, which waits behind the calls in the queue, and returns how long it took.
func (node *simulatedNode) sample() time.Duration {
	const interval = 25 * time.Millisecond
	waiting := 0.0
	for _, call := range node.queue {
		waiting += call.cost
	}
	delay := time.Duration(waiting / capacity * float64(time.Second))
	node.monitor.Record(delay)
	if node.shedder != nil {
		node.shedder.Observe(node.monitor.Pressure(), interval+delay)
	}
	return interval + delay
}

func virtual(now time.Duration) time.Time { return time.Unix(1000, 0).Add(now) }

func (node *simulatedNode) arrive(program *simulatedProgram, now time.Duration) {
	if node.shedder != nil {
		retryAfter, refused := node.shedder.Refuses(program.name, false, virtual(now))
		if refused {
			node.credit -= refusalCost
			node.retry(program, now+retryAfter)
			return
		}
	}
	node.queue = append(node.queue, simulatedCall{program: program, arrived: now, cost: 1})
}

// retry lets a caller come back unless it has used its tries.
func (node *simulatedNode) retry(program *simulatedProgram, at time.Duration) {
	program.tries++
	if program.tries < triesPerTurn {
		at = at.Truncate(time.Millisecond)
		node.later[at] = append(node.later[at], program)
	}
}

func (node *simulatedNode) work(now time.Duration) {
	node.credit += capacity / 1000
	for len(node.queue) > 0 && node.credit >= 1 {
		call := node.queue[0]
		node.queue = node.queue[1:]
		node.credit--
		if now-call.arrived > callerLeaves {
			node.retry(call.program, now+retryDelay)
			continue
		}
		node.answer(call.program, now)
	}
	node.credit = min(node.credit, 1)
}

func (node *simulatedNode) answer(program *simulatedProgram, now time.Duration) {
	if node.shedder != nil {
		node.shedder.Answered(program.name, virtual(now))
	}
	program.turns++
	program.tries = 0
	if program.turns == turnsPerProgram {
		node.done[now/time.Second]++
		return
	}
	node.later[now+100*time.Millisecond] = append(node.later[now+100*time.Millisecond], program)
}

// sum adds up seconds from and including the first, up to the last.
func sum(counts [26]int, first, last int) float64 {
	total := 0
	for second := first; second < last; second++ {
		total += counts[second]
	}
	return float64(total)
}

// Guards against a node that stays overloaded after a burst is over.
func TestANodeServesWhatItCanInABurstAndRecoversAfterIt(t *testing.T) {
	expect := NewWithT(t)
	programsPerSecond := capacity / turnsPerProgram
	for seed := range uint64(10) {
		without := run(seed, false, 0.7, 1.8)
		expect.Expect(sum(without.done, 13, 25)).To(BeNumerically("<", 0.5*sum(without.begun, 13, 25)), "the simulation shows the fault")
		with := run(seed, true, 0.7, 1.8)
		t.Logf("seed %d: in the burst %.2f of the capacity, after it %.2f of what began", seed,
			sum(with.done, 6, 11)/(5*programsPerSecond), sum(with.done, 13, 25)/sum(with.begun, 13, 25))
		expect.Expect(sum(with.done, 6, 11)).To(BeNumerically(">=", 0.8*5*programsPerSecond), "in the burst")
		expect.Expect(sum(with.done, 13, 25)).To(BeNumerically(">=", 0.95*sum(with.begun, 13, 25)), "from two seconds after it on")
	}
}

// Guards against refusals by a node that has processor time left.
func TestANodeBelowItsCapacityRefusesNothing(t *testing.T) {
	expect := NewWithT(t)
	node := run(1, true, 0.7, 0.7)
	expect.Expect(sum(node.done, 0, 25)).To(BeNumerically(">=", 0.95*sum(node.begun, 0, 25)))
}

// Guards against programs that have begun being refused before those that have not.
func TestProgramsThatHaveBegunGoFirst(t *testing.T) {
	expect := NewWithT(t)
	shedder := overload.NewShedderWithRandom(rand.New(rand.NewPCG(1, 2)).Float64)
	now := time.Unix(1000, 0)
	shedder.Answered("begun", now)
	shedder.Observe(0.85, 0)
	expect.Expect(shedder.Level()).To(BeNumerically("~", 0.6, 0.01))
	refusals := map[string]int{}
	for range 1000 {
		for _, program := range []string{"begun", "new"} {
			retryAfter, refused := shedder.Refuses(program, false, now)
			if refused {
				refusals[program]++
				expect.Expect(retryAfter).To(BeNumerically(">", 0))
			}
		}
	}
	expect.Expect(refusals["begun"]).To(BeZero())
	expect.Expect(refusals["new"]).To(BeNumerically("~", 600, 80))
	shedder.Expire(now.Add(time.Minute))
	shedder.Observe(0, time.Minute)
	_, refused := shedder.Refuses("new", false, now)
	expect.Expect(refused).To(BeFalse())
}
