package fault

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	"github.com/magpielug/magpielug/internal/operator"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/rehearsal/cluster"
	"github.com/magpielug/magpielug/rehearsal/history"
)

const (
	// publishTimeout bounds one attempt to publish a change; maxPublishAttempts limits
	// the attempts while the outcome is unknown.
	publishTimeout     = 15 * time.Second
	maxPublishAttempts = 4
	sampleTimeout      = 2 * time.Second
	// leaderTimeout bounds the wait until every shard has a leader.
	leaderTimeout = 30 * time.Second
	// maxWeight is the highest tier weight that publishers set.
	maxWeight = 7
)

// operatorClient returns a client for a gateway's operator API.
func (runner *runner) operatorClient(address string) operatorv1.Operator {
	return operatorv1.NewOperatorProtobufClient("http://"+address, runner.client)
}

// withOperatorKey adds the operator key to the requests made with ctx.
func withOperatorKey(ctx context.Context) (context.Context, error) {
	header := make(http.Header)
	header.Set("Authorization", "Bearer "+cluster.OperatorKey)
	authorized, err := twirp.WithHTTPRequestHeaders(ctx, header)
	return authorized, eris.Wrap(err, "set operator key")
}

// busiestLeader returns the scheduler that leads the most shards.
func (runner *runner) busiestLeader(ctx context.Context) (string, error) {
	for _, gateway := range runner.cluster.Gateways() {
		nodes, err := runner.listNodes(ctx, gateway)
		if err != nil {
			continue
		}
		busiest := &operatorv1.Node{}
		for _, node := range nodes {
			if node.GetShardsLed() > busiest.GetShardsLed() {
				busiest = node
			}
		}
		if busiest.GetId() != "" {
			return busiest.GetId(), nil
		}
	}
	return "", eris.New("no gateway reported a scheduler that leads a shard")
}

// awaitLeaders waits until every shard has a leader. Calls before that would fail for
// reasons other than the scenario's faults.
func (runner *runner) awaitLeaders(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	for {
		led := uint32(0)
		nodes, err := runner.listNodes(bounded, runner.cluster.Gateways()[0])
		for _, node := range nodes {
			led += node.GetShardsLed()
		}
		if err == nil && led == uint32(runner.scenario.Layout.Shards) {
			return nil
		}
		if !sleep(bounded, defaultBackOff) {
			return eris.Errorf("%d of %d shards had a leader after %s", led, runner.scenario.Layout.Shards, leaderTimeout)
		}
	}
}

func (runner *runner) listNodes(ctx context.Context, gateway string) ([]*operatorv1.Node, error) {
	bounded, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	authorized, err := withOperatorKey(bounded)
	if err != nil {
		return nil, err
	}
	reply, err := runner.operatorClient(gateway).ListNodes(authorized, &operatorv1.ListNodesRequest{})
	return reply.GetNodes(), eris.Wrap(err, "list nodes")
}

// sampleVersions periodically records the configuration version of each process
// until ctx is done. Gateways are queried directly; schedulers' versions come from a
// gateway's list of nodes.
func (runner *runner) sampleVersions(ctx context.Context) {
	if runner.scenario.Operators.Publishers == 0 {
		return
	}
	for round := 0; sleep(ctx, sampleInterval); round++ {
		for _, machine := range runner.cluster.Plan().Machines() {
			if machine.Role == outside.RoleGateway {
				runner.sampleGateway(ctx, machine)
			}
		}
		gateways := runner.cluster.Gateways()
		runner.sampleSchedulers(ctx, gateways[round%len(gateways)])
	}
}

func (runner *runner) sampleGateway(ctx context.Context, machine cluster.Machine) {
	bounded, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	authorized, err := withOperatorKey(bounded)
	if err != nil {
		return
	}
	at := runner.elapsed()
	reply, err := runner.operatorClient(machine.Address).GetConfiguration(authorized, &operatorv1.GetConfigurationRequest{})
	if err == nil {
		runner.recordVersion(machine.ID, at, reply.GetVersion())
	}
}

