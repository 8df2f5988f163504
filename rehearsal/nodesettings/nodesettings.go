// Package nodesettings writes settings files for test nodes that run as processes on one
// machine, in the product's TOML format and in the platform's key=value format.
package nodesettings

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// EnvVar is the environment variable that names a node's settings file.
const EnvVar = "MAGPIELUG_NODE_FILE"

const (
	// host is the IP address of all nodes.
	host        = "127.0.0.1"
	defaultZone = "z1"
	// memoryMegabytes and maxFileDescriptors are the limits of a small platform machine.
	memoryMegabytes    = 254
	maxFileDescriptors = 8200
	// engineDrainMilliseconds is how long engines serve on that have said that they leave.
	engineDrainMilliseconds = 2000
)

// Settings are the settings of one node.
type Settings struct {
	Name string
	// Zone defaults to defaultZone if empty.
	Zone string
	// CallerPort, ReadinessPort, PeerPort, MetricsPort and ControlPort are ports; PeerPort is less than MetricsPort. With
	// ControlPort 0 the node has no control port.
	CallerPort, ReadinessPort, PeerPort, MetricsPort, ControlPort int
	// StoreAddress is the log store's address and Partitions its number of partitions.
	StoreAddress string
	Partitions   int
	// LogRetentionSeconds is how long the log store keeps records; 0 omits it.
	LogRetentionSeconds int
	// DrainSeconds is the drain timeout in seconds.
	DrainSeconds int
	// Seeds are the control addresses of other nodes.
	Seeds []string
	// Quota configures rate limit enforcement; nil omits it.
	Quota *Quota
}

// Quota configures the enforcement of tenants' rate limits.
type Quota struct {
	// WindowSeconds is the length of the accounting window in seconds.
	WindowSeconds int
	// Overage is the tolerated fraction above a window's limit, and Slack the number of
	// requests tolerated in addition.
	Overage float64
	Slack   int
}

// Address returns host:port for one of the node's ports.
func Address(port int) string { return fmt.Sprintf("%s:%d", host, port) }

// WriteConf writes the settings to a directory in the platform's key=value format and returns
// the file's path.
func (settings Settings) WriteConf(directory string) (string, error) {
	return writeFile(filepath.Join(directory, settings.Name+".conf"), settings.confContent())
}

// WriteTOML writes the settings in the product's TOML format, which has no control port or
// seeds.
func (settings Settings) WriteTOML(directory string) (string, error) {
	return writeFile(filepath.Join(directory, settings.Name+".toml"), settings.tomlContent())
}

func writeFile(path, content string) (string, error) {
	err := os.WriteFile(path, []byte(content), 0o600)
	return path, eris.Wrap(err, "write a node's settings")
}

func (settings Settings) zoneOrDefault() string {
	if settings.Zone == "" {
		return defaultZone
	}
	return settings.Zone
}

func (settings Settings) tomlContent() string {
	lines := []string{
		"[node]",
		fmt.Sprintf("name = %q", settings.Name),
		fmt.Sprintf("zone = %q", settings.zoneOrDefault()),
		"[listen]",
		fmt.Sprintf("callers = %q", Address(settings.CallerPort)),
		fmt.Sprintf("readiness = %q", Address(settings.ReadinessPort)),
		fmt.Sprintf("peers = %q", Address(settings.PeerPort)),
		fmt.Sprintf("metrics = %q", Address(settings.MetricsPort)),
		"[store]",
		fmt.Sprintf("address = %q", settings.StoreAddress),
		fmt.Sprintf("partitions = %d", settings.Partitions),
		fmt.Sprintf(`retention = "%ds"`, settings.LogRetentionSeconds),
		"[limits]",
		fmt.Sprintf(`memory = "%dMiB"`, memoryMegabytes),
		fmt.Sprintf(`drain_timeout = "%ds"`, settings.DrainSeconds),
		fmt.Sprintf(`engine_drain_time = "%dms"`, engineDrainMilliseconds),
	}
	if settings.Quota != nil {
		lines = append(lines, "[quota]", fmt.Sprintf(`window = "%ds"`, settings.Quota.WindowSeconds),
			fmt.Sprintf("overage = %g", settings.Quota.Overage), fmt.Sprintf("slack = %d", settings.Quota.Slack))
	}
	return strings.Join(lines, "\n") + "\n"
}

func (settings Settings) confContent() string {
	lines := []string{
		"NodeName=" + settings.Name,
		"Zone=" + settings.zoneOrDefault(),
		"Ip=" + host,
		"Listen.Front=" + Address(settings.CallerPort),
		"Listen.Readiness=" + Address(settings.ReadinessPort),
		fmt.Sprintf("InternalPortRange=%d,%d", settings.PeerPort, settings.MetricsPort),
		fmt.Sprintf("Limits.MemoryMb=%d", memoryMegabytes),
		fmt.Sprintf("Limits.MaxFds=%d", maxFileDescriptors),
		fmt.Sprintf("Bounds.GraceS=%d", settings.DrainSeconds),
		fmt.Sprintf("Bounds.DrainMs=%d", engineDrainMilliseconds),
		"Platform.Address=" + settings.StoreAddress,
		fmt.Sprintf("Platform.parts=%d", settings.Partitions),
		// An unknown key must be ignored.
		"Some.NewField=unknown",
	}
	if settings.LogRetentionSeconds != 0 {
		lines = append(lines, fmt.Sprintf("Platform.RetentionS=%d", settings.LogRetentionSeconds))
	}
	if settings.ControlPort != 0 {
		lines = append(lines, "Listen.Control="+Address(settings.ControlPort))
	}
	if len(settings.Seeds) > 0 {
		lines = append(lines, "Seeds="+strings.Join(settings.Seeds, ","))
	}
	if settings.Quota != nil {
		lines = append(lines, fmt.Sprintf("Bounds.QuotaWindowS=%d", settings.Quota.WindowSeconds),
			fmt.Sprintf("Bounds.QuotaOverage=%g", settings.Quota.Overage), fmt.Sprintf("Bounds.QuotaSlack=%d", settings.Quota.Slack))
	}
	return strings.Join(lines, "\n")
}
