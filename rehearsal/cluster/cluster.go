package cluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/relay"
)

const (
	stopBound    = 15 * time.Second
	readyBound   = 60 * time.Second
	readyRetry   = 100 * time.Millisecond
	machineLagMs = "300ms"
)

// Binaries are the two programs of the repository.
type Binaries struct {
	Magpielug string
	Rehearsal string
}

// Cluster is a running plan.
type Cluster struct {
	plan      Plan
	binaries  Binaries
	directory string
	// lock guards the fields below: faults start and end processes side by side.
	lock     sync.Mutex
	children map[string]*child
	// network holds the relays of a relayed plan.
	network *relay.Network
	// order is the order of starting; it is stopped in reverse.
	order []string
}

// Start starts everything of the plan and waits until it serves. Logs and
// settings files go into directory.
func Start(ctx context.Context, plan Plan, binaries Binaries, directory string) (*Cluster, error) {
	if err := plan.checkPorts(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, eris.Wrap(err, "make the directory of the run")
	}
	cluster := &Cluster{plan: plan, binaries: binaries, directory: directory, children: make(map[string]*child),
		network: relay.NewNetwork()}
	if err := cluster.startAll(ctx); err != nil {
		cluster.Stop()
		return nil, err
	}
	return cluster, nil
}

// checkPorts finds a taken port before anything is started.
func (plan Plan) checkPorts() error {
	addresses := []string{plan.LogAddress(), plan.MachinesAddress(), plan.WeightsAddress()}
	for _, machine := range plan.Machines() {
		addresses = append(addresses, machine.Address)
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Errorf("address %s is taken or not usable (choose another port with --port): %v", address, err)
		}
		listener.Close()
	}
	return nil
}

func (cluster *Cluster) startAll(ctx context.Context) error {
	if err := cluster.startRelays(); err != nil {
		return err
	}
	if err := cluster.startPlatform(ctx); err != nil {
		return err
	}
	for _, machine := range cluster.plan.Machines() {
		if err := cluster.StartMachine(ctx, machine); err != nil {
			return err
		}
	}
	if err := cluster.publish(ctx); err != nil {
		return err
	}
	return cluster.awaitReady(ctx)
}

func (cluster *Cluster) startPlatform(ctx context.Context) error {
	plan := cluster.plan
	services := []struct {
		id, address string
		arguments   []string
	}{
		{"log", plan.LogAddress(), nil},
		{"machines", plan.MachinesAddress(), []string{"--lag", machineLagMs}},
		{"weights", plan.WeightsAddress(), nil},
	}
	for place, service := range services {
		listen := plan.platformAddress(place + plan.listenPort() - plan.Port)
		arguments := append([]string{service.id, "--listen", listen}, service.arguments...)
		if err := cluster.startChild(service.id, cluster.binaries.Rehearsal, arguments); err != nil {
			return err
		}
		if err := awaitListening(ctx, listen); err != nil {
			return err
		}
	}
	return nil
}

// StartMachine starts a machine's process and puts it on the machine list.
func (cluster *Cluster) StartMachine(ctx context.Context, machine Machine) error {
	switch machine.Role {
	case outside.RoleEngine:
		return cluster.startEngine(machine)
	case outside.RoleTool:
		return cluster.startTool(machine)
	}
	path, err := cluster.plan.writeSettings(cluster.directory, machine)
	if err != nil {
		return err
	}
	arguments := []string{string(machine.Role), "--settings", path}
	if err := cluster.startChild(machine.ID, cluster.binaries.Magpielug, arguments); err != nil {
		return err
	}
	return cluster.register(ctx, machine)
}

func (cluster *Cluster) startEngine(machine Machine) error {
	return cluster.startChild(machine.ID, cluster.binaries.Rehearsal, append([]string{"pool-engine",
		"--model", machine.Service,
		"--blocks", strconv.Itoa(cluster.plan.Blocks),
		"--running-limit", strconv.Itoa(cluster.plan.RunningLimit),
		"--weights", cluster.plan.WeightsAddress(),
	}, cluster.registration(machine)...))
}

func (cluster *Cluster) startTool(machine Machine) error {
	return cluster.startChild(machine.ID, cluster.binaries.Rehearsal, append([]string{"pool-tool",
		"--service", machine.Service,
	}, cluster.registration(machine)...))
}

func (cluster *Cluster) registration(machine Machine) []string {
	return []string{
		"--listen", machine.Listen,
		"--advertise", machine.Address,
		"--id", machine.ID,
		"--region", Region,
		"--zone", machine.Zone,
		"--machines", cluster.plan.MachinesAddress(),
	}
}

func (cluster *Cluster) startChild(id, program string, arguments []string) error {
	started, err := startChild(cluster.directory, id, program, arguments)
	if err != nil {
		return err
	}
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	if _, again := cluster.children[id]; !again {
		cluster.order = append(cluster.order, id)
	}
	cluster.children[id] = started
	return nil
}

