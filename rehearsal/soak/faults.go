package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/wait"
	"github.com/magpielug/magpielug/rehearsal/relay"
	"github.com/magpielug/magpielug/rehearsal/standin/agentengine"
	"github.com/magpielug/magpielug/rehearsal/standin/logstore"
	"github.com/magpielug/magpielug/rehearsal/standin/records"
)

const (
	// shortest and longest bound how long a fault lasts.
	shortest = 300 * time.Millisecond
	longest  = 3500 * time.Millisecond
	// downMost is how long a killed process stays away at most.
	downMost = 1500 * time.Millisecond
	// calmMost bounds the pause between two faults of a lane.
	calmMost = 1200 * time.Millisecond
	// stopWithin is how long a planned stop may take.
	stopWithin = (graceSeconds + 2) * time.Second
	// slowStore and slowLink are the longest delays.
	slowStore = 300 * time.Millisecond
	slowLink  = 120 * time.Millisecond
)

// fault is one kind of trouble. throw begins it, waits, and ends it.
type fault struct {
	name  string
	throw func(thrower *thrower, ctx context.Context, random *rand.Rand) string
}

// faults are the kinds, each as often as it is listed.
var faults = []fault{
	{"kill node", (*thrower).killNode},
	{"kill node", (*thrower).killNode},
	{"kill all nodes", (*thrower).killAll},
	{"freeze node", (*thrower).freezeNode},
	{"freeze node", (*thrower).freezeNode},
	{"stop node", (*thrower).stopNode},
	{"store", (*thrower).disturbStore},
	{"store", (*thrower).disturbStore},
	{"compact store", (*thrower).compactStore},
	{"way to the store", (*thrower).disturbWayToStore},
	{"way to the store", (*thrower).disturbWayToStore},
	{"way to an engine", (*thrower).disturbWayToEngine},
	{"engine", (*thrower).disturbEngine},
	{"replace engine", (*thrower).replaceEngine},
	{"configure", (*thrower).configure},
	{"configure", (*thrower).configure},
}

// thrower throws faults in lanes. Two lanes never touch the same thing at once.
type thrower struct {
	world  *world
	ledger *ledger
	logf   func(format string, values ...any)
	mutex  sync.Mutex
	busy   map[string]bool
	thrown int
	// extra counts the callers that faults have brought.
	extra atomic.Int64
}

// run throws one fault of some kinds after another until ctx ends. What it began it ends.
func (thrower *thrower) run(ctx context.Context, random *rand.Rand, kinds []fault) {
	for ctx.Err() == nil {
		chosen := kinds[random.IntN(len(kinds))]
		detail := chosen.throw(thrower, ctx, random)
		if detail != "" {
			thrower.logf("%s: %s", chosen.name, detail)
			thrower.mutex.Lock()
			thrower.thrown++
			thrower.mutex.Unlock()
		}
		wait.Sleep(ctx, between(random, 0, calmMost))
	}
}

// take reserves a thing for a fault; it returns false where another one has it.
func (thrower *thrower) take(things ...string) bool {
	thrower.mutex.Lock()
	defer thrower.mutex.Unlock()
	for _, thing := range things {
		if thrower.busy[thing] {
			return false
		}
	}
	for _, thing := range things {
		thrower.busy[thing] = true
	}
	return true
}

