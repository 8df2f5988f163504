// Package fault runs fault scenarios on real processes: it starts a cluster, drives
// concurrent callers and operators, injects the scenario's faults, and after their
// end checks the recorded history.
package fault

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/magpielug/magpielug/rehearsal/cluster"
	"github.com/magpielug/magpielug/rehearsal/history"
	"github.com/magpielug/magpielug/rehearsal/standin/fault"
)

// Scenario is the content of a scenario file; see rehearsal/scenarios.
type Scenario struct {
	Name        string `yaml:"name"`
	Description string `yaml:"about"`
	Seed        uint64 `yaml:"seed"`
	// Duration is how long callers start new programs.
	Duration  time.Duration `yaml:"duration"`
	Layout    Layout        `yaml:"layout"`
	Load      Load          `yaml:"load"`
	Operators Operators     `yaml:"operators"`
	Faults    []Fault       `yaml:"faults"`
	// Checks are keys of history.Checks.
	Checks []string `yaml:"checks"`
}

// Layout is the size of the cluster. Gateways and Schedulers are per zone; Engines
// and Tools are totals.
type Layout struct {
	Zones            int    `yaml:"zones"`
	Gateways         int    `yaml:"gateways"`
	Schedulers       int    `yaml:"schedulers"`
	Engines          int    `yaml:"engines"`
	Tools            int    `yaml:"tools"`
	Shards           int    `yaml:"shards"`
	TierBudgetMicros uint64 `yaml:"tier_budget_micros"`
	ProgramCapMicros uint64 `yaml:"program_cap_micros"`
}

// Load describes the callers' load. Shares are probabilities from 0 to 1.
type Load struct {
	// Clients is the number of concurrent clients, each of which runs programs
	// sequentially.
	Clients int `yaml:"clients"`
	// Turns is the number of calls per program.
	Turns int `yaml:"turns"`
	// OutputTokens is the length of each model response.
	OutputTokens int `yaml:"output_tokens"`
	// ToolShare is the share of calls that go to the tool service, ToolDelay the
	// duration of each.
	ToolShare float64       `yaml:"tool_share"`
	ToolDelay time.Duration `yaml:"tool_delay"`
	// RepeatableShare is the share of calls that are allowed to run more than once.
	RepeatableShare float64 `yaml:"repeatable_share"`
	// DuplicateShare is the share of calls that are sent twice concurrently.
	DuplicateShare float64 `yaml:"duplicate_share"`
	// SubAgentShare is the share of turns that are followed by a sub-agent's run.
	SubAgentShare float64 `yaml:"sub_agent_share"`
	// MaxThinkTime bounds the random think time before a call.
	MaxThinkTime time.Duration `yaml:"think"`
}

// Operators describes the configuration changes that operators publish.
type Operators struct {
	// Publishers is the number of operators that each publish a change per Interval,
	// concurrently.
	Publishers int           `yaml:"publishers"`
	Interval   time.Duration `yaml:"interval"`
	// Until is when they stop, as an offset from the start of the load; 0 is the
	// scenario's Duration.
	Until time.Duration `yaml:"until"`
}

// Kind is the kind of a fault.
type Kind string

// Kinds of faults.
const (
	// Kill sends SIGKILL to a process and restarts it after Duration.
	Kill Kind = "kill"
	// Freeze suspends a process with SIGSTOP and resumes it after Duration.
	Freeze Kind = "freeze"
	// Stop sends SIGTERM to a process and restarts it after Duration.
	Stop Kind = "stop"
	// Rolling stops and restarts every gateway and scheduler in turn, with a pause of
	// Duration between them.
	Rolling Kind = "rolling"
	// Leave marks a backend as leaving on the machine list.
	Leave Kind = "leave"
	// ReportLeaving makes an engine report that it is leaving.
	ReportLeaving Kind = "report_leaving"
	// Inject enables one of a stand-in's own faults for Duration.
	Inject Kind = "inject"
	// IsolateZone blocks traffic between a zone and the other zones for Duration.
	IsolateZone Kind = "cut"
	// IsolateZoneFully also blocks traffic between the zone and the platform.
	IsolateZoneFully Kind = "cut_off"
)

