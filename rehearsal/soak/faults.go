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
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3500 * time.Millisecond
	// maxDowntime is the maximum time between a kill and the restart.
	maxDowntime = 1500 * time.Millisecond
	// maxFaultInterval is the maximum pause between two faults of a worker.
	maxFaultInterval = 1200 * time.Millisecond
	// shutdownTimeout is the time allowed for a planned stop.
	shutdownTimeout = (graceSeconds + 2) * time.Second
	// maxStoreDelay and maxLinkDelay bound the injected latencies.
	maxStoreDelay = 300 * time.Millisecond
	maxLinkDelay  = 120 * time.Millisecond
)

// fault is a kind of fault. inject starts one, waits and ends it. It returns a
// description, or an empty string if no fault was injected.
type fault struct {
	name   string
	inject func(injector *injector, ctx context.Context, random *rand.Rand) string
}

// faults are the kinds of faults. A kind is chosen in proportion to its number of
// entries.
var faults = []fault{
	{"kill node", (*injector).killNode},
	{"kill node", (*injector).killNode},
	{"kill all nodes", (*injector).killAllNodes},
	{"freeze node", (*injector).freezeNode},
	{"freeze node", (*injector).freezeNode},
	{"stop node", (*injector).stopNode},
	{"store", (*injector).injectStoreFault},
	{"store", (*injector).injectStoreFault},
	{"compact store", (*injector).compactStore},
	{"store link", (*injector).injectStoreLinkFault},
	{"store link", (*injector).injectStoreLinkFault},
	{"engine link", (*injector).injectEngineLinkFault},
	{"engine", (*injector).injectEngineFault},
	{"replace engine", (*injector).replaceEngine},
	{"configure", (*injector).publishConfiguration},
	{"configure", (*injector).publishConfiguration},
}

// injector injects faults from several workers. It reserves each resource for one fault
// at a time.
type injector struct {
	cluster  *cluster
	recorder *recorder
	logf     func(format string, values ...any)
	mutex    sync.Mutex
	reserved map[string]bool
	injected int
	// extraCallers is the number of callers started by faults.
	extraCallers atomic.Int64
	// rollouts is the number of software versions of engines that were rolled out.
	rollouts atomic.Int64
	// outages are the times at which nodes did not run, storeOutages those at which the store did not
	// respond as usual.
	outages      []nodeOutage
	storeOutages []storeOutage
}

// run injects randomly chosen faults of the given kinds until ctx ends, and ends each
// of them.
func (injector *injector) run(ctx context.Context, random *rand.Rand, kinds []fault) {
	for ctx.Err() == nil {
		selected := kinds[random.IntN(len(kinds))]
		detail := selected.inject(injector, ctx, random)
		if detail != "" {
			injector.logf("%s: %s", selected.name, detail)
			injector.mutex.Lock()
			injector.injected++
			injector.mutex.Unlock()
		}
		wait.Sleep(ctx, randomDuration(random, 0, maxFaultInterval))
	}
}

// reserve reserves resources for a fault. It reserves none and returns false if any of
// them is in use.
func (injector *injector) reserve(resources ...string) bool {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	for _, resource := range resources {
		if injector.reserved[resource] {
			return false
		}
	}
	for _, resource := range resources {
		injector.reserved[resource] = true
	}
	return true
}

func (injector *injector) release(resources ...string) {
	injector.mutex.Lock()
	defer injector.mutex.Unlock()
	for _, resource := range resources {
		delete(injector.reserved, resource)
	}
}

func randomDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

func (injector *injector) randomNode(random *rand.Rand) *node {
	return injector.cluster.nodes[random.IntN(len(injector.cluster.nodes))]
}

func (injector *injector) randomEngine(random *rand.Rand) *engine {
	engines := injector.cluster.listedEngines()
	return engines[random.IntN(len(engines))]
}

func (injector *injector) killNode(ctx context.Context, random *rand.Rand) string {
	target := injector.randomNode(random)
	outage := randomDuration(random, 0, maxDowntime)
	if !injector.reserve(target.name) {
		return ""
	}
	defer injector.release(target.name)
	defer injector.recordOutage(time.Now(), target)
	target.stop(syscall.SIGKILL, time.Second)
	wait.Sleep(ctx, outage)
	_ = target.start()
	return fmt.Sprintf("%s for %s", target.name, outage)
}

func (injector *injector) killAllNodes(ctx context.Context, random *rand.Rand) string {
	outage := randomDuration(random, 0, maxDowntime)
	var names []string
	for _, target := range injector.cluster.nodes {
		names = append(names, target.name)
	}
	if !injector.reserve(names...) {
		return ""
	}
	defer injector.release(names...)
	defer injector.recordOutage(time.Now(), injector.cluster.nodes...)
	var killing sync.WaitGroup
	for _, target := range injector.cluster.nodes {
		killing.Go(func() { target.stop(syscall.SIGKILL, time.Second) })
	}
	killing.Wait()
	wait.Sleep(ctx, outage)
	for _, target := range injector.cluster.nodes {
		_ = target.start()
	}
	return fmt.Sprintf("for %s", outage)
}

