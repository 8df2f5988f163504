// Package cluster starts magpielug's own processes and the platform's stand-ins
// on loopback addresses, one address a machine, and stops them again. It alone
// starts processes, and ends only those.
package cluster

import (
	"fmt"

	"github.com/magpielug/magpielug/internal/outside"
)

const (
	// Region is the one region of a plan.
	Region = "region-1"
	// relayedPort is how far above its relay a process listens.
	relayedPort = 4
	// platformHost carries the platform's services.
	platformHost = "127.0.0.1"
	// First host numbers of the machines of a zone.
	firstGateway   = 1
	firstScheduler = 21
	firstEngine    = 51
	firstTool      = 101
)

// Plan is what runs where. Machine N of zone Z answers at 127.Z.0.N, all at the
// same port; the platform's services answer at 127.0.0.1 from that port on.
type Plan struct {
	Zones             int
	GatewaysPerZone   int
	SchedulersPerZone int
	// Engines and Tools are spread over the zones in turn.
	Engines int
	Tools   int
	Model   string
	Tool    string
	Port    int
	Shards  int
	// Blocks and RunningLimit size each engine.
	Blocks       int
	RunningLimit int
	LogLevel     string
	// Deployment names the workload whose tiers and kinds are published.
	Deployment string
	// TierBudgetMicros and ProgramCapMicros bound the spending of each tier and
	// of each program; 0 takes the defaults.
	TierBudgetMicros uint64
	ProgramCapMicros uint64
	// Relayed puts a relay before every process, at its address.
	Relayed bool
}

// Machine is one process of a plan.
type Machine struct {
	ID      string
	Role    outside.MachineRole
	Zone    string
	Host    string
	Address string
	// Listen is where the process listens: its address, or behind its relay.
	Listen  string
	Service string
}

// LogAddress is where the log service answers.
func (plan Plan) LogAddress() string { return plan.platformAddress(0) }

// MachinesAddress is where the machine list answers.
func (plan Plan) MachinesAddress() string { return plan.platformAddress(1) }

// WeightsAddress is where the weight store answers.
func (plan Plan) WeightsAddress() string { return plan.platformAddress(2) }

func (plan Plan) platformAddress(offset int) string {
	return fmt.Sprintf("%s:%d", platformHost, plan.Port+offset)
}

// listenPort is the port that machines' processes listen at.
func (plan Plan) listenPort() int {
	if plan.Relayed {
		return plan.Port + relayedPort
	}
	return plan.Port
}

// Machines lists the machines of the plan: gateways, schedulers, engines, tools.
func (plan Plan) Machines() []Machine {
	var machines []Machine
	for zone := 1; zone <= plan.Zones; zone++ {
		machines = append(machines, plan.inZone(outside.RoleGateway, zone, plan.GatewaysPerZone, firstGateway, "")...)
		machines = append(machines, plan.inZone(outside.RoleScheduler, zone, plan.SchedulersPerZone, firstScheduler, "")...)
		machines = append(machines, plan.inZone(outside.RoleEngine, zone, plan.share(plan.Engines, zone), firstEngine, plan.Model)...)
		machines = append(machines, plan.inZone(outside.RoleTool, zone, plan.share(plan.Tools, zone), firstTool, plan.Tool)...)
	}
	return machines
}

// share is how many of total machines stand in a zone, counted from 1.
func (plan Plan) share(total, zone int) int {
	count := total / plan.Zones
	if zone <= total%plan.Zones {
		count++
	}
	return count
}

func (plan Plan) inZone(role outside.MachineRole, zone, count, first int, service string) []Machine {
	var machines []Machine
	for number := range count {
		host := fmt.Sprintf("127.%d.0.%d", zone, first+number)
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
