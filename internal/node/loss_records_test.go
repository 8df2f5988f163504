package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/durable"
	"github.com/magpielug/magpielug/internal/quarantine"
	. "github.com/onsi/gomega"
)

const (
	testQuarantineTopic = "keyed.quarantine"
	testOriginTopic     = "origins"
	testVersionTopic    = "versions"
)

var errLogAway = errors.New("the log is away")

// durableFleet is a fleet whose nodes record losses in a log.
type durableFleet struct {
	*lossFleet
	log *durable.Memory
	// calls counts the calls of the log, appends those that append; away makes them fail.
	calls, appends atomic.Int64
	away           atomic.Bool
	stop           context.CancelFunc
	// stopNode ends what a node does by itself.
	stopNode map[string]context.CancelFunc
	zones    int
}

const (
	durableFleetNodes = 12
	durableFleetZones = 4
)

func newDurableFleet(t *testing.T) *durableFleet { return newDurableFleetIn(t, durableFleetZones) }

// newDurableFleetIn is newDurableFleet with a number of zones.
func newDurableFleetIn(t *testing.T, zones int) *durableFleet {
	fleet := &durableFleet{log: durable.NewMemory(), zones: zones}
	fleet.log.Intercept = func(operation string, _ durable.Partition) error {
		fleet.calls.Add(1)
		if operation == durable.OperationAppend {
			fleet.appends.Add(1)
		}
		if fleet.away.Load() {
			return errLogAway
		}
		return nil
	}
	fleet.start(t)
	t.Cleanup(func() {
		fleet.stop()
		time.Sleep(6 * originInterval) // Until the last messages are sent.
	})
	return fleet
}

// start starts new nodes that know nothing but the log.
func (fleet *durableFleet) start(t *testing.T) {
	fleet.lossFleet = newLossFleet(t, durableFleetNodes, fleet.zones)
	ctx, stop := context.WithCancel(context.Background())
	fleet.stop = stop
	fleet.stopNode = map[string]context.CancelFunc{}
	for _, node := range fleet.nodes {
		nodeContext, stopNode := context.WithCancel(ctx)
		fleet.stopNode[node.settings.Name] = stopNode
		node.dependencies = Dependencies{Connections: backend.NewConnectionPool(), Log: fleet.log, QuarantineTopic: testQuarantineTopic, OriginTopic: testOriginTopic, VersionTopic: testVersionTopic}
		node.quarantine = newRequestQuarantine(node)
		go node.quarantine.run(nodeContext)
	}
	time.Sleep(time.Second)
}

// loseNode ends a node.
func (fleet *durableFleet) loseNode(name string) {
	fleet.freeze(name)
	fleet.stopNode[name]()
}

// restart loses all nodes at once and starts others.
func (fleet *durableFleet) restart(t *testing.T) {
	fleet.stop()
	fleet.start(t)
}

// recorded returns the number of requests in the log.
func (fleet *durableFleet) recorded() int {
	snapshot, err := fleet.log.Latest(context.Background(), testQuarantineTopic)
	if err != nil {
		return -1
	}
	count := 0
	for _, record := range snapshot.Records {
		if len(record.Value) > 0 {
			count++
		}
	}
	return count
}

// lose records the end of an engine at a node.
func (fleet *durableFleet) lose(node, engine int) {
	fleet.nodes[node].quarantine.RecordLoss(lostAttempt(engine), quarantine.Interrupted)
}

// Guards against a request being sent on once all nodes that knew of its losses are lost.
func TestLossesOutliveAllNodes(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newDurableFleet(t)
		fleet.lose(0, 0)
		fleet.lose(1, 1)
		fleet.restart(t) // As soon as the second loss is recorded.
		NewWithT(t).Expect(fleet.knowing(2)).To(Equal(durableFleetNodes))
		fleet.lose(2, 2)
		fleet.restart(t)
		fleet.restart(t)
		NewWithT(t).Expect(fleet.nodes[5].quarantine.Quarantined(lostIdentity)).To(BeTrue())
		NewWithT(t).Expect(fleet.knowing(3)).To(Equal(durableFleetNodes))
	})
}

// Guards against single ends being forgotten when all nodes are lost after each of them.
func TestASingleLossOutlivesAllNodesOnceItLasts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newDurableFleet(t)
		for engine := range quarantine.MaxLosses {
			fleet.lose(engine, engine)
			time.Sleep(2 * reconcileInterval)
			fleet.restart(t)
		}
		NewWithT(t).Expect(fleet.knowing(3)).To(Equal(durableFleetNodes))
	})
}

// Guards against losses that are refuted, or have expired, being held against requests by nodes that start.
func TestRecordsOfRefutedAndExpiredLossesAreDeleted(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newDurableFleet(t)
		fleet.lose(0, 0)
		fleet.lose(1, 1)
		NewWithT(t).Expect(fleet.recorded()).To(Equal(1))
		fleet.nodes[3].quarantine.RequestAnswered(lostAttempt(0), time.Now().Add(time.Millisecond))
		time.Sleep(2 * time.Second)
		NewWithT(t).Expect(fleet.recorded()).To(BeZero())
		fleet.restart(t)
		NewWithT(t).Expect(fleet.knowing(0)).To(Equal(durableFleetNodes))
		fleet.lose(0, 0)
		time.Sleep(2 * reconcileInterval)
		NewWithT(t).Expect(fleet.recorded()).To(Equal(1))
		fleet.restart(t)
		NewWithT(t).Expect(fleet.knowing(1)).To(Equal(durableFleetNodes))
		time.Sleep(quarantine.Lifetime + 2*reconcileInterval)
		NewWithT(t).Expect(fleet.recorded()).To(BeZero())
	})
}

