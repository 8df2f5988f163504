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
	// readyTimeout bounds one question whether a node is ready.
	readyTimeout = 500 * time.Millisecond
)

// node is one process of the system, started again and again.
type node struct {
	name   string
	binary string
	// settings is the path of the settings file, in the product's own form where own is true.
	settings string
	own      bool
	log      string
	front    string
	ready    string
	zone     string
	// door is the node's own way to the store.
	door *relay.Door

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	// life counts the starts.
	life int
}

func newNode(number int, options Options, store string, picker *ports.Picker) (*node, error) {
	door, err := relay.OpenDoor(loopback, store)
	if err != nil {
		return nil, err
	}
	picked, err := options.portsOf(number, picker)
	if err != nil {
		return nil, err
	}
	settings := nodesettings.Settings{
		Name:       fmt.Sprintf("node-%d", number),
		Zone:       options.zone(number),
		Front:      picked[0],
		Ready:      picked[1],
		Peer:       min(picked[2], picked[3]),
		Metrics:    max(picked[2], picked[3]),
		Store:      door.Address(),
		Partitions: partitions,
		Grace:      graceSeconds,
		Quota:      &nodesettings.Quota{Window: int(quotaWindow.Seconds()), Overage: quotaOverage, Slack: quotaSlack},
	}
	write := settings.Write
	if options.OwnSettings {
		write = settings.WriteOwn
	}
	path, err := write(options.Directory)
	if err != nil {
		return nil, err
	}
	return &node{
		name:     settings.Name,
		zone:     settings.Zone,
		binary:   options.Magpielug,
		own:      options.OwnSettings,
		front:    nodesettings.Address(settings.Front),
		ready:    nodesettings.Address(settings.Ready),
		door:     door,
		settings: path,
		log:      filepath.Join(options.Directory, settings.Name+".log"),
	}, nil
}

const (
	// portsEach is how many ports a node has, portStride how far the first ports of two
	// nodes lie apart where they are fixed.
	portsEach  = 4
	portStride = 10
)

// portsOf returns the ports of the node with a number.
func (options Options) portsOf(number int, picker *ports.Picker) ([]int, error) {
	if options.FirstPort == 0 {
		return picker.Pick(portsEach)
	}
	var fixed []int
	for offset := range portsEach {
		fixed = append(fixed, options.FirstPort+portStride*number+offset)
	}
	return fixed, nil
}

// process is the command that starts the node.
func (node *node) process() *exec.Cmd {
	if node.own {
		return exec.Command(node.binary, "node", "--settings", node.settings)
	}
	command := exec.Command(node.binary, "node")
	command.Env = append(os.Environ(), nodesettings.Variable+"="+node.settings)
	return command
}

// start starts the process, unless it runs.
func (node *node) start() error {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.command != nil {
		return nil
	}
	output, err := os.OpenFile(node.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open a node's log")
	}
	command := node.process()
	// A node must not outlive this process, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	command.Stdout = output
	command.Stderr = output
	err = command.Start()
	if err != nil {
		return eris.Wrap(err, "start a node")
	}
	node.life++
	node.command = command
	ended := make(chan struct{})
	node.ended = ended
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(ended)
	}()
	return nil
}

// hasEnded tells whether the process that was started has ended by itself.
func (node *node) hasEnded() bool {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.command == nil {
		return false
	}
	select {
	case <-node.ended:
		return true
	default:
		return false
	}
}

// stop sends a signal that ends the process, and waits for its end up to a time;
// then it kills it.
func (node *node) stop(signal os.Signal, within time.Duration) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.command == nil {
		return
	}
	_ = node.command.Process.Signal(signal)
	select {
	case <-node.ended:
	case <-time.After(within):
		_ = node.command.Process.Kill()
		<-node.ended
	}
	node.command = nil
}

// freeze stops the process without a word, wake lets it go on.
func (node *node) freeze() { node.signal(syscall.SIGSTOP) }

func (node *node) wake() { node.signal(syscall.SIGCONT) }

func (node *node) signal(signal os.Signal) {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	if node.command != nil {
		_ = node.command.Process.Signal(signal)
	}
}

// Words of a node's log by which an owner is found.
const (
	wordsStart = `event="node starts"`
	wordsClaim = `event="shard claimed"`
)

// claims counts the shards that the node has claimed since its last start, by its log.
func (node *node) claims() int {
	content, err := os.ReadFile(node.log)
	if err != nil {
		return 0
	}
	life := string(content)
	return strings.Count(life[max(strings.LastIndex(life, wordsStart), 0):], wordsClaim)
}

// lives returns the number of the present start.
func (node *node) lives() int {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.life
}

// end stops the process for good; a frozen one is woken first, so that it can
// be waited for.
func (node *node) end() {
	node.wake()
	node.stop(syscall.SIGKILL, time.Second)
	node.door.Close()
}

// isReady asks the node whether it takes callers.
func (node *node) isReady() bool {
	client := http.Client{Timeout: readyTimeout}
	response, err := client.Get("http://" + node.ready + "/ready")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
