package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/magpielug/magpielug/rehearsal/standin/logstore"
)

const (
	// host is the address of all processes.
	host = "127.0.0.1"
	// routeHost is the host of all routes.
	routeHost = "site.example"
	// settingsVariable names a node's settings file.
	settingsVariable = "MAGPIELUG_NODE_FILE"
	// readyTimeout bounds the start of a node, stopTimeout its planned stop.
	readyTimeout = 20 * time.Second
	stopTimeout  = 10 * time.Second
)

// deployment is a store and nodes, with the engines that a case adds.
type deployment struct {
	binary    string
	directory string
	record    *record
	store     *logstore.Store
	nodes     []*nodeProcess
	engines   []*engine
	// mutex guards silent, the ports of machines without power.
	mutex  sync.Mutex
	silent []*silentPort
}

func newDeployment(binary string, record *record) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, fmt.Errorf("create a temporary folder: %w", err)
	}
	store, err := logstore.Start(host + ":0")
	if err != nil {
		return nil, fmt.Errorf("start the store: %w", err)
	}
	return &deployment{binary: binary, directory: directory, record: record, store: store}, nil
}

// stop ends all processes that the deployment has started.
func (deployed *deployment) stop() {
	for _, node := range deployed.nodes {
		node.kill()
	}
	for _, engine := range deployed.engines {
		engine.stop()
	}
	for _, silent := range deployed.silent {
		silent.close()
	}
	deployed.store.Close()
	_ = os.RemoveAll(deployed.directory)
}

// route is a route of the operator's configuration.
type route struct {
	Name            string
	Host            string
	PathPrefix      string
	Kind            string
	TimeoutMs       int
	TargetLatencyMs int
	Priority        int
	Service         string
	MaxAttempts     int
	RetainContext   bool
	RetentionS      float64
}

// service is a service of the operator's configuration.
type service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	Protocol       string
	Engine         *engineDefaults `json:",omitempty"`
}

// engineDefaults are the figures of the model engines of a service.
type engineDefaults struct {
	Slots            int
	KvCapacityTokens int
	StreamStride     int
}

// configuration is the operator's configuration.
type configuration struct {
	Version  int
	Routes   []route
	Services []service
	Limits   map[string]int
}