func (runner *runner) sampleSchedulers(ctx context.Context, gateway string) {
	at := runner.elapsed()
	nodes, err := runner.listNodes(ctx, gateway)
	if err != nil {
		return
	}
	for _, node := range nodes {
		if node.GetRole() == string(outside.RoleScheduler) && node.GetConfigurationVersion() > 0 {
			runner.recordVersion(node.GetId(), at, node.GetConfigurationVersion())
		}
	}
}

func (runner *runner) recordVersion(process string, at time.Duration, version uint64) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.Samples = append(runner.record.Samples, history.VersionSample{At: at, Process: process, Version: version})
}

// runPublishers has all publishers propose a change concurrently, once per interval.
func (runner *runner) runPublishers(ctx context.Context) {
	operators := runner.scenario.Operators
	if operators.Publishers == 0 {
		return
	}
	until := cmp.Or(operators.Until, runner.scenario.Duration)
	for round := 1; runner.elapsed() < until && sleep(ctx, operators.Interval); round++ {
		var group sync.WaitGroup
		for publisher := range operators.Publishers {
			runner.background(&group, func() { runner.publish(ctx, round, publisher) })
		}
		group.Wait()
	}
}

// lastPublishReturn returns when the last publish returned, or 0 if there was none.
func (runner *runner) lastPublishReturn() time.Duration {
	last := time.Duration(0)
	for _, publish := range runner.record.Publishes {
		last = max(last, publish.Returned)
	}
	return last
}

// publish proposes one change based on a gateway's current version, and retries it
// with the same change id while its outcome is unknown.
func (runner *runner) publish(ctx context.Context, round, publisher int) {
	gateways := runner.cluster.Gateways()
	change := history.Publish{ChangeID: fmt.Sprintf("change-%d-%d", round, publisher), Code: resultcode.OutcomeUnknown}
	var proposed *operatorv1.Configuration
	for send := range maxPublishAttempts {
		gateway := gateways[(publisher+send)%len(gateways)]
		if proposed == nil {
			proposed, change.Base = runner.proposeChange(ctx, gateway, round, publisher)
		}
		if proposed == nil {
			continue
		}
		version, err := runner.sendChange(ctx, gateway, change, proposed)
		if err == nil {
			change.Version, change.Code = version, 0
			break
		}
		failure := operator.FromTwirp(err)
		if failure != nil && failure.Code != resultcode.PublishUnknown {
			change.Code = failure.Code
			break
		}
	}
	change.Returned = runner.elapsed()
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.Publishes = append(runner.record.Publishes, change)
}

// proposeChange returns a gateway's current configuration with a changed weight, and
// its version. It returns nil if the gateway can't provide it.
func (runner *runner) proposeChange(ctx context.Context, gateway string, round, publisher int) (*operatorv1.Configuration, uint64) {
	bounded, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	authorized, err := withOperatorKey(bounded)
	if err != nil {
		return nil, 0
	}
	reply, err := runner.operatorClient(gateway).GetConfiguration(authorized, &operatorv1.GetConfigurationRequest{})
	if err != nil || reply.GetVersion() == 0 {
		return nil, 0
	}
	proposed := reply.GetConfiguration()
	proposed.Tiers[0].Weight = uint32(1 + (round*runner.scenario.Operators.Publishers+publisher)%maxWeight)
	return proposed, reply.GetVersion()
}

func (runner *runner) sendChange(ctx context.Context, gateway string, change history.Publish, proposed *operatorv1.Configuration) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	authorized, err := withOperatorKey(bounded)
	if err != nil {
		return 0, err
	}
	reply, err := runner.operatorClient(gateway).Publish(authorized, &operatorv1.PublishRequest{
		ChangeId: change.ChangeID, BaseVersion: change.Base, Configuration: proposed,
	})
	return reply.GetVersion(), err
}
