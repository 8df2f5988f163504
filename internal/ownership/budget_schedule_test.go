package ownership_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/freeze"
	"github.com/magpielug/magpielug/internal/ownership"
	"github.com/magpielug/magpielug/internal/tenant"
	"go.uber.org/zap"
)

var (
	budgetSchedules = flag.Int("budget.schedules", 10, "seeded schedules of faults that TestBudgetsHoldOverSchedules runs")
	budgetSeed      = flag.Uint64("budget.seed", 1, "seed of the first one")
)

const (
	scheduleNodes     = 5
	scheduleLength    = 45 * time.Second
	scheduleRetention = 20 * time.Second
	scheduleMaxTokens = 576
	// askTimeout is how long a caller's node waits for an owner.
	askTimeout = 300 * time.Millisecond
	// schedulePrograms is how many programs begin, at random times.
	schedulePrograms = 40
	// turnsAtOnce is how many turns each has open at once.
	turnsAtOnce = 6
)

// logFault is what happens to a node's calls to the log.
type logFault int

const (
	logAnswers logFault = iota
	logSilent
	logBusy
	logSlow
	logLosesAnswers
)

// faultyLog is one node's link to the log.
type faultyLog struct {
	durable.Log
	world *scheduleWorld
	node  int
}

// disturb applies the current fault; it reports whether the answer is lost.
func (log *faultyLog) disturb(ctx context.Context) (bool, error) {
	switch log.world.faultOf(log.node) {
	case logSilent:
		<-ctx.Done()
		return false, ctx.Err()
	case logBusy:
		return false, durable.ErrUnavailable
	case logSlow:
		time.Sleep(240 * time.Millisecond)
	case logLosesAnswers:
		return log.world.chance(0.5), nil
	}
	time.Sleep(5 * time.Millisecond)
	return false, ctx.Err()
}

func (log *faultyLog) Append(ctx context.Context, partition durable.Partition, records [][]byte, condition durable.Condition) (durable.AppendResult, error) {
	lost, err := log.disturb(ctx)
	if err != nil {
		return durable.AppendResult{}, err
	}
	result, err := log.Log.Append(ctx, partition, records, condition)
	if lost {
		<-ctx.Done()
		return durable.AppendResult{}, ctx.Err()
	}
	return result, err
}

func (log *faultyLog) Read(ctx context.Context, partition durable.Partition, from int64, wait time.Duration) (durable.Batch, error) {
	_, err := log.disturb(ctx)
	if err != nil {
		return durable.Batch{}, err
	}
	return log.Log.Read(ctx, partition, from, wait)
}

// scheduleNode is a node in one of its lives.
type scheduleNode struct {
	manager     *ownership.Manager
	incarnation string
	stop        context.CancelFunc
	down        bool
	// cutOff is true if other nodes do not reach it.
	cutOff bool
	fault  logFault
}

// scheduleWorld is a fleet of managers of one shard over a log that drops old records.
type scheduleWorld struct {
	ctx    context.Context
	log    *durable.Memory
	mutex  sync.Mutex
	random *rand.Rand
	nodes  []*scheduleNode
	lives  int
	// spent is what callers got of each program.
	spent  map[string]int64
	events []string
	began  time.Time
}

func (world *scheduleWorld) chance(share float64) bool {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.random.Float64() < share
}

func (world *scheduleWorld) intN(limit int) int {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.random.IntN(limit)
}

func (world *scheduleWorld) faultOf(node int) logFault {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.nodes[node].fault
}

func (world *scheduleWorld) note(format string, values ...any) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.events = append(world.events, fmt.Sprintf("%7.3f ", time.Since(world.began).Seconds())+fmt.Sprintf(format, values...))
}

// node returns a node's manager, nil if it is down or not reached from another node.
func (world *scheduleWorld) node(number int, fromOther bool) *ownership.Manager {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	node := world.nodes[number]
	if node.down || (fromOther && node.cutOff) {
		return nil
	}
	return node.manager
}

