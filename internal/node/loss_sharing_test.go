package node

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/quarantine"
	"github.com/magpielug/magpielug/internal/reach"
	"github.com/magpielug/magpielug/internal/routing"
	. "github.com/onsi/gomega"
)

// lossFleet is a fleet of nodes that tell each other of losses, without sockets.
type lossFleet struct {
	network *fakeNetwork
	nodes   []*Node
	transit time.Duration
	mutex   sync.Mutex
	frozen  map[string]bool
	// messages and bytes count requests between nodes.
	messages, bytes atomic.Int64
}

func newLossFleet(t *testing.T, nodeCount, zoneCount int) *lossFleet {
	fleet := &lossFleet{network: &fakeNetwork{nodes: map[string]http.Handler{}, cut: map[[2]string]bool{}}, transit: time.Millisecond, frozen: map[string]bool{}}
	for number := range nodeCount {
		fleet.nodes = append(fleet.nodes, fleet.newNode(t, number, zoneCount))
	}
	for _, node := range fleet.nodes {
		for _, other := range fleet.nodes {
			node.members.put(other.self())
		}
	}
	return fleet
}

// newNode creates a node that knows no other yet.
func (fleet *lossFleet) newNode(t *testing.T, number, zoneCount int) *Node {
	logger, err := logging.New("error", t.Output())
	if err != nil {
		t.Fatal(err)
	}
	name := "node-" + strconv.Itoa(number)
	zone := "zone-" + strconv.Itoa(number%zoneCount)
	node := &Node{dependencies: Dependencies{Connections: backend.NewConnectionPool()}, settings: Settings{Name: name, Zone: zone, PeerAddress: name, Capacity: 0.8}, members: newMembers(), meter: newMeter(),
		logger: logger.Sampled(), engines: backend.NewDirectory(), zones: reach.NewZones(zone), service: &forward.Service{}}
	client := fleet.network.delayedClientFor(name, fleet.transit, fleet.isFrozen)
	node.peers = newPeers(node.members, &http.Client{Transport: roundTripperFunc(func(request *http.Request) (*http.Response, error) {
		fleet.messages.Add(1)
		fleet.bytes.Add(request.ContentLength)
		return client.Transport.RoundTrip(request)
	})})
	node.memberView = newRecordView("nodes", logger.Logger, func(durable.KeyedRecord) bool { return false })
	node.memberView.merge(durable.Update{EndOffset: 1}, time.Now())
	node.routes = &routing.ActiveConfiguration{}
	node.configurationView = newRecordView("configuration", logger.Logger, func(durable.KeyedRecord) bool { return false })
	node.engineView = newRecordView("engines", logger.Logger, func(durable.KeyedRecord) bool { return false })
	node.quarantine = newRequestQuarantine(node)
	node.origins = newStreamOrigins(node)
	fleet.network.mutex.Lock()
	fleet.network.nodes[name] = nodev1.NewNodeServer(&peerServer{node: node})
	fleet.network.mutex.Unlock()
	return node
}

func (fleet *lossFleet) isFrozen(name string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.frozen[name]
}

func (fleet *lossFleet) freeze(name string) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.frozen[name] = true
}

var lostContent = (&quarantine.Content{Target: "/lost"}).Fingerprint()

var lostIdentity = quarantine.Identity{Request: lostContent}

func lostEngine(number int) backend.Instance {
	return backend.Instance{ID: fmt.Sprint("engine-", number)}
}

// attemptOf returns an attempt of a request at an engine.
func attemptOf(request quarantine.Fingerprint, engine int) quarantine.Attempt {
	return quarantine.Attempt{Identity: quarantine.Identity{Request: request}, Engine: engineLife(lostEngine(engine)), Began: time.Now()}
}

func lostAttempt(engine int) quarantine.Attempt { return attemptOf(lostContent, engine) }

// knowing counts the nodes that know of a number of ended engines.
func (fleet *lossFleet) knowing(losses int) int {
	count := 0
	for _, node := range fleet.nodes {
		if node.quarantine.Count(lostIdentity) == losses {
			count++
		}
	}
	return count
}

