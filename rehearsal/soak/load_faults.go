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
	// hotPrograms is how many programs a hot tenant has under way at once. With those of
	// the other callers they are half as many again as the model engines have slots.
	hotPrograms = 30
	// slowReaders take large answers at once, slowPiece bytes each slowPause: a second or so
	// an answer, while the engine gives it at once. Together they hold more than a node of
	// the settings' memory may keep for callers.
	slowReaders = 24
	slowPiece   = 16 << 10
	slowPause   = 10 * time.Millisecond
	// slowWindow is what the system keeps for such a caller on its own side.
	slowWindow = 16 << 10
	largePath  = "/safe" + agentengine.LargeSuffix
	// firstExtra numbers the callers that faults bring, above those of the run.
	firstExtra = 1000
)

// zonesUnderLoad is the default number of zones in runs with disturbances of the load.
const zonesUnderLoad = 2

// modelPaces and toolPaces are the times of engines of unequal speed: 0.7, 1 and 1.7 times
// the usual, as customers' engines have them.
var (
	modelPaces = []time.Duration{21 * time.Millisecond, 30 * time.Millisecond, 51 * time.Millisecond}
	toolPaces  = []time.Duration{7 * time.Millisecond, 17 * time.Millisecond}
)

// loadFaults are the kinds of trouble that concern the load, each as often as it is listed.
// They have lanes of their own, so that a seed's other faults stay what they were.
var loadFaults = []fault{
	{"hot tenant", (*thrower).hotTenant},
	{"hot tenant", (*thrower).hotTenant},
	{"slow readers", (*thrower).slowReaders},
	{"engine fails at once", (*thrower).failAtOnce},
	{"engine fails at once", (*thrower).failAtOnce},
	{"zone without store", (*thrower).zoneWithoutStore},
}

// extraCallers returns callers with request ids of their own.
func (thrower *thrower) extraCallers() (*callers, int) {
	number := firstExtra + int(thrower.extra.Add(1))
	made := &callers{world: thrower.world, ledger: thrower.ledger}
	made.ids.Store(int64(number) * idsPerCaller)
	return made, number
}

// hotTenant has one tenant run many programs at once.
func (thrower *thrower) hotTenant(ctx context.Context, random *rand.Rand) string {
	lasts := between(random, shortest, longest)
	if !thrower.take(tenantHot) {
		return ""
	}
	defer thrower.release(tenantHot)
	flooding, stop := context.WithTimeout(ctx, lasts)
	defer stop()
	var working sync.WaitGroup
	for range hotPrograms {
		extra, number := thrower.extraCallers()
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		working.Go(func() { extra.runFor(flooding, number, tenantHot, own) })
	}
	working.Wait()
	return fmt.Sprintf("%d programs for %s", hotPrograms, lasts)
}

// slowReaders has callers take large answers slowly.
func (thrower *thrower) slowReaders(ctx context.Context, random *rand.Rand) string {
	lasts := between(random, shortest, longest)
	const thing = "slow readers"
	if !thrower.take(thing) {
		return ""
	}
	defer thrower.release(thing)
	reading, stop := context.WithTimeout(ctx, lasts)
	defer stop()
	var working sync.WaitGroup
	for range slowReaders {
		extra, _ := thrower.extraCallers()
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		working.Go(func() {
			for reading.Err() == nil {
				extra.readSlowly(reading, own)
			}
		})
	}
	working.Wait()
	return fmt.Sprintf("%d for %s", slowReaders, lasts)
}

// readSlowly makes one call with a large answer.
func (callers *callers) readSlowly(ctx context.Context, random *rand.Rand) {
	attempt := &sent{method: http.MethodGet, target: largePath, repeatable: true, tenant: tenantFree, slow: true}
	callers.send(ctx, random, attempt, "", http.Header{})
	callers.ledger.checkLarge(attempt)
	attempt.body = "" // The ledger keeps every attempt.
	if attempt.status != http.StatusOK {
		wait.Sleep(ctx, attemptPause)
	}
}

// checkLarge checks that a large answer came from its first byte on, all of it where it is
// whole.
func (ledger *ledger) checkLarge(attempt *sent) {
	if attempt.status != http.StatusOK {
		return
	}
	ledger.checkAnswer(attempt)
	if got := len(attempt.body); attempt.whole && got <= agentengine.LargeBytes {
		ledger.violated(promiseWhole, "%s got %d bytes of over %d as whole", attempt.id, got, agentengine.LargeBytes)
	}
}

// failAtOnce has an engine answer each request with a failure, at once; its record stays good.
func (thrower *thrower) failAtOnce(ctx context.Context, random *rand.Rand) string {
	target := thrower.anyEngine(random)
	lasts := between(random, shortest, longest)
	if !thrower.take(target.ID) {
		return ""
	}
	defer thrower.release(target.ID)
	target.SetFaults(agentengine.Faults{Fail: true})
	wait.Sleep(ctx, lasts)
	target.SetFaults(agentengine.Faults{})
	return fmt.Sprintf("%s for %s", target.ID, lasts)
}

// zoneWithoutStore silences the ways of all nodes of a zone to the store. The ways between
// nodes stay: a node's address in the store is the one that it listens at, so that nothing
// stands between.
func (thrower *thrower) zoneWithoutStore(ctx context.Context, random *rand.Rand) string {
	zone := thrower.world.options.zone(random.IntN(thrower.world.options.Zones))
	lasts := between(random, shortest, longest)
	var doors []*relay.Door
	var things []string
	for _, each := range thrower.world.nodes {
		if each.zone == zone {
			doors = append(doors, each.door)
			things = append(things, wayToStore(each))
		}
	}
	if !thrower.take(things...) {
		return ""
	}
	defer thrower.release(things...)
	for _, door := range doors {
		door.Set(relay.Mode{Silent: true})
	}
	wait.Sleep(ctx, lasts)
	for _, door := range doors {
		door.Set(relay.Mode{})
	}
	return fmt.Sprintf("%s for %s", zone, lasts)
}

// slowReader takes a body in small pieces with pauses.
type slowReader struct{ reader io.Reader }

// Read implements io.Reader.
func (slow *slowReader) Read(buffer []byte) (int, error) {
	time.Sleep(slowPause)
	return slow.reader.Read(buffer[:min(len(buffer), slowPiece)])
}

// dialSlow opens a connection that takes little before it is read.
func dialSlow(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowWindow)
	}
	return connection, nil
}