var faultKinds = []Kind{Kill, Freeze, Stop, Rolling, Leave, ReportLeaving, Inject, IsolateZone, IsolateZoneFully}

// Targets other than machine and zone ids.
const (
	// LeaderTarget is the scheduler that leads the most shards when the fault starts.
	LeaderTarget = "leader"
	// LogTarget and MachinesTarget are the platform's services.
	LogTarget      = "log"
	MachinesTarget = "machines"
)

// Fault is a scheduled fault.
type Fault struct {
	// At is the offset from the start of the load.
	At     time.Duration `yaml:"at"`
	Kind   Kind          `yaml:"kind"`
	Target string        `yaml:"target"`
	// Duration is how long the fault lasts; see Kind. For Kill, 0 leaves the process
	// down until the end of the run.
	Duration time.Duration `yaml:"for"`
	// Effect, Probability and Delay configure an Inject fault.
	Effect      fault.Kind    `yaml:"effect"`
	Probability float64       `yaml:"probability"`
	Delay       time.Duration `yaml:"delay"`
}

// Limits of a scenario.
const (
	maximumDuration = 30 * time.Minute
	maximumZones    = 8
	maximumMachines = 20
	maximumClients  = 1000
)

// LoadScenario reads and validates a scenario file. Unknown keys are errors.
func LoadScenario(path string) (*Scenario, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read scenario")
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	var scenario Scenario
	if err := decoder.Decode(&scenario); err != nil {
		return nil, eris.Wrapf(err, "scenario %s", path)
	}
	return &scenario, eris.Wrapf(scenario.Validate(), "scenario %s", path)
}

// Validate returns an error for the first invalid value.
func (scenario *Scenario) Validate() error {
	if scenario.Name == "" {
		return eris.New("name: missing")
	}
	if scenario.Duration <= 0 || scenario.Duration > maximumDuration {
		return eris.Errorf("duration: %s must be above 0 and at most %s", scenario.Duration, maximumDuration)
	}
	if err := scenario.Layout.validate(); err != nil {
		return err
	}
	if err := scenario.Load.validate(); err != nil {
		return err
	}
	if err := scenario.Operators.validate(); err != nil {
		return err
	}
	for index, fault := range scenario.Faults {
		if err := scenario.validateFault(fault); err != nil {
			return eris.Wrapf(err, "fault %d", index+1)
		}
	}
	return scenario.validateChecks()
}

func (operators Operators) validate() error {
	if operators.Publishers < 0 || operators.Until < 0 || (operators.Publishers > 0 && operators.Interval <= 0) {
		return eris.New("operators: publishers and until must be 0 or more and interval above 0")
	}
	return nil
}

func (scenario *Scenario) validateChecks() error {
	if len(scenario.Checks) == 0 {
		return eris.New("checks: missing")
	}
	for _, name := range scenario.Checks {
		if history.Checks[name] == nil {
			return eris.Errorf("checks: unknown check %q", name)
		}
	}
	return nil
}

func (layout Layout) validate() error {
	numbers := []struct {
		key                     string
		value, minimum, maximum int
	}{
		{"zones", layout.Zones, 1, maximumZones},
		{"gateways", layout.Gateways, 1, maximumMachines},
		{"schedulers", layout.Schedulers, 1, maximumMachines},
		{"engines", layout.Engines, 1, maximumMachines},
		{"tools", layout.Tools, 0, maximumMachines},
		{"shards", layout.Shards, 1, 1024},
	}
	for _, number := range numbers {
		if number.value < number.minimum || number.value > number.maximum {
			return eris.Errorf("layout: %s must be from %d to %d", number.key, number.minimum, number.maximum)
		}
	}
	return nil
}