// Guards against an operator's release that other nodes, or nodes that start later, do not know.
func TestAReleaseHoldsEverywhere(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newDurableFleet(t)
		for engine := range quarantine.MaxLosses {
			fleet.lose(0, engine)
		}
		writer := httptest.NewRecorder()
		fleet.nodes[4].serveQuarantine(writer, httptest.NewRequest(http.MethodPost, quarantine.StatusPath+"?content="+lostContent.String(), nil))
		NewWithT(t).Expect(writer.Body.String()).To(MatchJSON(`{"refuted_losses":3}`))
		time.Sleep(2 * time.Second)
		NewWithT(t).Expect(fleet.knowing(0)).To(Equal(durableFleetNodes))
		fleet.restart(t)
		NewWithT(t).Expect(fleet.knowing(0)).To(Equal(durableFleetNodes))
	})
}

// Guards against common losses being recorded that are refuted at once.
func TestALossThatIsRefutedAtOnceIsNotRecorded(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newDurableFleet(t)
		appends := fleet.appends.Load()
		fleet.lose(0, 0)
		time.Sleep(200 * time.Millisecond)
		fleet.nodes[7].quarantine.EngineAnswered(lostEngine(0), time.Now())
		time.Sleep(5 * time.Second)
		NewWithT(t).Expect(fleet.appends.Load()).To(Equal(appends))
	})
}

// Guards against losses that happen while the log is away never being recorded.
func TestLossesAreRecordedOnceTheLogIsBack(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newDurableFleet(t)
		fleet.away.Store(true)
		for engine := range quarantine.MaxLosses {
			fleet.lose(0, engine)
		}
		time.Sleep(20 * time.Second)
		fleet.away.Store(false)
		time.Sleep(2 * maxReconcileInterval)
		fleet.restart(t)
		NewWithT(t).Expect(fleet.knowing(3)).To(Equal(durableFleetNodes))
	})
}

// Guards against the zones of a divided fleet holding different losses while each of them reaches the log.
func TestZonesThatReachOnlyTheLogLearnOfLosses(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newDurableFleet(t)
		fleet.network.mutex.Lock()
		for _, node := range fleet.nodes {
			for _, other := range fleet.nodes {
				if node.settings.Zone != other.settings.Zone {
					fleet.network.cut[[2]string{node.settings.Name, other.settings.Name}] = true
				}
			}
		}
		fleet.network.mutex.Unlock()
		fleet.lose(0, 0)
		fleet.lose(0, 1)
		fleet.lose(0, 2)
		time.Sleep(time.Second)
		NewWithT(t).Expect(fleet.knowing(3)).To(Equal(durableFleetNodes))
		fleet.restart(t)
		NewWithT(t).Expect(fleet.knowing(3)).To(Equal(durableFleetNodes))
	})
}

// Guards against a node that never serves since the log does not answer it, and against one that serves before
// it has asked.
func TestANodeWaitsForTheRecordsForABoundedTime(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := &durableFleet{log: durable.NewMemory(), zones: durableFleetZones}
		fleet.log.Intercept = func(string, durable.Partition) error { return errLogAway }
		fleet.start(t)
		defer fleet.stop()
		NewWithT(t).Expect(fleet.nodes[0].quarantine.ready()).To(BeFalse())
		time.Sleep(maxStartupExchange)
		NewWithT(t).Expect(fleet.nodes[0].quarantine.ready()).To(BeTrue())
	})
}

// Guards against calls of the log that grow with the number of nodes.
func TestAQuietFleetCallsTheLogRarely(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		fleet := newDurableFleet(t)
		NewWithT(t).Expect(fleet.calls.Load()).To(BeNumerically("<=", durableFleetNodes+2*durableFleetZones))
		before := fleet.calls.Load()
		time.Sleep(time.Minute)
		NewWithT(t).Expect(fleet.calls.Load() - before).To(BeNumerically("<=", durableFleetZones*int64(time.Minute/recordsMaxWait)))
	})
}

// Guards against ends that nobody records, and records that nobody deletes, since the first candidates for the
// recorder are lost for good.
func TestLossesAreRecordedWhereTheFirstCandidatesAreLost(t *testing.T) {
	for _, zones := range []int{1, durableFleetZones} {
		for _, lost := range []int{1, 2, 3, 6} {
			t.Run(fmt.Sprintf("%d zones, %d of %d lost", zones, lost, durableFleetNodes), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					fleet := newDurableFleetIn(t, zones)
					order := fleet.nodes[0].members.candidates(loadPseudoShard)
					for _, member := range order[:lost] {
						fleet.loseNode(member.Name)
					}
					time.Sleep(30 * time.Second)
					last := slices.IndexFunc(fleet.nodes, func(node *Node) bool { return node.settings.Name == order[len(order)-1].Name })
					fleet.lose(last, 0)
					time.Sleep(5 * time.Second)
					NewWithT(t).Expect(fleet.recorded()).To(Equal(1))
					fleet.nodes[last].quarantine.RequestAnswered(lostAttempt(0), time.Now())
					time.Sleep(5 * time.Second)
					NewWithT(t).Expect(fleet.recorded()).To(BeZero())
				})
			})
		}
	}
}
