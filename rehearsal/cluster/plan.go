// Package cluster starts and stops gateways, schedulers and the stand-ins of the
// platform, engines and tools as local processes, each machine on its own
// loopback address.
package cluster

import (
	"fmt"

	"github.com/magpielug/magpielug/internal/outside"
)

const (
	// Region is the region of every machine.
	Region = "region-1"
	// relayPortOffset is the difference between the port of a process and that of
	// its relay.
	relayPortOffset = 4
	platformHost    = "127.0.0.1"
	// Last octet of the address of the first machine of each role in a zone.
	firstGateway   = 1
	firstScheduler = 21
	firstEngine    = 51
	firstTool      = 101
)

// Plan is the layout of a cluster. Machine N of zone Z is reached at 127.Z.0.N,
// all on the same port; the platform's services are reached at 127.0.0.1 on
// consecutive ports from that one.
type Plan struct {
	Zones             int
	GatewaysPerZone   int
	SchedulersPerZone int
	// Engines and Tools are totals, distributed evenly over the zones.
	Engines int
	Tools   int
	Model   string
	Tool    string
	Port    int
	Shards  int
	// Blocks is the number of cache blocks of each engine, RunningLimit its maximum
	// batch size.
	Blocks       int
	RunningLimit int
	LogLevel     string
	// Deployment names the workload that defines the tiers and program kinds of
	// the configuration.
	Deployment string
	// TierBudgetMicros and ProgramCapMicros limit the spending of each tier and of
	// each program, in millionths of the currency unit; 0 selects the defaults.
	TierBudgetMicros uint64
	ProgramCapMicros uint64
	// Relayed routes the traffic to every process through a relay.
	Relayed bool
}

// Machine is one process of a plan.
type Machine struct {
	ID      string
	Role    outside.MachineRole
	Zone    string
	Host    string
	Address string
	// Listen is the process's own listen address; it differs from Address behind a
	// relay.
	Listen  string
	Service string
}

// LogAddress is the address of the log service.
func (plan Plan) LogAddress() string { return plan.platformAddress(0) }

// MachinesAddress is the address of the machine list.
func (plan Plan) MachinesAddress() string { return plan.platformAddress(1) }

// WeightsAddress is the address of the weight store.
func (plan Plan) WeightsAddress() string { return plan.platformAddress(2) }

func (plan Plan) platformAddress(offset int) string {
	return fmt.Sprintf("%s:%d", platformHost, plan.Port+offset)
}

// listenPort is the port that the processes of machines listen on.
func (plan Plan) listenPort() int {
	if plan.Relayed {
		return plan.Port + relayPortOffset
	}
	return plan.Port
}

// Machines lists the machines of the plan by zone; within a zone gateways come
// first, then schedulers, engines and tools.
func (plan Plan) Machines() []Machine {
	var machines []Machine
	for zone := 1; zone <= plan.Zones; zone++ {
		machines = append(machines, plan.zoneMachines(outside.RoleGateway, zone, plan.GatewaysPerZone, firstGateway, "")...)
		machines = append(machines, plan.zoneMachines(outside.RoleScheduler, zone, plan.SchedulersPerZone, firstScheduler, "")...)
		machines = append(machines, plan.zoneMachines(outside.RoleEngine, zone, plan.machinesInZone(plan.Engines, zone), firstEngine, plan.Model)...)
		machines = append(machines, plan.zoneMachines(outside.RoleTool, zone, plan.machinesInZone(plan.Tools, zone), firstTool, plan.Tool)...)
	}
	return machines
}

// machinesInZone returns how many of total machines are placed in a zone, numbered
// from 1.
func (plan Plan) machinesInZone(total, zone int) int {
	count := total / plan.Zones
	if zone <= total%plan.Zones {
		count++
	}
	return count
}

func (plan Plan) zoneMachines(role outside.MachineRole, zone, count, firstHost int, service string) []Machine {
	var machines []Machine
	for number := range count {
		host := fmt.Sprintf("127.%d.0.%d", zone, firstHost+number)
		machines = append(machines, Machine{
			ID:      fmt.Sprintf("%s-%d-%d", role, zone, number+1),
			Role:    role,
			Zone:    fmt.Sprintf("zone-%d", zone),
			Host:    host,
			Address: fmt.Sprintf("%s:%d", host, plan.Port),
			Listen:  fmt.Sprintf("%s:%d", host, plan.listenPort()),
			Service: service,
		})
	}
	return machines
}