func (injector *injector) freezeNode(ctx context.Context, random *rand.Rand) string {
	target := injector.randomNode(random)
	duration := randomDuration(random, minFaultDuration, maxFaultDuration)
	if !injector.reserve(target.name) {
		return ""
	}
	defer injector.release(target.name)
	defer injector.recordOutage(time.Now(), target)
	target.freeze()
	wait.Sleep(ctx, duration)
	target.resume()
	return fmt.Sprintf("%s for %s", target.name, duration)
}

func (injector *injector) stopNode(_ context.Context, random *rand.Rand) string {
	target := injector.randomNode(random)
	if !injector.reserve(target.name) {
		return ""
	}
	defer injector.release(target.name)
	defer injector.recordOutage(time.Now(), target)
	target.stop(syscall.SIGTERM, shutdownTimeout)
	_ = target.start()
	return target.name
}

const storeResource = "store"

func (injector *injector) injectStoreFault(ctx context.Context, random *rand.Rand) string {
	kinds := []logstore.Faults{
		{Unavailable: true},
		{Stall: true},
		{DropResponses: true},
		{Delay: randomDuration(random, 0, maxStoreDelay)},
		{UnavailablePartitions: map[int]bool{random.IntN(partitions): true, random.IntN(partitions): true}},
	}
	selected := kinds[random.IntN(len(kinds))]
	duration := randomDuration(random, minFaultDuration, maxFaultDuration)
	if !injector.reserve(storeResource) {
		return ""
	}
	defer injector.release(storeResource)
	defer injector.recordStoreOutage(time.Now())
	injector.cluster.store.SetFaults(selected)
	wait.Sleep(ctx, duration)
	injector.cluster.store.SetFaults(logstore.Faults{})
	return fmt.Sprintf("%+v for %s", selected, duration)
}

// compactStore discards all but the latest record of each key in the keyed topics.
func (injector *injector) compactStore(ctx context.Context, _ *rand.Rand) string {
	for _, topic := range []string{records.TopicOperator, records.TopicEngines} {
		snapshot, err := injector.cluster.store.Log.Latest(ctx, topic)
		if err == nil {
			injector.cluster.store.Log.Trim(durable.Partition{Topic: topic}, snapshot.EndOffset)
		}
	}
	return "keyed topics"
}

// randomLinkFault draws a fault of a network link.
func randomLinkFault(random *rand.Rand) relay.Faults {
	kinds := []relay.Faults{{Stall: true}, {StallResponses: true}, {Reset: true}, {MaxDelay: randomDuration(random, 0, maxLinkDelay)}}
	return kinds[random.IntN(len(kinds))]
}

func (injector *injector) injectStoreLinkFault(ctx context.Context, random *rand.Rand) string {
	target := injector.randomNode(random)
	return injector.injectLinkFault(ctx, random, target.storeProxy, storeLinkName(target))
}

// storeLinkName returns the resource name of a node's connection to the log store.
func storeLinkName(node *node) string { return "store link of " + node.name }

func (injector *injector) injectEngineLinkFault(ctx context.Context, random *rand.Rand) string {
	target := injector.randomEngine(random)
	return injector.injectLinkFault(ctx, random, target.proxy, target.ID)
}

func (injector *injector) injectLinkFault(ctx context.Context, random *rand.Rand, proxy *relay.Proxy, resource string) string {
	mode := randomLinkFault(random)
	duration := randomDuration(random, minFaultDuration, maxFaultDuration)
	if !injector.reserve(resource) {
		return ""
	}
	defer injector.release(resource)
	proxy.SetFaults(mode)
	wait.Sleep(ctx, duration)
	proxy.SetFaults(relay.Faults{})
	return fmt.Sprintf("%s %+v for %s", resource, mode, duration)
}

func (injector *injector) injectEngineFault(ctx context.Context, random *rand.Rand) string {
	target := injector.randomEngine(random)
	kinds := []agentengine.Faults{
		{Overloaded: true},
		{DropResponses: true},
		{AbortStreamAfter: 1 + random.IntN(eventsPerStream)},
		{EventDelay: 150 * time.Millisecond},
	}
	selected := kinds[random.IntN(len(kinds))]
	duration := randomDuration(random, minFaultDuration, maxFaultDuration)
	if !injector.reserve(target.ID) {
		return ""
	}
	defer injector.release(target.ID)
	target.SetFaults(selected)
	wait.Sleep(ctx, duration)
	target.SetFaults(agentengine.Faults{})
	return fmt.Sprintf("%s %+v for %s", target.ID, selected, duration)
}

func (injector *injector) replaceEngine(_ context.Context, random *rand.Rand) string {
	target := injector.randomEngine(random)
	if !injector.reserve(target.ID) {
		return ""
	}
	defer injector.release(target.ID)
	err := injector.cluster.replaceEngine(target)
	if err != nil {
		return ""
	}
	return target.ID
}

func (injector *injector) publishConfiguration(context.Context, *rand.Rand) string {
	return fmt.Sprintf("version %d", injector.cluster.publishConfiguration())
}