func (load Load) validate() error {
	if load.Clients < 1 || load.Clients > maximumClients || load.Turns < 1 || load.OutputTokens < 1 {
		return eris.Errorf("load: clients must be 1 to %d, turns and output_tokens above 0", maximumClients)
	}
	if load.MaxThinkTime < 0 || load.ToolDelay < 0 {
		return eris.New("load: think and tool_delay must not be negative")
	}
	for _, share := range []float64{load.ToolShare, load.RepeatableShare, load.DuplicateShare, load.SubAgentShare} {
		if share < 0 || share > 1 {
			return eris.New("load: shares must be from 0 to 1")
		}
	}
	return nil
}

func (scenario *Scenario) validateFault(fault Fault) error {
	if !slices.Contains(faultKinds, fault.Kind) {
		return eris.Errorf("kind: unknown kind %q", fault.Kind)
	}
	if fault.At < 0 || fault.At > scenario.Duration || fault.Duration < 0 {
		return eris.New("at must be within the scenario's duration and for must not be negative")
	}
	if fault.Kind == Rolling {
		return nil
	}
	if (fault.Kind == Inject) != (fault.Effect != "") {
		return eris.New("effect: required for kind inject and not allowed for other kinds")
	}
	if fault.requiresDuration() && fault.Duration == 0 {
		return eris.New("for: missing")
	}
	if !scenario.acceptsTarget(fault) {
		return eris.Errorf("target: %q is not a valid target of this kind", fault.Target)
	}
	return nil
}

// requiresDuration reports whether a fault of this kind must end before the run does.
func (fault Fault) requiresDuration() bool {
	switch fault.Kind {
	case Freeze, Inject, IsolateZone, IsolateZoneFully:
		return true
	}
	return false
}

func (fault Fault) isolatesZone() bool {
	return fault.Kind == IsolateZone || fault.Kind == IsolateZoneFully
}

// targetZone returns the number of the fault's target zone, or 0 if its target is not
// a zone.
func (scenario *Scenario) targetZone(fault Fault) int {
	for number := 1; number <= scenario.Layout.Zones; number++ {
		if fault.Target == fmt.Sprintf("zone-%d", number) {
			return number
		}
	}
	return 0
}

func (scenario *Scenario) acceptsTarget(fault Fault) bool {
	if fault.isolatesZone() {
		return scenario.targetZone(fault) > 0
	}
	switch fault.Target {
	case LogTarget, MachinesTarget:
		return fault.Kind == Inject
	case LeaderTarget:
		return fault.Kind == Kill || fault.Kind == Freeze || fault.Kind == Stop
	}
	return slices.ContainsFunc(scenario.Plan(0).Machines(), func(machine cluster.Machine) bool {
		return machine.ID == fault.Target
	})
}

const (
	modelName          = "small"
	toolName           = "records"
	deploymentName     = "namibia"
	engineBlocks       = 4096
	engineRunningLimit = 32
)

// Plan returns the cluster that the scenario runs on, with its ports starting at port.
func (scenario *Scenario) Plan(port int) cluster.Plan {
	layout := scenario.Layout
	return cluster.Plan{
		Zones:             layout.Zones,
		GatewaysPerZone:   layout.Gateways,
		SchedulersPerZone: layout.Schedulers,
		Engines:           layout.Engines,
		Tools:             layout.Tools,
		Shards:            layout.Shards,
		Model:             modelName,
		Tool:              toolName,
		Port:              port,
		Blocks:            engineBlocks,
		RunningLimit:      engineRunningLimit,
		LogLevel:          "info",
		Deployment:        deploymentName,
		TierBudgetMicros:  layout.TierBudgetMicros,
		ProgramCapMicros:  layout.ProgramCapMicros,
		Relayed:           slices.ContainsFunc(scenario.Faults, Fault.isolatesZone),
	}
}