func (world *scheduleWorld) start(number int) {
	ctx, cancel := context.WithCancel(world.ctx)
	world.mutex.Lock()
	world.lives++
	node := &scheduleNode{incarnation: fmt.Sprint("life-", world.lives), stop: cancel}
	world.nodes[number] = node
	world.mutex.Unlock()
	identity := ownership.Identity{Node: fmt.Sprint(number), Incarnation: node.incarnation, Address: fmt.Sprint(number)}
	requestHandover := func(ctx context.Context, claim *nodev1.Claim, shard int) (*nodev1.YieldReply, error) {
		var owner int
		_, _ = fmt.Sscan(claim.Node, &owner)
		manager := world.node(owner, true)
		if manager == nil || world.node(number, true) == nil {
			return nil, errUnreachable
		}
		return manager.HandleHandover(ctx, shard, claim.Epoch), nil
	}
	manager := ownership.NewManager(ctx, &faultyLog{Log: world.log, world: world, node: number}, zap.NewNop(), identity, 1, ownership.Dependencies{
		RequestHandover: requestHandover, LogUnavailable: func() bool { return false }, FreezeDetector: freeze.NewDetector(),
		LogRetention: scheduleRetention, SupportsSecondAllowance: func() bool { return true }})
	world.mutex.Lock()
	node.manager = manager
	world.mutex.Unlock()
	go manager.Run()
}

// takeDown ends a node, as planned or at once, and starts it again.
func (world *scheduleWorld) takeDown(number int, planned bool, pause time.Duration) {
	world.mutex.Lock()
	node := world.nodes[number]
	if node.down {
		world.mutex.Unlock()
		return
	}
	world.mutex.Unlock()
	world.note("node %d down, planned %v, for %s", number, planned, pause)
	if planned {
		ctx, cancel := context.WithTimeout(world.ctx, 2*time.Second)
		node.manager.Release(ctx)
		cancel()
	}
	world.mutex.Lock()
	node.down = true
	world.mutex.Unlock()
	node.stop()
	time.Sleep(pause)
	world.start(number)
}

// disturb applies random faults until the end of the schedule.
func (world *scheduleWorld) disturb(until time.Time) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(200+world.intN(2500)) * time.Millisecond)
		victim := world.intN(scheduleNodes)
		length := time.Duration(300+world.intN(7000)) * time.Millisecond
		switch world.intN(7) {
		case 0:
			go world.takeDown(victim, false, length/4)
		case 1:
			go world.takeDown(victim, true, length/4)
		case 2:
			for number := range scheduleNodes {
				go world.takeDown(number, false, 500*time.Millisecond)
			}
		case 3:
			go world.setFault(victim, logFault(1+world.intN(4)), length)
		case 4:
			fault := logFault(1 + world.intN(4))
			for number := range scheduleNodes {
				go world.setFault(number, fault, length)
			}
		case 5:
			go world.cut(victim, length)
		case 6:
			go world.setFault(victim, logSilent, length)
			go world.cut(victim, length)
		}
	}
}

func (world *scheduleWorld) setFault(number int, fault logFault, length time.Duration) {
	world.note("log fault %d at node %d for %s", fault, number, length)
	world.mutex.Lock()
	world.nodes[number].fault = fault
	world.mutex.Unlock()
	time.Sleep(length)
	world.mutex.Lock()
	world.nodes[number].fault = logAnswers
	world.mutex.Unlock()
}

func (world *scheduleWorld) cut(number int, length time.Duration) {
	world.note("node %d cut off for %s", number, length)
	world.mutex.Lock()
	world.nodes[number].cutOff = true
	world.mutex.Unlock()
	time.Sleep(length)
	world.mutex.Lock()
	world.nodes[number].cutOff = false
	world.mutex.Unlock()
}

// ask asks one node for a turn.
func (world *scheduleWorld) ask(target int, id, name string, budget int64, deadline time.Time) (ownership.ReserveResult, bool) {
	manager := world.node(target, false)
	if manager == nil {
		return ownership.ReserveResult{}, false
	}
	ctx, cancel := context.WithTimeout(world.ctx, askTimeout)
	defer cancel()
	result := manager.Reserve(ctx, 0, ownership.ReserveRequest{Program: tenant.Program{ID: name}, RequestID: id, Budget: budget, MaxTokens: scheduleMaxTokens,
		ExpiresAt: deadline, AllowClaim: world.chance(0.6)})
	if ctx.Err() != nil {
		// The node may have granted the turn: its requester has given up.
		go manager.Settle(0, tenant.Program{ID: name}, id, 0)
		return ownership.ReserveResult{}, false
	}
	return result, true
}