func (thrower *thrower) release(things ...string) {
	thrower.mutex.Lock()
	defer thrower.mutex.Unlock()
	for _, thing := range things {
		delete(thrower.busy, thing)
	}
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func (thrower *thrower) anyNode(random *rand.Rand) *node {
	return thrower.world.nodes[random.IntN(len(thrower.world.nodes))]
}

func (thrower *thrower) anyEngine(random *rand.Rand) *engine {
	engines := thrower.world.listed()
	return engines[random.IntN(len(engines))]
}

func (thrower *thrower) killNode(ctx context.Context, random *rand.Rand) string {
	target := thrower.anyNode(random)
	down := between(random, 0, downMost)
	if !thrower.take(target.name) {
		return ""
	}
	defer thrower.release(target.name)
	target.stop(syscall.SIGKILL, time.Second)
	wait.Sleep(ctx, down)
	_ = target.start()
	return fmt.Sprintf("%s for %s", target.name, down)
}

func (thrower *thrower) killAll(ctx context.Context, random *rand.Rand) string {
	down := between(random, 0, downMost)
	var names []string
	for _, target := range thrower.world.nodes {
		names = append(names, target.name)
	}
	if !thrower.take(names...) {
		return ""
	}
	defer thrower.release(names...)
	var killing sync.WaitGroup
	for _, target := range thrower.world.nodes {
		killing.Go(func() { target.stop(syscall.SIGKILL, time.Second) })
	}
	killing.Wait()
	wait.Sleep(ctx, down)
	for _, target := range thrower.world.nodes {
		_ = target.start()
	}
	return fmt.Sprintf("for %s", down)
}

func (thrower *thrower) freezeNode(ctx context.Context, random *rand.Rand) string {
	target := thrower.anyNode(random)
	lasts := between(random, shortest, longest)
	if !thrower.take(target.name) {
		return ""
	}
	defer thrower.release(target.name)
	target.freeze()
	wait.Sleep(ctx, lasts)
	target.wake()
	return fmt.Sprintf("%s for %s", target.name, lasts)
}

func (thrower *thrower) stopNode(_ context.Context, random *rand.Rand) string {
	target := thrower.anyNode(random)
	if !thrower.take(target.name) {
		return ""
	}
	defer thrower.release(target.name)
	target.stop(syscall.SIGTERM, stopWithin)
	_ = target.start()
	return target.name
}

const storeThing = "store"

func (thrower *thrower) disturbStore(ctx context.Context, random *rand.Rand) string {
	kinds := []logstore.Faults{
		{Refuse: true},
		{Silent: true},
		{LoseAnswers: true},
		{Delay: between(random, 0, slowStore)},
		{DownParts: map[int]bool{random.IntN(partitions): true, random.IntN(partitions): true}},
	}
	chosen := kinds[random.IntN(len(kinds))]
	lasts := between(random, shortest, longest)
	if !thrower.take(storeThing) {
		return ""
	}
	defer thrower.release(storeThing)
	thrower.world.store.SetFaults(chosen)
	wait.Sleep(ctx, lasts)
	thrower.world.store.SetFaults(logstore.Faults{})
	return fmt.Sprintf("%+v for %s", chosen, lasts)
}

// compactStore drops the history of the keyed topics; the newest records stay.
func (thrower *thrower) compactStore(ctx context.Context, _ *rand.Rand) string {
	for _, topic := range []string{records.TopicOperator, records.TopicEngines} {
		snapshot, err := thrower.world.store.Log.Latest(ctx, topic)
		if err == nil {
			thrower.world.store.Log.Trim(durable.Partition{Topic: topic}, snapshot.End)
		}
	}
	return "keyed topics"
}

// modes are ways in which a link is disturbed.
func modes(random *rand.Rand) relay.Mode {
	kinds := []relay.Mode{{Silent: true}, {Mute: true}, {Resets: true}, {Delay: between(random, 0, slowLink)}}
	return kinds[random.IntN(len(kinds))]
}

func (thrower *thrower) disturbWayToStore(ctx context.Context, random *rand.Rand) string {
	target := thrower.anyNode(random)
	return thrower.disturbDoor(ctx, random, target.door, wayToStore(target))
}

// wayToStore names a node's way to the store.
func wayToStore(node *node) string { return "store of " + node.name }

func (thrower *thrower) disturbWayToEngine(ctx context.Context, random *rand.Rand) string {
	target := thrower.anyEngine(random)
	return thrower.disturbDoor(ctx, random, target.door, target.ID)
}

func (thrower *thrower) disturbDoor(ctx context.Context, random *rand.Rand, door *relay.Door, thing string) string {
	mode := modes(random)
	lasts := between(random, shortest, longest)
	if !thrower.take(thing) {
		return ""
	}
	defer thrower.release(thing)
	door.Set(mode)
	wait.Sleep(ctx, lasts)
	door.Set(relay.Mode{})
	return fmt.Sprintf("%s %+v for %s", thing, mode, lasts)
}

func (thrower *thrower) disturbEngine(ctx context.Context, random *rand.Rand) string {
	target := thrower.anyEngine(random)
	kinds := []agentengine.Faults{
		{Full: true},
		{LoseAnswers: true},
		{BreakAfter: 1 + random.IntN(eventsPerStream)},
		{Pause: 150 * time.Millisecond},
	}
	chosen := kinds[random.IntN(len(kinds))]
	lasts := between(random, shortest, longest)
	if !thrower.take(target.ID) {
		return ""
	}
	defer thrower.release(target.ID)
	target.SetFaults(chosen)
	wait.Sleep(ctx, lasts)
	target.SetFaults(agentengine.Faults{})
	return fmt.Sprintf("%s %+v for %s", target.ID, chosen, lasts)
}

func (thrower *thrower) replaceEngine(_ context.Context, random *rand.Rand) string {
	target := thrower.anyEngine(random)
	if !thrower.take(target.ID) {
		return ""
	}
	defer thrower.release(target.ID)
	err := thrower.world.replace(target)
	if err != nil {
		return ""
	}
	return target.ID
}

func (thrower *thrower) configure(context.Context, *rand.Rand) string {
	return fmt.Sprintf("version %d", thrower.world.configure())
}
