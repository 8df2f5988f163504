package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/magpielug/magpielug/internal/wait"
	"github.com/magpielug/magpielug/rehearsal/relay"
	"github.com/magpielug/magpielug/rehearsal/standin/agentengine"
)

const (
	// hotTenantPrograms is the number of concurrent programs of a hot tenant. Together
	// with the other callers' programs, they exceed the model engines' slots.
	hotTenantPrograms = 30
	// slowReaderCount callers read large responses at slowReadBytes per
	// slowReadInterval. Their unread responses together exceed a node's memory limit
	// for buffered responses.
	slowReaderCount  = 24
	slowReadBytes    = 16 << 10
	slowReadInterval = 10 * time.Millisecond
	// slowReceiveBuffer is the size of a slow reader's socket receive buffer.
	slowReceiveBuffer = 16 << 10
	largePath         = "/safe" + agentengine.LargeSuffix
	// firstExtraCaller is the base of the numbers of callers started by faults, above
	// those of the run's callers.
	firstExtraCaller = 1000
)

// defaultLoadFaultZones is the default number of zones in runs with load faults.
const defaultLoadFaultZones = 2

// modelBaseDelays and toolBaseDelays give engines of a service unequal speeds.
var (
	modelBaseDelays = []time.Duration{21 * time.Millisecond, 30 * time.Millisecond, 51 * time.Millisecond}
	toolBaseDelays  = []time.Duration{7 * time.Millisecond, 17 * time.Millisecond}
)

// loadFaults are the kinds of faults of the load. They are drawn from separate random
// streams, so that they do not change the other faults of a seed.
var loadFaults = []fault{
	{"hot tenant", (*injector).runHotTenant},
	{"hot tenant", (*injector).runHotTenant},
	{"slow readers", (*injector).runSlowReaders},
	{"failing engine", (*injector).failEngine},
	{"failing engine", (*injector).failEngine},
	{"zone without store", (*injector).stallZoneStoreLinks},
}

// newExtraCaller returns a caller with a distinct range of request IDs, and its number.
func (injector *injector) newExtraCaller() (*caller, int) {
	number := firstExtraCaller + int(injector.extraCallers.Add(1))
	extra := &caller{cluster: injector.cluster, recorder: injector.recorder}
	extra.requestNumber.Store(int64(number) * requestIDsPerCaller)
	return extra, number
}

// runHotTenant runs many concurrent programs of one tenant.
func (injector *injector) runHotTenant(ctx context.Context, random *rand.Rand) string {
	duration := randomDuration(random, minFaultDuration, maxFaultDuration)
	if !injector.reserve(tenantHot) {
		return ""
	}
	defer injector.release(tenantHot)
	loadCtx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var workers sync.WaitGroup
	for range hotTenantPrograms {
		extra, number := injector.newExtraCaller()
		callerRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		workers.Go(func() { extra.runAsTenant(loadCtx, number, tenantHot, callerRandom) })
	}
	workers.Wait()
	return fmt.Sprintf("%d programs for %s", hotTenantPrograms, duration)
}

// runSlowReaders runs callers that read large responses slowly.
func (injector *injector) runSlowReaders(ctx context.Context, random *rand.Rand) string {
	duration := randomDuration(random, minFaultDuration, maxFaultDuration)
	const resource = "slow readers"
	if !injector.reserve(resource) {
		return ""
	}
	defer injector.release(resource)
	readCtx, stop := context.WithTimeout(ctx, duration)
	defer stop()
	var workers sync.WaitGroup
	for range slowReaderCount {
		extra, _ := injector.newExtraCaller()
		callerRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		workers.Go(func() {
			for readCtx.Err() == nil {
				extra.readLargeResponse(readCtx, callerRandom)
			}
		})
	}
	workers.Wait()
	return fmt.Sprintf("%d for %s", slowReaderCount, duration)
}

// readLargeResponse makes a call with a large response and reads it slowly.
func (caller *caller) readLargeResponse(ctx context.Context, random *rand.Rand) {
	attempt := &callAttempt{method: http.MethodGet, target: largePath, repeatable: true, tenant: tenantUnlimited, slow: true}
	caller.send(ctx, random, attempt, "", http.Header{})
	caller.recorder.checkLargeResponse(attempt)
	attempt.body = "" // The recorder keeps every attempt.
	if attempt.status != http.StatusOK {
		wait.Sleep(ctx, retryDelay)
	}
}

// checkLargeResponse checks that a large response belongs to its request and, if it is
// complete, has its full length.
func (recorder *recorder) checkLargeResponse(attempt *callAttempt) {
	if attempt.status != http.StatusOK {
		return
	}
	recorder.checkResponse(attempt)
	if received := len(attempt.body); attempt.complete && received <= agentengine.LargeBytes {
		recorder.addViolation(invariantResponse, "%s received %d bytes as a complete response of more than %d", attempt.id, received, agentengine.LargeBytes)
	}
}

// failEngine makes an engine fail every request immediately while its record stays
// ready.
func (injector *injector) failEngine(ctx context.Context, random *rand.Rand) string {
	target := injector.randomEngine(random)
	duration := randomDuration(random, minFaultDuration, maxFaultDuration)
	if !injector.reserve(target.ID) {
		return ""
	}
	defer injector.release(target.ID)
	target.SetFaults(agentengine.Faults{Fail: true})
	wait.Sleep(ctx, duration)
	target.SetFaults(agentengine.Faults{})
	return fmt.Sprintf("%s for %s", target.ID, duration)
}

// stallZoneStoreLinks stalls the connections of all nodes of a zone to the log store.
// Connections between nodes cannot be faulted: nodes connect directly to the addresses
// that their peers publish.
func (injector *injector) stallZoneStoreLinks(ctx context.Context, random *rand.Rand) string {
	zone := injector.cluster.options.zoneName(random.IntN(injector.cluster.options.Zones))
	duration := randomDuration(random, minFaultDuration, maxFaultDuration)
	var proxies []*relay.Proxy
	var resources []string
	for _, each := range injector.cluster.nodes {
		if each.zone == zone {
			proxies = append(proxies, each.storeProxy)
			resources = append(resources, storeLinkName(each))
		}
	}
	if !injector.reserve(resources...) {
		return ""
	}
	defer injector.release(resources...)
	for _, proxy := range proxies {
		proxy.SetFaults(relay.Faults{Stall: true})
	}
	wait.Sleep(ctx, duration)
	for _, proxy := range proxies {
		proxy.SetFaults(relay.Faults{})
	}
	return fmt.Sprintf("%s for %s", zone, duration)
}

// slowReader limits reads to slowReadBytes per slowReadInterval.
type slowReader struct{ reader io.Reader }

// Read implements io.Reader.
func (reader *slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(slowReadInterval)
	return reader.reader.Read(buffer[:min(len(buffer), slowReadBytes)])
}

// dialSmallBuffer dials a connection with a small receive buffer.
func dialSmallBuffer(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowReceiveBuffer)
	}
	return connection, nil
}
