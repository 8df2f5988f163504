package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/magpielug/magpielug/rehearsal/nodesettings"
	"github.com/magpielug/magpielug/rehearsal/ports"
	"github.com/magpielug/magpielug/rehearsal/relay"
	"github.com/rotisserie/eris"
)

const (
	graceSeconds = 8
	// readyTimeout is the timeout of a readiness request.
	readyTimeout = 500 * time.Millisecond
)

// node is a node process, which can be restarted.
type node struct {
	name   string
	binary string
	// settingsPath is the path of the settings file, which is in the TOML format if
	// useTOML is set.
	settingsPath     string
	useTOML          bool
	logPath          string
	callerAddress    string
	readinessAddress string
	zone             string
	// storeProxy is the proxy of the node's connection to the log store.
	storeProxy *relay.Proxy

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// incarnation is the number of starts.
	incarnation int
}

func newNode(number int, options Options, store string, allocator *ports.Allocator) (*node, error) {
	storeProxy, err := relay.StartProxy(loopback, store)
	if err != nil {
		return nil, err
	}
	allocated, err := options.nodePorts(number, allocator)
	if err != nil {
		return nil, err
	}
	settings := nodesettings.Settings{
		Name:          fmt.Sprintf("node-%d", number),
		Zone:          options.zoneName(number),
		CallerPort:    allocated[0],
		ReadinessPort: allocated[1],
		PeerPort:      min(allocated[2], allocated[3]),
		MetricsPort:   max(allocated[2], allocated[3]),
		StoreAddress:  storeProxy.Address(),
		Partitions:    partitions,
		DrainSeconds:  graceSeconds,

		LogRetentionSeconds: options.logRetentionSeconds(),
		Quota:               &nodesettings.Quota{WindowSeconds: int(quotaWindow.Seconds()), Overage: quotaOverage, Slack: quotaSlack},
	}
	write := settings.WriteConf
	if options.TOMLSettings {
		write = settings.WriteTOML
	}
	path, err := write(options.Directory)
	if err != nil {
		return nil, err
	}
	return &node{
		name:             settings.Name,
		zone:             settings.Zone,
		binary:           options.Magpielug,
		useTOML:          options.TOMLSettings,
		callerAddress:    nodesettings.Address(settings.CallerPort),
		readinessAddress: nodesettings.Address(settings.ReadinessPort),
		storeProxy:       storeProxy,
		settingsPath:     path,
		logPath:          filepath.Join(options.Directory, settings.Name+".log"),
	}, nil
}

const (
	// portsPerNode is the number of ports of a node. With fixed ports, the first ports
	// of consecutive nodes are portStride apart.
	portsPerNode = 4
	portStride   = 10
)

// nodePorts returns the ports of the node with the given number.
func (options Options) nodePorts(number int, allocator *ports.Allocator) ([]int, error) {
	if options.FirstPort == 0 {
		return allocator.Allocate(portsPerNode)
	}
	var fixed []int
	for offset := range portsPerNode {
		fixed = append(fixed, options.FirstPort+portStride*number+offset)
	}
	return fixed, nil
}

// newCommand returns the command that starts the node.
func (node *node) newCommand() *exec.Cmd {
	if node.useTOML {
		return exec.Command(node.binary, "node", "--settings", node.settingsPath)
	}
	command := exec.Command(node.binary, "node")
	command.Env = append(os.Environ(), nodesettings.EnvVar+"="+node.settingsPath)
	return command
}

// start starts the process unless it is running.
func (node *node) start() error {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.command != nil {
		return nil
	}
	output, err := os.OpenFile(node.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open node log")
	}
	command := node.newCommand()
	// Kill the node if this process dies, however it does.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	command.Stdout = output
	command.Stderr = output
	err = command.Start()
	if err != nil {
		return eris.Wrap(err, "start node")
	}
	node.incarnation++
	node.command = command
	ended := make(chan struct{})
	node.exited = ended
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	return nil
}

// hasExited reports whether the process exited without having been stopped.
func (node *node) hasExited() bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.command == nil {
		return false
	}
	select {
	case <-node.exited:
		return true
	default:
		return false
	}
}

// stop sends a terminating signal and waits for the process to exit. After timeout, it
// kills the process.
func (node *node) stop(signal os.Signal, timeout time.Duration) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.command == nil {
		return
	}
	_ = node.command.Process.Signal(signal)
	select {
	case <-node.exited:
	case <-time.After(timeout):
		_ = node.command.Process.Kill()
		<-node.exited
	}
	node.command = nil
}

// freeze suspends the process, resume continues it.
func (node *node) freeze() { node.signal(syscall.SIGSTOP) }

func (node *node) resume() { node.signal(syscall.SIGCONT) }

func (node *node) signal(signal os.Signal) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.command != nil {
		_ = node.command.Process.Signal(signal)
	}
}

// Texts of the node's log that claimedShards searches for.
const (
	nodeStartingEvent = `event="node starting"`
	shardClaimedEvent = `event="shard claimed"`
)

// claimedShards returns the number of shards claimed since the node's last start,
// according to its log.
func (node *node) claimedShards() int {
	content, err := os.ReadFile(node.logPath)
	if err != nil {
		return 0
	}
	currentLog := string(content)
	return strings.Count(currentLog[max(strings.LastIndex(currentLog, nodeStartingEvent), 0):], shardClaimedEvent)
}

// currentIncarnation returns the number of starts so far.
func (node *node) currentIncarnation() int {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.incarnation
}

// shutDown kills the process and closes its proxy. A frozen process is resumed first,
// so that it can be waited for.
func (node *node) shutDown() {
	node.resume()
	node.stop(syscall.SIGKILL, time.Second)
	node.storeProxy.Close()
}

// isReady reports whether the node's readiness endpoint returns 200.
func (node *node) isReady() bool {
	client := http.Client{Timeout: readyTimeout}
	response, err := client.Get("http://" + node.readinessAddress + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
