// Package nodesettings writes settings files of nodes that are started as processes on one
// machine, in the product's own form and in that of the users' platform.
package nodesettings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// Variable is the environment variable that names a node's settings file.
const Variable = "MAGPIELUG_NODE_FILE"

const (
	// host is the address of all nodes.
	host        = "127.0.0.1"
	defaultZone = "z1"
	// memoryMegabytes and descriptors are those of the users' smaller machines.
	memoryMegabytes = 254
	descriptors     = 8200
)

// Settings are those of one node.
type Settings struct {
	Name string
	// Zone is empty for the one zone of a test.
	Zone string
	// Front, Ready, Peer, Metrics and Control are ports; Peer is below Metrics. Control
	// may be 0 for a node without one.
	Front, Ready, Peer, Metrics, Control int
	// Store is the store's address, Partitions the number of its partitions.
	Store      string
	Partitions int
	// Grace is how long a planned stop may take, seconds.
	Grace int
	// Seeds are control addresses of other nodes.
	Seeds []string
	// Quota is how the operators judge tenants' limits; nil leaves it out.
	Quota *Quota
}

// Quota is how the operators judge tenants' limits.
type Quota struct {
	// Window is the span that is judged, seconds.
	Window int
	// Overage is the share above the limit of a window that is tolerated, Slack the
	// number of requests beside that.
	Overage float64
	Slack   int
}

// Address returns the address of one of the node's ports.
func Address(port int) string { return fmt.Sprintf("%s:%d", host, port) }

// Write puts the settings into a directory in the form of the users' platform, and returns
// the file's path.
func (settings Settings) Write(directory string) (string, error) {
	return write(filepath.Join(directory, settings.Name+".conf"), settings.content())
}

// WriteOwn is Write in the product's own form, which names no other nodes: Control and Seeds
// are left out.
func (settings Settings) WriteOwn(directory string) (string, error) {
	return write(filepath.Join(directory, settings.Name+".toml"), settings.ownContent())
}

func write(path, content string) (string, error) {
	err := os.WriteFile(path, []byte(content), 0o600)
	return path, eris.Wrap(err, "write a node's settings")
}

func (settings Settings) zone() string {
	if settings.Zone == "" {
		return defaultZone
	}
	return settings.Zone
}

func (settings Settings) ownContent() string {
	lines := []string{
		"[node]",
		fmt.Sprintf("name = %q", settings.Name),
		fmt.Sprintf("zone = %q", settings.zone()),
		"[listen]",
		fmt.Sprintf("callers = %q", Address(settings.Front)),
		fmt.Sprintf("readiness = %q", Address(settings.Ready)),
		fmt.Sprintf("peers = %q", Address(settings.Peer)),
		fmt.Sprintf("metrics = %q", Address(settings.Metrics)),
		"[store]",
		fmt.Sprintf("address = %q", settings.Store),
		fmt.Sprintf("partitions = %d", settings.Partitions),
		"[limits]",
		fmt.Sprintf(`memory = "%dMiB"`, memoryMegabytes),
		fmt.Sprintf(`drain_timeout = "%ds"`, settings.Grace),
	}
	if settings.Quota != nil {
		lines = append(lines, "[quota]", fmt.Sprintf(`window = "%ds"`, settings.Quota.Window),
			fmt.Sprintf("overage = %g", settings.Quota.Overage), fmt.Sprintf("slack = %d", settings.Quota.Slack))
	}
	return strings.Join(lines, "\n") + "\n"
}

func (settings Settings) content() string {
	lines := []string{
		"NodeName=" + settings.Name,
		"Zone=" + settings.zone(),
		"Ip=" + host,
		"Listen.Front=" + Address(settings.Front),
		"Listen.Readiness=" + Address(settings.Ready),
		fmt.Sprintf("InternalPortRange=%d,%d", settings.Peer, settings.Metrics),
		fmt.Sprintf("Limits.MemoryMb=%d", memoryMegabytes),
		fmt.Sprintf("Limits.MaxFds=%d", descriptors),
		fmt.Sprintf("Bounds.GraceS=%d", settings.Grace),
		"Platform.Address=" + settings.Store,
		fmt.Sprintf("Platform.parts=%d", settings.Partitions),
		// A field that no node knows must be passed over.
		"Some.NewField=unknown",
	}
	if settings.Control != 0 {
		lines = append(lines, "Listen.Control="+Address(settings.Control))
	}
	if len(settings.Seeds) > 0 {
		lines = append(lines, "Seeds="+strings.Join(settings.Seeds, ","))
	}
	if settings.Quota != nil {
		lines = append(lines, fmt.Sprintf("Bounds.QuotaWindowS=%d", settings.Quota.Window),
			fmt.Sprintf("Bounds.QuotaOverage=%g", settings.Quota.Overage), fmt.Sprintf("Bounds.QuotaSlack=%d", settings.Quota.Slack))
	}
	return strings.Join(lines, "\n")
}