// runTurns takes turns of a program, one after another, until the end.
func (world *scheduleWorld) runTurns(lane, name string, budget int64, until time.Time) {
	target := world.intN(scheduleNodes)
	for number := 0; time.Now().Before(until); number++ {
		id := fmt.Sprint(lane, "-", number)
		deadline := time.Now().Add(4 * time.Second)
		result, answered := world.ask(target, id, name, budget, deadline)
		if !answered || result.Verdict != nodev1.Verdict_VERDICT_GRANTED {
			target = world.intN(scheduleNodes)
			if answered && result.Owner.Node != "" && world.chance(0.8) {
				_, _ = fmt.Sscan(result.Owner.Node, &target)
			}
			time.Sleep(time.Duration(20+world.intN(400)) * time.Millisecond)
			continue
		}
		tokens := []int64{0, 288, scheduleMaxTokens, scheduleMaxTokens}[world.intN(4)]
		world.mutex.Lock()
		world.spent[name] += tokens
		spent := world.spent[name]
		world.mutex.Unlock()
		world.note("%s %s granted by %s epoch %d: %d, %d of %d", name, id, result.Owner.Node, result.Owner.Epoch, tokens, spent, budget)
		time.Sleep(time.Duration(30+world.intN(900)) * time.Millisecond)
		if manager := world.node(target, false); manager != nil && world.chance(0.9) {
			manager.Settle(0, tenant.Program{ID: name}, id, tokens)
		}
		time.Sleep(time.Duration(world.intN(300)) * time.Millisecond)
	}
}

// runSchedule returns what went wrong in one schedule, and what happened before.
func runSchedule(ctx context.Context, seed uint64) (violations, events []string) {
	world := &scheduleWorld{ctx: ctx, log: durable.NewMemory(), random: rand.New(rand.NewPCG(seed, seed)), nodes: make([]*scheduleNode, scheduleNodes),
		spent: map[string]int64{}, began: time.Now()}
	world.log.SetRetention(scheduleRetention)
	for number := range scheduleNodes {
		world.start(number)
	}
	until := time.Now().Add(scheduleLength)
	go world.disturb(until)
	budgets := map[string]int64{}
	var lanes sync.WaitGroup
	for program := range schedulePrograms {
		budget := []int64{864, 1152, 1728, 2304, 4608}[program%5]
		name := fmt.Sprint("program-", program)
		budgets[name] = budget
		begin := time.Duration(world.intN(40000)) * time.Millisecond
		for lane := range turnsAtOnce {
			lanes.Go(func() {
				time.Sleep(begin)
				world.runTurns(fmt.Sprint(name, "/", lane), name, budget, until)
			})
		}
	}
	lanes.Wait()
	for name, budget := range budgets {
		if world.spent[name] > budget+scheduleMaxTokens {
			violations = append(violations, fmt.Sprintf("%s got %d tokens of a budget of %d and %d for one turn more", name, world.spent[name], budget, scheduleMaxTokens))
		}
	}
	slices.Sort(violations)
	return violations, world.events
}

// TestBudgetsHoldOverSchedules guards against programs that get more than their budget and one turn while
// nodes are lost, stopped and cut off, and the log is silent, slow or loses answers.
func TestBudgetsHoldOverSchedules(t *testing.T) {
	for seed := *budgetSeed; seed < *budgetSeed+uint64(*budgetSchedules); seed++ {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			violations, events := runSchedule(ctx, seed)
			cancel()
			if len(violations) > 0 {
				t.Errorf("seed %d: %v", seed, violations)
				for _, event := range events {
					t.Log(event)
				}
			}
			time.Sleep(time.Minute) // Until all goroutines have ended.
		})
	}
}
