package command

import (
	"context"
	"fmt"
	"strings"

	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/settings"
)

// SettingsFlags are the flags that name a settings file and override its keys.
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

// overrides turns the flags into settings overrides. The short forms come last
// and win over --set.
func (flags *SettingsFlags) overrides() ([]settings.Override, error) {
	overrides, err := parseOverrides(flags.Set)
	if err != nil {
		return nil, err
	}
	shortForms := []struct {
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
	for _, form := range shortForms {
		if form.value != nil {
			overrides = append(overrides, settings.Override{Key: form.key, Value: quote(*form.value)})
		}
	}
	return overrides, nil
}

// parseOverrides reads the values of --set.
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

// quote writes text as a YAML string, so that an id such as 7 stays text.
func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}

// load reads and checks the settings for role; an empty role takes the file's.
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
			"node.role: is %q, but the command is %q", loaded.Node.Role, role)
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
		return report(streams, err)
	}
	err = runner(ctx, version, loaded)
	if err != nil {
		return report(streams, err)
	}
	return ExitOK
}

// CheckSettingsCommand checks settings without starting a process.
type CheckSettingsCommand struct {
	SettingsFlags
	Role string `arg:"--role" placeholder:"ROLE" help:"node for a node's TOML file; gateway or scheduler where a YAML file names none"`
	Keys bool   `arg:"--keys" help:"print the table of all keys and stop; those of a node with --role node"`
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
		return report(streams, err)
	}
	fmt.Fprintf(streams.Output, "settings are sound: %s %s in zone %s, listening on %s\n",
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
		return report(streams, err)
	}
	fmt.Fprintf(streams.Output, "settings are sound: node %s in zone %s, callers at %s, store at %s\n",
		loaded.Node.Name, loaded.Node.Zone, loaded.Listen.Callers, loaded.Store.Address)
	return ExitOK
}

// loadNode refuses the short forms, which name keys of gateways and schedulers.
func (command *CheckSettingsCommand) loadNode() (settings.NodeSettings, error) {
	overrides, err := command.overrides()
	if err != nil {
		return settings.NodeSettings{}, err
	}
	if len(overrides) > len(command.Set) {
		return settings.NodeSettings{}, resultcode.New(resultcode.InvalidSettings, "--role node: takes --set KEY=VALUE and no short form of a key")
	}
	return loadNode(command.Settings, command.Set)
}

// loadNode reads and checks a node's settings file with the overrides of --set.
func loadNode(path string, set []string) (settings.NodeSettings, error) {
	overrides, err := parseOverrides(set)
	if err != nil {
		return settings.NodeSettings{}, err
	}
	return settings.LoadNode(path, overrides)
}

// NodeCommand runs a node, from a settings file of the product's own or, without one, with
// what the platform hands over.
type NodeCommand struct {
	Settings string   `arg:"--settings" placeholder:"FILE" help:"TOML file; its keys are listed by check-settings --role node --keys. Without it the platform names a file"`
	Set      []string `arg:"--set,separate" placeholder:"KEY=VALUE" help:"override any key of --settings; may be repeated"`
}

func (command *NodeCommand) run(ctx context.Context, streams Streams, version string, runners Runners) int {
	err := command.start(ctx, version, runners)
	if err != nil {
		return report(streams, err)
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
		return resultcode.New(resultcode.InvalidSettings, "--set: needs --settings")
	}
	return runners.PlatformNode(ctx, version)
}
