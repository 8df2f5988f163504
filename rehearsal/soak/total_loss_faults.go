package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/magpielug/magpielug/internal/wait"
	"github.com/magpielug/magpielug/rehearsal/standin/logstore"
)

const (
	// totalLosses is how often all nodes are lost one loss after the other, totalLossPause apart at most.
	totalLosses    = 3
	totalLossPause = 2500 * time.Millisecond
	// slowStoreDelay is the longest delay of the store's responses while all nodes are lost.
	slowStoreDelay = 200 * time.Millisecond
	// persistentAttempts is how often a caller sends a request that ends engines, at most
	// maxPersistentPause apart, so that it meets several losses of all nodes.
	persistentAttempts = 25
	maxPersistentPause = 1200 * time.Millisecond
)

// totalLossFaults are the kinds of faults that lose what only nodes know. They are drawn from separate
// random streams, so that they do not change the other faults of a seed.
var totalLossFaults = []fault{
	{"kill all nodes in series", (*injector).killAllInSeries},
	{"kill all nodes, with a slow store", (*injector).killAllWithSlowStore},
	{"kill all nodes", (*injector).killAllNodes},
}

// persistentCrashFaults are requests that end engines and are sent for as long as losses of all nodes last.
var persistentCrashFaults = []fault{{"persistent request that ends engines", (*injector).sendPersistentCrashRequest}}

// hasCrashRequests reports whether engines end under some requests of the run.
func (options Options) hasCrashRequests() bool {
	return options.CrashWorkers > 0 || options.TotalLossWorkers > 0 || options.EndWorkers > 0
}

func (injector *injector) killAllInSeries(ctx context.Context, random *rand.Rand) string {
	var losses []string
	for range totalLosses {
		if loss := injector.killAllNodes(ctx, random); loss != "" {
			losses = append(losses, loss)
		}
		wait.Sleep(ctx, randomDuration(random, 0, totalLossPause))
	}
	return strings.Join(losses, ", ")
}

func (injector *injector) killAllWithSlowStore(ctx context.Context, random *rand.Rand) string {
	delay := randomDuration(random, 0, slowStoreDelay)
	if !injector.reserve(storeResource) {
		return ""
	}
	defer injector.release(storeResource)
	injector.cluster.store.SetFaults(logstore.Faults{Delay: delay})
	defer injector.cluster.store.SetFaults(logstore.Faults{})
	wait.Sleep(ctx, randomDuration(random, 0, totalLossPause))
	loss := injector.killAllNodes(ctx, random)
	wait.Sleep(ctx, randomDuration(random, 0, totalLossPause))
	return fmt.Sprintf("%s, store slower by %s", loss, delay)
}

// sendPersistentCrashRequest sends one request that ends engines for many seconds.
func (injector *injector) sendPersistentCrashRequest(ctx context.Context, random *rand.Rand) string {
	return injector.repeatCrashRequest(ctx, random, persistentAttempts, maxPersistentPause)
}