// newConfiguration returns a configuration with the figures of the users' sheets for its routes.
func newConfiguration() configuration {
	return configuration{
		Version: 3,
		Routes: []route{
			{Name: "turns", Host: routeHost, PathPrefix: "/turns/", Kind: "streaming", TimeoutMs: 4000, TargetLatencyMs: 200, Priority: 1, Service: "agent-llm", MaxAttempts: 1, RetainContext: true, RetentionS: 60},
			{Name: "receipts", Host: routeHost, PathPrefix: "/receipts/", Kind: "unsafe", TimeoutMs: 3000, TargetLatencyMs: 500, Priority: 2, Service: "meter-app", MaxAttempts: 1},
			{Name: "readings", Host: routeHost, PathPrefix: "/readings/", Kind: "safe", TimeoutMs: 1200, TargetLatencyMs: 150, Priority: 2, Service: "meter-app", MaxAttempts: 2},
		},
		Services: []service{
			{Name: "agent-llm", HealthPath: "/healthz", MaxConnections: 160, Protocol: "h1", Engine: &engineDefaults{Slots: 12, KvCapacityTokens: 127559, StreamStride: 9}},
			{Name: "meter-app", HealthPath: "/healthz", MaxConnections: 110, Protocol: "h1"},
		},
		Limits: map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

func (deployed *deployment) publish(published configuration) {
	deployed.store.Put("keyed.op", "config", encodeJSON(published))
	deployed.record.write("configuration %d published", published.Version)
}

func encodeJSON(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // The types of this program always encode.
	}
	return encoded
}

// nodeProcess is a node that runs as a process.
type nodeProcess struct {
	name      string
	callers   string
	readiness string
	binary    string
	settings  string
	ports     []int
	// link is the node's way to the store.
	link    *logstore.Store
	command *exec.Cmd
	output  *os.File
}

// freePorts returns ports on which nothing listens, in ascending order.
func freePorts(count int) ([]int, error) {
	const firstPort, lastPort = 20000, 32000
	var ports []int
	for port := firstPort + os.Getpid()%(lastPort-firstPort); len(ports) < count; port++ {
		if port > lastPort+firstPort {
			return nil, fmt.Errorf("no free ports")
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		ports = append(ports, port)
	}
	return ports, nil
}

// zones is the number of zones.
const zones = 3

// zoneOf returns the zone of a node or an engine by its number. Neighbors are in different zones.
func zoneOf(index int) string { return fmt.Sprintf("zone-%d", index%zones+1) }

// startNodes starts nodes in all zones and waits until they are ready.
func (deployed *deployment) startNodes(count int) error {
	return deployed.startNodesIn(count, zoneOf)
}

// startNodesIn starts nodes in the zones that a function gives by their numbers.
func (deployed *deployment) startNodesIn(count int, zoneOf func(index int) string) error {
	const portsPerNode = 5
	ports, err := freePorts(count * portsPerNode)
	if err != nil {
		return err
	}
	for index := range count {
		err = deployed.startNode(fmt.Sprintf("edge-%d", index+1), zoneOf(index), ports[index*portsPerNode:(index+1)*portsPerNode])
		if err != nil {
			return err
		}
	}
	for _, node := range deployed.nodes {
		err = node.awaitReady()
		if err != nil {
			return err
		}
		deployed.record.write("node %s ready, callers at %s", node.name, node.callers)
	}
	return nil
}

func (deployed *deployment) startNode(name, zone string, ports []int) error {
	link, err := deployed.store.StartEndpoint(host + ":0")
	if err != nil {
		return fmt.Errorf("start a way to the store: %w", err)
	}
	address := func(index int) string { return fmt.Sprintf("%s:%d", host, ports[index]) }
	lines := []string{
		"NodeName=" + name, "Role=node", "MachineClass=edge", "Serves=edge,control_plane", "Ip=" + host, "Zone=" + zone, "Region=khomas",
		"Zones.zone-1=khomas", "Zones.zone-2=khomas", "Zones.zone-3=khomas",
		"Listen.Front=" + address(0), "Listen.Readiness=" + address(1), "Listen.Control=" + address(2),
		fmt.Sprintf("InternalPortRange=%d,%d", ports[3], ports[4]),
		"Bootstrap=true", "Limits.CpuShare=0.8", "Limits.Cores=1", "Limits.MemoryMb=254", "Limits.MaxFds=8200", "HeartbeatMs=1200",
		"Bounds.GraceS=8", "Bounds.DrainMs=2000", "Platform.Address=" + link.Address(), "Platform.parts=8", "Platform.RetentionS=300",
	}
	settings := filepath.Join(deployed.directory, name+".conf")
	err = os.WriteFile(settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
	if err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	output, err := os.Create(filepath.Join(deployed.directory, name+".log"))
	if err != nil {
		return fmt.Errorf("create a log: %w", err)
	}
	node := &nodeProcess{name: name, callers: address(0), readiness: address(1), output: output, binary: deployed.binary, settings: settings, ports: ports, link: link}
	deployed.nodes = append(deployed.nodes, node)
	return node.start()
}

func (node *nodeProcess) start() error {
	node.command = exec.Command(node.binary, "node")
	node.command.Env = append(os.Environ(), settingsVariable+"="+node.settings)
	node.command.Stdout = node.output
	node.command.Stderr = node.output
	err := node.command.Start()
	if err != nil {
		return fmt.Errorf("start node %s: %w", node.name, err)
	}
	return nil
}

// end ends the process without notice.
func (node *nodeProcess) end() {
	_ = node.command.Process.Signal(syscall.SIGKILL)
	_ = node.command.Wait()
}

func (node *nodeProcess) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		response, err := client.Get("http://" + node.readiness + "/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("node %s was not ready in time", node.name)
}

// kill ends the process and waits for its end.
func (node *nodeProcess) kill() {
	if node.command.Process != nil {
		node.end()
	}
	node.link.Close()
	_ = node.output.Close()
}

// silence lets the ports of a machine whose process has ended say nothing.
func (deployed *deployment) silence(node *nodeProcess) error {
	for _, port := range node.ports {
		silent, err := silencePort(port)
		if err != nil {
			return err
		}
		deployed.mutex.Lock()
		deployed.silent = append(deployed.silent, silent)
		deployed.mutex.Unlock()
	}
	return nil
}
