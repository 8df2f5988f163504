package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/settings"
)

// SettingsFlags are the flags that select a settings file and override its keys.
type SettingsFlags struct {
	Settings    string   `arg:"--settings,env:MAGPIELUG_SETTINGS" placeholder:"FILE" help:"YAML file; its keys are listed by check-settings --keys"`
	Set         []string `arg:"--set,separate" placeholder:"KEY=VALUE" help:"override any key; may be repeated"`
	ID          *string  `arg:"--id" placeholder:"NAME" help:"override node.id"`
	Region      *string  `arg:"--region" placeholder:"NAME" help:"override node.region"`
	Zone        *string  `arg:"--zone" placeholder:"NAME" help:"override node.zone"`
	Listen      *string  `arg:"--listen" placeholder:"IP:PORT" help:"override node.listen"`
	Advertise   *string  `arg:"--advertise" placeholder:"IP:PORT" help:"override node.advertise"`
	Source      *string  `arg:"--source" placeholder:"IP" help:"override node.source"`
	LogService  *string  `arg:"--log-service" placeholder:"URL" help:"override platform.log"`
	MachineList *string  `arg:"--machine-list" placeholder:"URL" help:"override platform.machines"`
	WeightStore *string  `arg:"--weight-store" placeholder:"URL" help:"override platform.weights"`
	LogLevel    *string  `arg:"--log-level" placeholder:"LEVEL" help:"override log.level: debug, info, warn or error"`
}

// overrides converts the flags to settings overrides. Dedicated flags come last,
// so they take precedence over --set.
func (flags *SettingsFlags) overrides() ([]settings.Override, error) {
	overrides, err := parseOverrides(flags.Set)
	if err != nil {
		return nil, err
	}
	dedicatedFlags := []struct {
		key   string
		value *string
	}{
		{"node.id", flags.ID},
		{"node.region", flags.Region},
		{"node.zone", flags.Zone},
		{"node.listen", flags.Listen},
		{"node.advertise", flags.Advertise},
		{"node.source", flags.Source},
		{"platform.log", flags.LogService},
		{"platform.machines", flags.MachineList},
		{"platform.weights", flags.WeightStore},
		{"log.level", flags.LogLevel},
	}
	for _, flag := range dedicatedFlags {
		if flag.value != nil {
			overrides = append(overrides, settings.Override{Key: flag.key, Value: quoteYAML(*flag.value)})
		}
	}
	return overrides, nil
}

// parseOverrides parses the values of --set.
func parseOverrides(pairs []string) ([]settings.Override, error) {
	var overrides []settings.Override
	for _, pair := range pairs {
		key, value, found := strings.Cut(pair, "=")
		if !found || key == "" {
			return nil, resultcode.New(resultcode.InvalidSettings, "--set: %q is not KEY=VALUE", pair)
		}
		overrides = append(overrides, settings.Override{Key: key, Value: value})
	}
	return overrides, nil
}

// quoteYAML quotes text as a YAML string, so that an ID such as 7 is not parsed
// as a number.
func quoteYAML(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// load loads and validates the settings for role, or for the role in the file if
// role is empty.
func (flags *SettingsFlags) load(role string) (settings.Settings, error) {
	overrides, err := flags.overrides()
	if err != nil {
		return settings.Settings{}, err
	}
	if role != "" {
		overrides = append(overrides, settings.Override{Key: "node.role", Value: role, OnlyIfMissing: true})
	}
	loaded, err := settings.Load(flags.Settings, overrides)
	if err != nil {
		return settings.Settings{}, err
	}
	if role != "" && loaded.Node.Role != role {
		return settings.Settings{}, resultcode.New(resultcode.InvalidSettings,
			"node.role: is %q, but the command requires %q", loaded.Node.Role, role)
	}
	return loaded, nil
}

// ProcessCommand runs a gateway or a scheduler.
type ProcessCommand struct {
	SettingsFlags
}

func (command *ProcessCommand) run(ctx context.Context, streams Streams, role, version string, runner Runner) int {
	loaded, err := command.load(role)
	if err != nil {
		return reportError(streams, err)
	}
	err = runner(ctx, version, loaded)
	if err != nil {
		return reportError(streams, err)
	}
	return ExitOK
}

// CheckSettingsCommand validates settings without starting a process.
type CheckSettingsCommand struct {
	SettingsFlags
	Role string `arg:"--role" placeholder:"ROLE" help:"node for a node's TOML file; gateway or scheduler if the YAML file has no node.role"`
	Keys bool   `arg:"--keys" help:"print the table of all keys and exit; with --role node, those of a node"`
}

func (command *CheckSettingsCommand) run(streams Streams) int {
	if command.Role == settings.RoleNode {
		return command.runNode(streams)
	}
	if command.Keys {
		fmt.Fprint(streams.Output, settings.Markdown(settings.Table()))
		return ExitOK
	}
	loaded, err := command.load(command.Role)
	if err != nil {
		return reportError(streams, err)
	}
	fmt.Fprintf(streams.Output, "settings are valid: %s %s in zone %s, listening on %s\n",
		loaded.Node.Role, loaded.Node.ID, loaded.Node.Zone, loaded.Node.Listen)
	return ExitOK
}

func (command *CheckSettingsCommand) runNode(streams Streams) int {
	if command.Keys {
		fmt.Fprint(streams.Output, settings.Markdown(settings.NodeTable()))
		return ExitOK
	}
	loaded, err := command.loadNode()
	if err != nil {
		return reportError(streams, err)
	}
	fmt.Fprintf(streams.Output, "settings are valid: node %s in zone %s, callers at %s, store at %s\n",
		loaded.Node.Name, loaded.Node.Zone, loaded.Listen.Callers, loaded.Store.Address)
	return ExitOK
}

// loadNode rejects the dedicated flags, whose keys exist only for gateways and
// schedulers.
func (command *CheckSettingsCommand) loadNode() (settings.NodeSettings, error) {
	overrides, err := command.overrides()
	if err != nil {
		return settings.NodeSettings{}, err
	}
	if len(overrides) > len(command.Set) {
		return settings.NodeSettings{}, resultcode.New(resultcode.InvalidSettings, "--role node: only --set KEY=VALUE overrides keys of a node")
	}
	return loadNode(command.Settings, command.Set)
}

// loadNode loads and validates a node's settings file with the overrides of --set.
func loadNode(path string, set []string) (settings.NodeSettings, error) {
	overrides, err := parseOverrides(set)
	if err != nil {
		return settings.NodeSettings{}, err
	}
	return settings.LoadNode(path, overrides)
}

// NodeCommand runs a node with a settings file or, without one, with the settings
// that the platform provides.
type NodeCommand struct {
	Settings string   `arg:"--settings" placeholder:"FILE" help:"TOML file; its keys are listed by check-settings --role node --keys. Default: the settings that the platform provides"`
	Set      []string `arg:"--set,separate" placeholder:"KEY=VALUE" help:"override any key of --settings; may be repeated"`
}

func (command *NodeCommand) run(ctx context.Context, streams Streams, version string, runners Runners) int {
	err := command.start(ctx, version, runners)
	if err != nil {
		return reportError(streams, err)
	}
	return ExitOK
}

func (command *NodeCommand) start(ctx context.Context, version string, runners Runners) error {
	if command.Settings != "" {
		loaded, err := loadNode(command.Settings, command.Set)
		if err != nil {
			return err
		}
		return runners.Node(ctx, version, loaded)
	}
	if len(command.Set) > 0 {
		return resultcode.New(resultcode.InvalidSettings, "--set: requires --settings")
	}
	return runners.PlatformNode(ctx, version)
}
