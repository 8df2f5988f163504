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
	// publishBound bounds the wait for one answer to a change, publishSends how
	// often a change without an answer is sent again.
	publishBound = 15 * time.Second
	publishSends = 4
	sampleBound  = 2 * time.Second
	// leadersBound bounds the wait for the first leaders.
	leadersBound = 30 * time.Second
	// weightCycle bounds the weights that publishers choose.
	weightCycle = 7
)

// operatorAt speaks the operators' schema to a gateway.
func (runner *runner) operatorAt(address string) operatorv1.Operator {
	return operatorv1.NewOperatorProtobufClient("http://"+address, runner.client)
}

// withOperatorKey makes ctx carry the operators' key.
func withOperatorKey(ctx context.Context) (context.Context, error) {
	header := make(http.Header)
	header.Set("Authorization", "Bearer "+cluster.OperatorKey)
	carried, err := twirp.WithHTTPRequestHeaders(ctx, header)
	return carried, eris.Wrap(err, "set the operators' key")
}

// leader returns the scheduler that leads the most shards.
func (runner *runner) leader(ctx context.Context) (string, error) {
	for _, gateway := range runner.cluster.Gateways() {
		nodes, err := runner.nodes(ctx, gateway)
		if err != nil {
			continue
		}
		most := &operatorv1.Node{}
		for _, node := range nodes {
			if node.GetShardsLed() > most.GetShardsLed() {
				most = node
			}
		}
		if most.GetId() != "" {
			return most.GetId(), nil
		}
	}
	return "", eris.New("no gateway knows a leader")
}

// awaitLeaders waits until every shard is led: from then on all can be judged.
func (runner *runner) awaitLeaders(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, leadersBound)
	defer cancel()
	for {
		led := uint32(0)
		nodes, err := runner.nodes(bounded, runner.cluster.Gateways()[0])
		for _, node := range nodes {
			led += node.GetShardsLed()
		}
		if err == nil && led == uint32(runner.scenario.Layout.Shards) {
			return nil
		}
		if !pause(bounded, retryPause) {
			return eris.Errorf("%d of %d shards were led after %s", led, runner.scenario.Layout.Shards, leadersBound)
		}
	}
}

func (runner *runner) nodes(ctx context.Context, gateway string) ([]*operatorv1.Node, error) {
	bounded, cancel := context.WithTimeout(ctx, sampleBound)
	defer cancel()
	carried, err := withOperatorKey(bounded)
	if err != nil {
		return nil, err
	}
	reply, err := runner.operatorAt(gateway).ListNodes(carried, &operatorv1.ListNodesRequest{})
	return reply.GetNodes(), eris.Wrap(err, "list nodes")
}

// sampleVersions notes each process's version again and again: the gateways'
// by asking them, the schedulers' by asking a gateway for all processes.
func (runner *runner) sampleVersions(ctx context.Context) {
	if runner.scenario.Operators.Publishers == 0 {
		return
	}
	for turn := 0; pause(ctx, sampleInterval); turn++ {
		for _, machine := range runner.cluster.Plan().Machines() {
			if machine.Role == outside.RoleGateway {
				runner.sampleGateway(ctx, machine)
			}
		}
		gateways := runner.cluster.Gateways()
		runner.sampleSchedulers(ctx, gateways[turn%len(gateways)])
	}
}

func (runner *runner) sampleGateway(ctx context.Context, machine cluster.Machine) {
	bounded, cancel := context.WithTimeout(ctx, sampleBound)
	defer cancel()
	carried, err := withOperatorKey(bounded)
	if err != nil {
		return
	}
	at := runner.now()
	reply, err := runner.operatorAt(machine.Address).GetConfiguration(carried, &operatorv1.GetConfigurationRequest{})
	if err == nil {
		runner.sampled(machine.ID, at, reply.GetVersion())
	}
}

func (runner *runner) sampleSchedulers(ctx context.Context, gateway string) {
	at := runner.now()
	nodes, err := runner.nodes(ctx, gateway)
	if err != nil {
		return
	}
	for _, node := range nodes {
		if node.GetRole() == string(outside.RoleScheduler) && node.GetConfigurationVersion() > 0 {
			runner.sampled(node.GetId(), at, node.GetConfigurationVersion())
		}
	}
}

func (runner *runner) sampled(process string, at time.Duration, version uint64) {
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.Samples = append(runner.record.Samples, history.VersionSample{At: at, Process: process, Version: version})
}

// runPublishers lets all publishers offer a change at the same times.
func (runner *runner) runPublishers(ctx context.Context) {
	operators := runner.scenario.Operators
	if operators.Publishers == 0 {
		return
	}
	until := cmp.Or(operators.Until, runner.scenario.Duration)
	for round := 1; runner.now() < until && pause(ctx, operators.Interval); round++ {
		var group sync.WaitGroup
		for publisher := range operators.Publishers {
			runner.background(&group, func() { runner.publish(ctx, round, publisher) })
		}
		group.Wait()
	}
}

// lastPublish is when the last change got its answer, 0 for none.
func (runner *runner) lastPublish() time.Duration {
	last := time.Duration(0)
	for _, publish := range runner.record.Publishes {
		last = max(last, publish.Returned)
	}
	return last
}

// publish offers one change, made on the version in force, and sends it again
// while there is no answer.
func (runner *runner) publish(ctx context.Context, round, publisher int) {
	gateways := runner.cluster.Gateways()
	made := history.Publish{ChangeID: fmt.Sprintf("change-%d-%d", round, publisher), Code: resultcode.OutcomeUnknown}
	var offered *operatorv1.Configuration
	for send := range publishSends {
		gateway := gateways[(publisher+send)%len(gateways)]
		if offered == nil {
			offered, made.Base = runner.offer(ctx, gateway, round, publisher)
		}
		if offered == nil {
			continue
		}
		version, err := runner.sendChange(ctx, gateway, made, offered)
		if err == nil {
			made.Version, made.Code = version, 0
			break
		}
		failure := operator.FromTwirp(err)
		if failure != nil && failure.Code != resultcode.PublishUnknown {
			made.Code = failure.Code
			break
		}
	}
	made.Returned = runner.now()
	runner.lock.Lock()
	defer runner.lock.Unlock()
	runner.record.Publishes = append(runner.record.Publishes, made)
}

// offer changes a weight of the configuration in force at a gateway.
func (runner *runner) offer(ctx context.Context, gateway string, round, publisher int) (*operatorv1.Configuration, uint64) {
	bounded, cancel := context.WithTimeout(ctx, publishBound)
	defer cancel()
	carried, err := withOperatorKey(bounded)
	if err != nil {
		return nil, 0
	}
	reply, err := runner.operatorAt(gateway).GetConfiguration(carried, &operatorv1.GetConfigurationRequest{})
	if err != nil || reply.GetVersion() == 0 {
		return nil, 0
	}
	offered := reply.GetConfiguration()
	offered.Tiers[0].Weight = uint32(1 + (round*runner.scenario.Operators.Publishers+publisher)%weightCycle)
	return offered, reply.GetVersion()
}

func (runner *runner) sendChange(ctx context.Context, gateway string, made history.Publish, offered *operatorv1.Configuration) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, publishBound)
	defer cancel()
	carried, err := withOperatorKey(bounded)
	if err != nil {
		return 0, err
	}
	reply, err := runner.operatorAt(gateway).Publish(carried, &operatorv1.PublishRequest{
		ChangeId: made.ChangeID, BaseVersion: made.Base, Configuration: offered,
	})
	return reply.GetVersion(), err
}