// Guards against a caller's next try being sent by a node that does not know of the last one.
func TestAllNodesKnowOfALossBeforeItsCallIsAnswered(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newLossFleet(t, 60, 4)
		for engine := range quarantine.MaxLosses {
			began := time.Now()
			fleet.nodes[engine*7].quarantine.RecordLoss(lostAttempt(engine), quarantine.Interrupted)
			NewWithT(t).Expect(fleet.knowing(engine + 1)).To(Equal(60))
			NewWithT(t).Expect(time.Since(began)).To(BeNumerically("<=", 4*fleet.transit))
		}
		NewWithT(t).Expect(fleet.nodes[59].quarantine.Quarantined(lostIdentity)).To(BeTrue())
	})
}

// Guards against a frozen relay, or a frozen node of any zone, keeping others from knowing.
func TestFrozenNodesDoNotKeepOthersFromKnowing(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newLossFleet(t, 60, 4)
		reporter := fleet.nodes[0]
		relay := reporter.quarantine.sharing.relayOf("zone-1", time.Now())
		fleet.freeze(relay)
		fleet.freeze("node-58")
		began := time.Now()
		reporter.quarantine.RecordLoss(lostAttempt(0), quarantine.Interrupted)
		NewWithT(t).Expect(time.Since(began)).To(BeNumerically("<=", maxLossWait))
		time.Sleep(lossRelayTimeout)
		NewWithT(t).Expect(fleet.knowing(1)).To(Equal(58))
		began = time.Now()
		reporter.quarantine.RecordLoss(lostAttempt(1), quarantine.Interrupted)
		NewWithT(t).Expect(fleet.knowing(2)).To(Equal(58))
		NewWithT(t).Expect(time.Since(began)).To(BeNumerically("<=", 4*fleet.transit), "nodes that did not respond are not waited for again")
	})
}

// Guards against a node that was cut off, or started meanwhile, sending quarantined requests.
func TestNodesThatWereAwayLearnOfLosses(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newLossFleet(t, 12, 4)
		fleet.network.isolate("node-5")
		for engine := range quarantine.MaxLosses {
			fleet.nodes[0].quarantine.RecordLoss(lostAttempt(engine), quarantine.Interrupted)
		}
		NewWithT(t).Expect(fleet.knowing(3)).To(Equal(11))
		started := fleet.newNode(t, 12, 4)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		for _, node := range append(fleet.nodes, started) {
			for _, other := range append(fleet.nodes, started) {
				node.members.put(other.self())
			}
			go node.quarantine.sharing.run(ctx)
		}
		NewWithT(t).Expect(started.quarantine.ready()).To(BeFalse())
		time.Sleep(2 * startupExchangeInterval)
		NewWithT(t).Expect(started.quarantine.ready()).To(BeTrue())
		NewWithT(t).Expect(started.quarantine.Count(lostIdentity)).To(Equal(3))
		fleet.network.mutex.Lock()
		clear(fleet.network.cut)
		fleet.network.mutex.Unlock()
		time.Sleep(lossExchangeInterval + lossProbeInterval)
		NewWithT(t).Expect(fleet.knowing(3)).To(Equal(12))
	})
}

// Guards against a node that never becomes ready because the records of the others are out of reach.
func TestANodeIsReadyWithoutTheRecordsOfOthers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newLossFleet(t, 1, 1)
		node := fleet.nodes[0]
		node.memberView = newRecordView("nodes", node.logger.Logger, func(durable.KeyedRecord) bool { return false })
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go node.quarantine.sharing.run(ctx)
		time.Sleep(maxStartupExchange / 2)
		NewWithT(t).Expect(node.quarantine.ready()).To(BeFalse())
		time.Sleep(maxStartupExchange)
		NewWithT(t).Expect(node.quarantine.ready()).To(BeTrue())
	})
}

// Guards against a new node, whose record no other has read yet, sending quarantined requests.
func TestANodeThatOthersDoNotKnowYetLearnsOfLosses(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newLossFleet(t, 12, 4)
		started := fleet.newNode(t, 12, 4)
		for _, other := range fleet.nodes {
			started.members.put(other.self())
		}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go started.quarantine.sharing.run(ctx)
		time.Sleep(time.Second)
		fleet.nodes[0].quarantine.RecordLoss(lostAttempt(0), quarantine.Interrupted)
		time.Sleep(newNodeExchangeInterval + 10*time.Millisecond)
		NewWithT(t).Expect(started.quarantine.Count(lostIdentity)).To(Equal(1))
	})
}

