package process

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	configurationv1 "github.com/magpielug/magpielug/api/configuration/v1"
	operatorv1 "github.com/magpielug/magpielug/api/operator/v1"
	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/gateway"
	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/resultcode"
)

const (
	// requestTimeout bounds the requests to one process.
	requestTimeout = time.Second
	// maxConcurrentRequests bounds the processes that are queried in parallel.
	maxConcurrentRequests = 32
	stateUnreachable      = "unreachable"
)

// operatorCluster serves operator requests by querying the other processes.
type operatorCluster struct {
	machines *machineCache
	client   *http.Client
	gateway  *gateway.Gateway
}

// Nodes queries every gateway and scheduler in the machine list.
func (cluster *operatorCluster) Nodes(ctx context.Context) ([]*operatorv1.Node, error) {
	machines := cluster.processes()
	nodes := make([]*operatorv1.Node, len(machines))
	cluster.forEach(machines, func(index int, machine outside.Machine) {
		nodes[index] = cluster.describeNode(ctx, machine)
	})
	return nodes, nil
}

// processes returns the machines with the given roles; by default all gateways
// and schedulers.
func (cluster *operatorCluster) processes(roles ...outside.MachineRole) []outside.Machine {
	if len(roles) == 0 {
		roles = []outside.MachineRole{outside.RoleGateway, outside.RoleScheduler}
	}
	var machines []outside.Machine
	for _, machine := range cluster.machines.machines() {
		for _, role := range roles {
			if machine.Role == role {
				machines = append(machines, machine)
			}
		}
	}
	return machines
}

// forEach calls query for all machines, up to maxConcurrentRequests in parallel,
// and waits for all calls.
func (cluster *operatorCluster) forEach(machines []outside.Machine, query func(int, outside.Machine)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentRequests)
	for index, machine := range machines {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			query(index, machine)
			<-slots
		}()
	}
	group.Wait()
}

func (cluster *operatorCluster) describeNode(ctx context.Context, machine outside.Machine) *operatorv1.Node {
	node := &operatorv1.Node{
		Id:      machine.ID,
		Role:    string(machine.Role),
		Zone:    machine.Zone,
		Address: machine.Address,
		State:   string(machine.State),
	}
	bounded, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	exchange := configurationv1.NewExchangeProtobufClient("http://"+machine.Address, cluster.client)
	// With the highest offset the reply has no round.
	reply, err := exchange.Compare(bounded, &configurationv1.CompareRequest{NextOffset: math.MaxUint64})
	if err != nil {
		node.State = stateUnreachable
		return node
	}
	node.ConfigurationVersion = reply.Version
	if machine.Role != outside.RoleScheduler {
		return node
	}
	status, err := cluster.programsClient(machine).Status(bounded, &schedulerv1.StatusRequest{})
	if err == nil {
		node.ShardsLed = uint32(len(status.ShardsLed))
	}
	return node
}

func (cluster *operatorCluster) programsClient(machine outside.Machine) schedulerv1.Programs {
	return schedulerv1.NewProgramsProtobufClient("http://"+machine.Address, cluster.client)
}

// Programs queries every scheduler for the programs in the shards that it leads.
func (cluster *operatorCluster) Programs(ctx context.Context, tenant string, limit uint32) ([]*operatorv1.Program, error) {
	machines := cluster.processes(outside.RoleScheduler)
	replies := make([]*schedulerv1.ListProgramsReply, len(machines))
	cluster.forEach(machines, func(index int, machine outside.Machine) {
		bounded, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		reply, err := cluster.programsClient(machine).ListPrograms(bounded, &schedulerv1.ListProgramsRequest{Tenant: tenant, Limit: limit})
		if err == nil {
			replies[index] = reply
		}
	})
	var programs []*operatorv1.Program
	for _, reply := range replies {
		for _, program := range reply.GetPrograms() {
			if len(programs) < int(limit) {
				programs = append(programs, describeProgram(program))
			}
		}
	}
	return programs, nil
}

func describeProgram(program *schedulerv1.Program) *operatorv1.Program {
	return &operatorv1.Program{
		Id:             program.Id,
		Tenant:         program.Tenant,
		Tier:           program.Tier,
		Kind:           program.Kind,
		Parent:         program.ParentId,
		State:          program.State,
		Turns:          program.Turns,
		SpentMicros:    program.SpentMicros,
		ReservedMicros: program.ReservedMicros,
	}
}

// StopProgram stops a program, regardless of its tenant.
func (cluster *operatorCluster) StopProgram(ctx context.Context, program, reason string) error {
	return cluster.gateway.StopProgram(ctx, program, reason)
}

// ExplainCall returns the last scheduling decisions for a call.
func (cluster *operatorCluster) ExplainCall(ctx context.Context, program, requestID string) (*operatorv1.ExplainCallReply, error) {
	found, err := cluster.gateway.ExplainCall(ctx, program, requestID)
	if err != nil {
		return nil, err
	}
	if found == nil {
		return nil, resultcode.New(resultcode.UnknownRequest, "no call with request id %s", requestID)
	}
	explained := &operatorv1.ExplainCallReply{CallState: found.CallState}
	for _, decision := range found.Decisions {
		explained.Decisions = append(explained.Decisions, &operatorv1.Decision{
			AtMs: decision.AtMs,
			Node: decision.Node,
			What: decision.What,
			Why:  decision.Why,
		})
	}
	return explained, nil
}
