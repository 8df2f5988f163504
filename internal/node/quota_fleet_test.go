package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/quota"
	"github.com/magpielug/magpielug/internal/routing"
	"github.com/magpielug/magpielug/internal/tenant"
)

// limitedTenant is a tenant with a limit far above its requests.
var limitedTenant = tenant.Tenant{Name: "limited", Limit: tenant.Limit{PerSecond: 1000, Burst: 1000}}

// quotaFleet is nodes that admit requests of limitedTenant. The first of order are asked to coordinate its limit.
type quotaFleet struct {
	nodes   map[string]*Node
	order   []Member
	network *fakeNetwork
	mutex   sync.Mutex
	lost    map[string]bool
}

func newQuotaFleet(ctx context.Context, t *testing.T, nodeCount int) *quotaFleet {
	logger, err := logging.New("error", t.Output())
	if err != nil {
		t.Fatal(err)
	}
	network := &fakeNetwork{nodes: map[string]http.Handler{}, cut: map[[2]string]bool{}}
	fleet := &quotaFleet{nodes: map[string]*Node{}, network: network, lost: map[string]bool{}}
	for number := range nodeCount {
		name := fmt.Sprint("node-", number)
		node := &Node{settings: Settings{Name: name, Shards: 8}, incarnation: name, members: newMembers(), meter: newMeter(), logger: logger.Sampled(), routes: &routing.ActiveConfiguration{}}
		node.settings.QuotaTolerance = quota.Tolerance{Window: 5 * time.Second, ExcessFraction: 0.1, ExcessRequests: 20}
		node.routes.Apply(&routing.Configuration{Version: 1, Tenants: tenant.NewDirectory([]tenant.TenantKeys{{Tenant: limitedTenant}})})
		client := network.delayedClientFor(name, time.Millisecond, fleet.isLost)
		client.Transport = node.contact.transport(client.Transport)
		node.peers = newPeers(node.members, client)
		node.quotas = newQuotas(node)
		network.nodes[name] = node.contact.handler(nodev1.NewNodeServer(&peerServer{node: node}))
		fleet.nodes[name] = node
	}
	for _, node := range fleet.nodes {
		for name := range fleet.nodes {
			node.members.put(Member{Name: name, Address: name, Capacity: 800})
		}
		go node.quotas.renewLeases(ctx)
	}
	any := fleet.nodes["node-0"]
	fleet.order = any.members.candidates(quotaPseudoShard - any.quotas.groupOf(limitedTenant.Name).number)
	return fleet
}

func (fleet *quotaFleet) isLost(name string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.lost[name]
}

// lose lets the first nodes of the order answer nobody from now on, and no others.
func (fleet *quotaFleet) lose(count int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	clear(fleet.lost)
	for _, member := range fleet.order[:count] {
		fleet.lost[member.Name] = true
	}
}

// admit sends a request to the node that is last in the order.
func (fleet *quotaFleet) admit(ctx context.Context) (forward.AdmissionVerdict, time.Duration) {
	began := time.Now()
	request := &forward.AdmissionRequest{Call: &forward.Call{ID: "r"}, Tenant: &limitedTenant, MaxWait: time.Second}
	admission := fleet.last().quotas.Admit(ctx, request)
	return admission.Verdict, time.Since(began)
}

func (fleet *quotaFleet) last() *Node { return fleet.nodes[fleet.order[len(fleet.order)-1].Name] }

// inQuotaFleet runs a test with a fleet in virtual time.
func inQuotaFleet(t *testing.T, nodeCount int, run func(ctx context.Context, fleet *quotaFleet)) {
	t.Parallel()
	inVirtualTime(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		fleet := newQuotaFleet(ctx, t, nodeCount)
		time.Sleep(8 * time.Second)
		run(ctx, fleet)
		stop()
		time.Sleep(time.Minute)
	})
}

// Guards against requests of a tenant that are refused, or wait, again and again where the first coordinators of
// its limit are lost for good and requests are few.
func TestFewRequestsAreAdmittedWhileTheFirstCoordinatorsAreLost(t *testing.T) {
	for _, lostCount := range []int{1, 2, 3, 4, 6, 9} {
		for _, interval := range []time.Duration{500 * time.Millisecond, 4 * time.Second} {
			t.Run(fmt.Sprintf("%d of 12 lost, a request each %v", lostCount, interval), func(t *testing.T) {
				inQuotaFleet(t, 12, func(ctx context.Context, fleet *quotaFleet) {
					fleet.lose(lostCount)
					time.Sleep(5 * time.Second)
					for range 10 {
						time.Sleep(interval)
						verdict, took := fleet.admit(ctx)
						if verdict != forward.Admitted || took >= quotaTimeout {
							t.Errorf("verdict %v after %v", verdict, took)
						}
					}
				})
			})
		}
	}
}

// Guards against a fleet of which most nodes are lost at once asking them one after another.
func TestCoordinatorsAreFoundSoonAfterMostNodesAreLost(t *testing.T) {
	for _, lostCount := range []int{3, 20, 79} {
		t.Run(fmt.Sprintf("%d of 84 lost", lostCount), func(t *testing.T) {
			inQuotaFleet(t, 84, func(ctx context.Context, fleet *quotaFleet) {
				fleet.lose(lostCount)
				lostAt := time.Now()
				verdict := forward.LimitUnavailable
				for verdict != forward.Admitted && time.Since(lostAt) < time.Minute {
					verdict, _ = fleet.admit(ctx)
				}
				t.Logf("admitted %v after the loss", time.Since(lostAt))
				if time.Since(lostAt) > 3*time.Second {
					t.Errorf("admitted %v after the loss", time.Since(lostAt))
				}
			})
		})
	}
}

// Guards against a coordinator that is not chosen again once it answers.
func TestACoordinatorThatAnswersAgainIsChosen(t *testing.T) {
	t.Run("after a minute", func(t *testing.T) {
		inQuotaFleet(t, 12, func(ctx context.Context, fleet *quotaFleet) {
			fleet.lose(4)
			time.Sleep(time.Minute)
			fleet.lose(0)
			time.Sleep(time.Minute/probeDivisor + 2*coordinatorProbeInterval)
			group := fleet.last().quotas.groupOf(limitedTenant.Name)
			if chosen := fleet.last().quotas.chooseCoordinator(group.number, time.Now()); chosen != fleet.order[0].Name {
				t.Errorf("%s is chosen", chosen)
			}
			if verdict, _ := fleet.admit(ctx); verdict != forward.Admitted {
				t.Errorf("verdict %v", verdict)
			}
		})
	})
}

// Guards against nodes that start together passing each other over since some listen later than others.
func TestNodesThatStartTogetherFindTheirCoordinator(t *testing.T) {
	t.Run("refused at first", func(t *testing.T) {
		inQuotaFleet(t, 12, func(ctx context.Context, fleet *quotaFleet) {
			for _, member := range fleet.order[1:] {
				fleet.network.isolate(member.Name) // Fails requests at once.
			}
			_, _ = fleet.admit(ctx)
			fleet.network.mutex.Lock()
			clear(fleet.network.cut)
			fleet.network.mutex.Unlock()
			group := fleet.last().quotas.groupOf(limitedTenant.Name)
			passedOver := 0
			for _, member := range fleet.order {
				if fleet.last().quotas.silent.passesOver(member.Name, time.Now()) {
					passedOver++
				}
			}
			if passedOver > maxUnansweredCoordinators {
				t.Errorf("%d nodes are passed over by group %d", passedOver, group.number)
			}
		})
	})
}
