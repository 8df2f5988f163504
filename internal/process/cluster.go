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
	// nodeTimeout bounds the wait for one process's answer.
	nodeTimeout = time.Second
	// maximumAsked bounds the processes asked at the same time.
	maximumAsked     = 32
	stateUnreachable = "unreachable"
)

// operatorCluster reaches the other processes for an operator's questions.
type operatorCluster struct {
	machines *machineCache
	client   *http.Client
	callers  *gateway.Gateway
}

// Nodes asks every gateway and scheduler of the machine list.
func (cluster *operatorCluster) Nodes(ctx context.Context) ([]*operatorv1.Node, error) {
	machines := cluster.own()
	nodes := make([]*operatorv1.Node, len(machines))
	cluster.each(machines, func(index int, machine outside.Machine) {
		nodes[index] = cluster.node(ctx, machine)
	})
	return nodes, nil
}

// own lists magpielug's own machines.
func (cluster *operatorCluster) own(roles ...outside.MachineRole) []outside.Machine {
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

// each asks all machines, a bounded number at a time.
func (cluster *operatorCluster) each(machines []outside.Machine, ask func(int, outside.Machine)) {
	var group sync.WaitGroup
	slots := make(chan struct{}, maximumAsked)
	for index, machine := range machines {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			ask(index, machine)
			<-slots
		}()
	}
	group.Wait()
}

func (cluster *operatorCluster) node(ctx context.Context, machine outside.Machine) *operatorv1.Node {
	node := &operatorv1.Node{
		Id:      machine.ID,
		Role:    string(machine.Role),
		Zone:    machine.Zone,
		Address: machine.Address,
		State:   string(machine.State),
	}
	bounded, cancel := context.WithTimeout(ctx, nodeTimeout)
	defer cancel()
	exchange := configurationv1.NewExchangeProtobufClient("http://"+machine.Address, cluster.client)
	// An asker that has read everything gets no round.
	reply, err := exchange.Compare(bounded, &configurationv1.CompareRequest{NextOffset: math.MaxUint64})
	if err != nil {
		node.State = stateUnreachable
		return node
	}
	node.ConfigurationVersion = reply.Version
	if machine.Role != outside.RoleScheduler {
		return node
	}
	status, err := cluster.programs(machine).Status(bounded, &schedulerv1.StatusRequest{})
	if err == nil {
		node.ShardsLed = uint32(len(status.ShardsLed))
	}
	return node
}

func (cluster *operatorCluster) programs(machine outside.Machine) schedulerv1.Programs {
	return schedulerv1.NewProgramsProtobufClient("http://"+machine.Address, cluster.client)
}

// Programs asks every scheduler for the programs that it leads.
func (cluster *operatorCluster) Programs(ctx context.Context, tenant string, limit uint32) ([]*operatorv1.Program, error) {
	machines := cluster.own(outside.RoleScheduler)
	replies := make([]*schedulerv1.ListProgramsReply, len(machines))
	cluster.each(machines, func(index int, machine outside.Machine) {
		bounded, cancel := context.WithTimeout(ctx, nodeTimeout)
		defer cancel()
		reply, err := cluster.programs(machine).ListPrograms(bounded, &schedulerv1.ListProgramsRequest{Tenant: tenant, Limit: limit})
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

// StopProgram stops a program of any tenant.
func (cluster *operatorCluster) StopProgram(ctx context.Context, program, reason string) error {
	return cluster.callers.StopProgram(ctx, program, reason)
}

// ExplainCall returns the last decisions that were taken for one call.
func (cluster *operatorCluster) ExplainCall(ctx context.Context, program, requestID string) (*operatorv1.ExplainCallReply, error) {
	found, err := cluster.callers.ExplainCall(ctx, program, requestID)
	if err != nil {
		return nil, err
	}
	if found == nil {
		return nil, resultcode.New(resultcode.UnknownRequest, "no call %s", requestID)
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