func (cluster *Cluster) register(ctx context.Context, machine Machine) error {
	return PostJSON(ctx, cluster.plan.MachinesAddress(), registerPath, wire.Machine{
		ID:      machine.ID,
		Role:    string(machine.Role),
		Region:  Region,
		Zone:    machine.Zone,
		Address: machine.Address,
		State:   string(outside.MachineLive),
	})
}

// Machine finds a machine of the plan by its id.
func (cluster *Cluster) Machine(id string) (Machine, bool) {
	for _, machine := range cluster.plan.Machines() {
		if machine.ID == id {
			return machine, true
		}
	}
	return Machine{}, false
}

// Plan returns what runs.
func (cluster *Cluster) Plan() Plan { return cluster.plan }

// Gateways lists the addresses that callers can use.
func (cluster *Cluster) Gateways() []string { return cluster.addresses(outside.RoleGateway) }

// Engines lists the engines' addresses.
func (cluster *Cluster) Engines() []string { return cluster.addresses(outside.RoleEngine) }

func (cluster *Cluster) addresses(role outside.MachineRole) []string {
	var addresses []string
	for _, machine := range cluster.plan.Machines() {
		if machine.Role == role {
			addresses = append(addresses, machine.Address)
		}
	}
	return addresses
}

// Kill ends a machine's process without warning.
func (cluster *Cluster) Kill(id string) error { return cluster.signal(id, syscall.SIGKILL) }

// Freeze stops a machine's process from running, and Wake lets it go on.
func (cluster *Cluster) Freeze(id string) error { return cluster.signal(id, syscall.SIGSTOP) }

// Wake lets a frozen process go on.
func (cluster *Cluster) Wake(id string) error { return cluster.signal(id, syscall.SIGCONT) }

func (cluster *Cluster) signal(id string, signal syscall.Signal) error {
	child, err := cluster.child(id)
	if err != nil {
		return err
	}
	return child.signal(signal)
}

// child finds the newest process of an id.
func (cluster *Cluster) child(id string) (*child, error) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	found := cluster.children[id]
	if found == nil {
		return nil, eris.Errorf("no process %q", id)
	}
	return found, nil
}

// StopMachine asks one process to stop and waits for its end.
func (cluster *Cluster) StopMachine(id string) error {
	child, err := cluster.child(id)
	if err != nil {
		return err
	}
	return child.stop(stopBound)
}

// Stop ends every process that was started, the last one first.
func (cluster *Cluster) Stop() {
	defer cluster.network.Close()
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	for index := len(cluster.order) - 1; index >= 0; index-- {
		child := cluster.children[cluster.order[index]]
		if child.running() {
			child.signal(syscall.SIGCONT)
			child.signal(syscall.SIGTERM)
		}
	}
	for _, id := range cluster.order {
		child := cluster.children[id]
		if child.running() {
			child.stop(stopBound)
		}
	}
}

// awaitReady waits until every gateway and scheduler says it is ready.
func (cluster *Cluster) awaitReady(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	for _, machine := range cluster.plan.Machines() {
		if machine.Role != outside.RoleGateway && machine.Role != outside.RoleScheduler {
			continue
		}
		if err := cluster.AwaitReady(bounded, machine); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until a gateway or scheduler says it is ready, at most until
// ctx ends.
func (cluster *Cluster) AwaitReady(ctx context.Context, machine Machine) error {
	for !isReady(ctx, machine.Address) {
		child, err := cluster.child(machine.ID)
		if err != nil {
			return err
		}
		if !child.running() {
			return eris.Errorf("%s ended at once; see %s/%s.log", machine.ID, cluster.directory, machine.ID)
		}
		if ctx.Err() != nil {
			return eris.Errorf("%s was not ready in time; see %s/%s.log", machine.ID, cluster.directory, machine.ID)
		}
		time.Sleep(readyRetry)
	}
	return nil
}

// awaitListening waits until an address takes connections.
func awaitListening(ctx context.Context, address string) error {
	bounded, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	dialer := net.Dialer{}
	for {
		connection, err := dialer.DialContext(bounded, "tcp", address)
		if err == nil {
			return connection.Close()
		}
		if bounded.Err() != nil {
			return fmt.Errorf("%s does not answer: %w", address, err)
		}
		time.Sleep(readyRetry)
	}
}

// Running tells whether a machine's process runs.
func (cluster *Cluster) Running(id string) bool {
	child, err := cluster.child(id)
	return err == nil && child.running()
}

// Processes lists the system's process ids of what runs, by machine id.
func (cluster *Cluster) Processes() map[string]int {
	processes := make(map[string]int)
	for id, child := range cluster.children {
		if child.running() {
			processes[id] = child.command.Process.Pid
		}
	}
	return processes
}
