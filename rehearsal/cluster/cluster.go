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
	stopTimeout       = 15 * time.Second
	readyTimeout      = 60 * time.Second
	readyPollInterval = 100 * time.Millisecond
	machineListLag    = "300ms"
)

// Binaries are the paths of the two executables of the repository.
type Binaries struct {
	Magpielug string
	Rehearsal string
}

// Cluster is the set of processes started for a plan.
type Cluster struct {
	plan      Plan
	binaries  Binaries
	directory string
	// lock guards the fields below: faults start and stop processes concurrently.
	lock     sync.Mutex
	children map[string]*child
	// network holds the relays, if the plan uses them.
	network *relay.Network
	// startOrder lists process ids; Stop signals them in reverse.
	startOrder []string
}

// Start starts all processes of the plan and waits until they are ready. It
// writes logs and settings files to directory.
func Start(ctx context.Context, plan Plan, binaries Binaries, directory string) (*Cluster, error) {
	if err := plan.checkPorts(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, eris.Wrap(err, "create run directory")
	}
	cluster := &Cluster{plan: plan, binaries: binaries, directory: directory, children: make(map[string]*child),
		network: relay.NewNetwork()}
	if err := cluster.startAll(ctx); err != nil {
		cluster.Stop()
		return nil, err
	}
	return cluster, nil
}

// checkPorts fails if an address of the plan is in use.
func (plan Plan) checkPorts() error {
	addresses := []string{plan.LogAddress(), plan.MachinesAddress(), plan.WeightsAddress()}
	for _, machine := range plan.Machines() {
		addresses = append(addresses, machine.Address)
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return eris.Errorf("cannot listen on %s (choose another port with --port): %v", address, err)
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
		{"machines", plan.MachinesAddress(), []string{"--lag", machineListLag}},
		{"weights", plan.WeightsAddress(), nil},
	}
	for offset, service := range services {
		listen := plan.platformAddress(offset + plan.listenPort() - plan.Port)
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

// StartMachine starts a machine's process. Gateways and schedulers are registered
// on the machine list here; engines and tools register themselves.
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
	if _, restarted := cluster.children[id]; !restarted {
		cluster.startOrder = append(cluster.startOrder, id)
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

// Machine returns the machine of the plan with the given id.
func (cluster *Cluster) Machine(id string) (Machine, bool) {
	for _, machine := range cluster.plan.Machines() {
		if machine.ID == id {
			return machine, true
		}
	}
	return Machine{}, false
}

// Plan returns the plan that the cluster was started from.
func (cluster *Cluster) Plan() Plan { return cluster.plan }

// Gateways lists the gateways' addresses.
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

// Kill sends SIGKILL to a machine's process.
func (cluster *Cluster) Kill(id string) error { return cluster.signal(id, syscall.SIGKILL) }

// Freeze suspends a machine's process with SIGSTOP.
func (cluster *Cluster) Freeze(id string) error { return cluster.signal(id, syscall.SIGSTOP) }

// Resume continues a frozen process with SIGCONT.
func (cluster *Cluster) Resume(id string) error { return cluster.signal(id, syscall.SIGCONT) }

func (cluster *Cluster) signal(id string, signal syscall.Signal) error {
	child, err := cluster.child(id)
	if err != nil {
		return err
	}
	return child.signal(signal)
}

// child returns the most recently started process of an id.
func (cluster *Cluster) child(id string) (*child, error) {
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	found := cluster.children[id]
	if found == nil {
		return nil, eris.Errorf("no process %q", id)
	}
	return found, nil
}

// StopMachine stops a machine's process gracefully and waits until it exits. A
// process that does not exit in time is killed, and an error is returned.
func (cluster *Cluster) StopMachine(id string) error {
	child, err := cluster.child(id)
	if err != nil {
		return err
	}
	return child.stop(stopTimeout)
}

// Stop stops every process, signaling them in reverse start order, and closes
// the relays.
func (cluster *Cluster) Stop() {
	defer cluster.network.Close()
	cluster.lock.Lock()
	defer cluster.lock.Unlock()
	for index := len(cluster.startOrder) - 1; index >= 0; index-- {
		child := cluster.children[cluster.startOrder[index]]
		if child.isRunning() {
			child.signal(syscall.SIGCONT)
			child.signal(syscall.SIGTERM)
		}
	}
	for _, id := range cluster.startOrder {
		child := cluster.children[id]
		if child.isRunning() {
			child.stop(stopTimeout)
		}
	}
}

// awaitReady waits until every gateway and scheduler is ready.
func (cluster *Cluster) awaitReady(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, readyTimeout)
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

// AwaitReady waits until a gateway or scheduler reports that it is ready. It fails
// if the process exits or ctx is done first.
func (cluster *Cluster) AwaitReady(ctx context.Context, machine Machine) error {
	for !isReady(ctx, machine.Address) {
		child, err := cluster.child(machine.ID)
		if err != nil {
			return err
		}
		if !child.isRunning() {
			return eris.Errorf("%s exited before it was ready; see %s/%s.log", machine.ID, cluster.directory, machine.ID)
		}
		if ctx.Err() != nil {
			return eris.Errorf("%s was not ready before the deadline; see %s/%s.log", machine.ID, cluster.directory, machine.ID)
		}
		time.Sleep(readyPollInterval)
	}
	return nil
}

// awaitListening waits until an address accepts connections.
func awaitListening(ctx context.Context, address string) error {
	bounded, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	dialer := net.Dialer{}
	for {
		connection, err := dialer.DialContext(bounded, "tcp", address)
		if err == nil {
			return connection.Close()
		}
		if bounded.Err() != nil {
			return fmt.Errorf("%s does not accept connections: %w", address, err)
		}
		time.Sleep(readyPollInterval)
	}
}

// IsRunning reports whether a machine's process is running.
func (cluster *Cluster) IsRunning(id string) bool {
	child, err := cluster.child(id)
	return err == nil && child.isRunning()
}

// PIDs returns the process ids of the running processes, by machine id.
func (cluster *Cluster) PIDs() map[string]int {
	pids := make(map[string]int)
	for id, child := range cluster.children {
		if child.isRunning() {
			pids[id] = child.command.Process.Pid
		}
	}
	return pids
}