// Guards against an engine that one node saw go on being held against requests at all others.
func TestARefutedLossIsRefutedEverywhere(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newLossFleet(t, 12, 4)
		fleet.nodes[0].quarantine.RecordLoss(lostAttempt(0), quarantine.Interrupted)
		time.Sleep(10 * time.Millisecond)
		fleet.nodes[7].quarantine.EngineAnswered(lostEngine(0), time.Now())
		time.Sleep(2*lossBatchDelay + 10*time.Millisecond)
		NewWithT(t).Expect(fleet.knowing(0)).To(Equal(12))
		before := fleet.messages.Load()
		fleet.nodes[3].quarantine.EngineAnswered(lostEngine(0), time.Now())
		time.Sleep(time.Second)
		NewWithT(t).Expect(fleet.messages.Load()).To(Equal(before), "it is told once")
	})
}

// At 985 nodes in 6 zones: one loss, and the end of a rack of 100 engines with 6 requests each.
func TestLossesAtTheTargetSize(t *testing.T) {
	const nodeCount, zoneCount, rack, slots = 985, 6, 100, 6
	inVirtualTime(t, func(t *testing.T) {
		fleet := newLossFleet(t, nodeCount, zoneCount)
		fleet.nodes[0].quarantine.RecordLoss(lostAttempt(0), quarantine.Interrupted)
		NewWithT(t).Expect(fleet.knowing(1)).To(Equal(nodeCount))
		t.Logf("one loss: %d messages, %d bytes without headers", fleet.messages.Load(), fleet.bytes.Load())
		NewWithT(t).Expect(fleet.messages.Load()).To(BeNumerically("<", nodeCount+zoneCount))
		fleet.messages.Store(0)
		fleet.bytes.Store(0)
		began := time.Now()
		var group sync.WaitGroup
		for request := range rack * slots {
			group.Go(func() {
				time.Sleep(time.Duration(request%10) * time.Millisecond)
				content := (&quarantine.Content{Target: strconv.Itoa(request)}).Fingerprint()
				fleet.nodes[request].quarantine.RecordLoss(attemptOf(content, request%rack), quarantine.Interrupted)
			})
		}
		group.Wait()
		t.Logf("%d losses: %d messages, %d bytes without headers, known after %v", rack*slots, fleet.messages.Load(), fleet.bytes.Load(), time.Since(began))
		NewWithT(t).Expect(fleet.nodes[nodeCount-1].quarantine.tracker.Losses(time.Now())).To(HaveLen(rack*slots + 1))
	})
}

// Guards against the nodes of a zone not being told of an engine's end while several candidates for its relay are
// lost.
func TestLossesReachZonesWhereSeveralRelaysAreLost(t *testing.T) {
	for _, lost := range []int{1, 2, 3, 6, 10} {
		t.Run(fmt.Sprintf("%d of 12 lost", lost), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				fleet := newLossFleet(t, 24, 2)
				var zone []string
				for _, candidate := range fleet.nodes[0].members.candidates(loadPseudoShard) {
					if candidate.Zone == "zone-1" {
						zone = append(zone, candidate.Name)
					}
				}
				for _, name := range zone[:lost] {
					fleet.freeze(name)
				}
				for number := range quarantine.MaxLosses {
					fleet.nodes[2*number].quarantine.RecordLoss(lostAttempt(number), quarantine.Interrupted) // Nodes of zone-0.
					time.Sleep(5 * time.Second)
				}
				for _, node := range fleet.nodes {
					if !fleet.isFrozen(node.settings.Name) {
						NewWithT(t).Expect(node.quarantine.Quarantined(lostIdentity)).To(BeTrue(), node.settings.Name)
					}
				}
			})
		})
	}
}

// Guards against a started node that takes itself for synchronized since no other responds yet, and against one
// that waits long once they do.
func TestAStartedNodeIsSynchronizedOnceOthersRespond(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newLossFleet(t, 12, 1)
		fleet.network.isolate("node-0")
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		sharing := fleet.nodes[0].quarantine.sharing
		go sharing.run(ctx)
		time.Sleep(maxStartupExchange / 2)
		NewWithT(t).Expect(sharing.synchronized.Load()).To(BeFalse())
		fleet.network.mutex.Lock()
		clear(fleet.network.cut)
		fleet.network.mutex.Unlock()
		time.Sleep(4 * startupExchangeInterval)
		NewWithT(t).Expect(sharing.synchronized.Load()).To(BeTrue())
		stop()
		time.Sleep(time.Minute)
	})
}
