// Package nodesettings writes settings files of nodes in the form of the users' platform, for
// tests that start nodes as processes on one machine.
package nodesettings

import (
	"cmp"
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
	// Zone is where the node stands, z1 where it is empty.
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

// Write puts the settings into a directory, and returns the file's path.
func (settings Settings) Write(directory string) (string, error) {
	path := filepath.Join(directory, settings.Name+".conf")
	err := os.WriteFile(path, []byte(settings.content()), 0o600)
	return path, eris.Wrap(err, "write a node's settings")
}

func (settings Settings) content() string {
	lines := []string{
		"NodeName=" + settings.Name,
		"Zone=" + cmp.Or(settings.Zone, defaultZone),
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
