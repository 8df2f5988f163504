// Package fault runs scenarios on real processes: it starts a cluster, drives
// concurrent callers and operators, throws the scenario's faults, heals, waits
// for quiet and judges what was recorded.
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

// Scenario is one file of rehearsal/scenarios.
type Scenario struct {
	Name  string `yaml:"name"`
	About string `yaml:"about"`
	Seed  uint64 `yaml:"seed"`
	// Duration is how long callers begin new programs.
	Duration  time.Duration `yaml:"duration"`
	Layout    Layout        `yaml:"layout"`
	Load      Load          `yaml:"load"`
	Operators Operators     `yaml:"operators"`
	Faults    []Fault       `yaml:"faults"`
	// Checks are names of history.Checks.
	Checks []string `yaml:"checks"`
}

// Layout says what runs. Gateways and schedulers count for each zone, engines
// and tools altogether.
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

// Load says what the callers do. Shares are from 0 to 1.
type Load struct {
	// Clients run one program after the other, all side by side.
	Clients int `yaml:"clients"`
	// Turns is the number of calls of a program.
	Turns int `yaml:"turns"`
	// OutputTokens is the length of each model answer.
	OutputTokens int `yaml:"output_tokens"`
	// ToolShare of the calls go to the tool service; ToolDelay is how long each
	// of these takes.
	ToolShare float64       `yaml:"tool_share"`
	ToolDelay time.Duration `yaml:"tool_delay"`
	// RepeatableShare of the calls may run again.
	RepeatableShare float64 `yaml:"repeatable_share"`
	// DuplicateShare of the calls are sent through two gateways at once.
	DuplicateShare float64 `yaml:"duplicate_share"`
	// SubAgentShare of the turns run a sub-agent before the next.
	SubAgentShare float64 `yaml:"sub_agent_share"`
	// Think is the longest pause before a call.
	Think time.Duration `yaml:"think"`
}

// Operators says what operators publish.
type Operators struct {
	// Publishers each publish a change at every Interval, all at once.
	Publishers int           `yaml:"publishers"`
	Interval   time.Duration `yaml:"interval"`
	// Until is when they end; 0 is the scenario's end.
	Until time.Duration `yaml:"until"`
}

// Kind is what a fault does.
type Kind string

// Kinds of faults.
const (
	// Kill ends a process by SIGKILL; it is started anew after For.
	Kill Kind = "kill"
	// Freeze stops a process by SIGSTOP and wakes it after For.
	Freeze Kind = "freeze"
	// Stop ends a process by SIGTERM; it is started anew after For.
	Stop Kind = "stop"
	// Rolling stops every gateway and scheduler in turn and starts each anew,
	// with a pause of For between them.
	Rolling Kind = "rolling"
	// Leave marks a back end as leaving on the machine list.
	Leave Kind = "leave"
	// ReportLeaving makes an engine itself tell that it is leaving.
	ReportLeaving Kind = "report_leaving"
	// Inject orders a fault of a stand-in for a time of For.
	Inject Kind = "inject"
	// Cut stops all bytes between a zone and the others for a time of For.
	Cut Kind = "cut"
	// CutOff does that, and between the zone and the platform too.
	CutOff Kind = "cut_off"
)

var faultKinds = []Kind{Kill, Freeze, Stop, Rolling, Leave, ReportLeaving, Inject, Cut, CutOff}

// Targets that are no machine ids.
const (
	// LeaderTarget is the scheduler that leads the most shards at the time.
	LeaderTarget = "leader"
	// LogTarget and MachinesTarget are the platform's services.
	LogTarget      = "log"
	MachinesTarget = "machines"
)

// Fault is one fault with its time.
type Fault struct {
	// At counts from the begin of the load.
	At     time.Duration `yaml:"at"`
	Kind   Kind          `yaml:"kind"`
	Target string        `yaml:"target"`
	// For is how long the fault lasts; 0 is until the end of the run.
	For time.Duration `yaml:"for"`
	// Effect, Probability and Delay belong to Inject.
	Effect      fault.Kind    `yaml:"effect"`
	Probability float64       `yaml:"probability"`
	Delay       time.Duration `yaml:"delay"`
}

// Bounds of a scenario.
const (
	maximumDuration = 30 * time.Minute
	maximumZones    = 8
	maximumMachines = 20
	maximumClients  = 1000
)

// LoadScenario reads and checks a scenario file; an unknown key is an error.
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

// Validate checks every value of the scenario.
func (scenario *Scenario) Validate() error {
	if scenario.Name == "" {
		return eris.New("name: missing")
	}
	if scenario.Duration <= 0 || scenario.Duration > maximumDuration {
		return eris.Errorf("duration: %s is not above 0 and up to %s", scenario.Duration, maximumDuration)
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
			return eris.Errorf("checks: no check %q", name)
		}
	}
	return nil
}

func (layout Layout) validate() error {
	numbers := []struct {
		key                 string
		value, least, bound int
	}{
		{"zones", layout.Zones, 1, maximumZones},
		{"gateways", layout.Gateways, 1, maximumMachines},
		{"schedulers", layout.Schedulers, 1, maximumMachines},
		{"engines", layout.Engines, 1, maximumMachines},
		{"tools", layout.Tools, 0, maximumMachines},
		{"shards", layout.Shards, 1, 1024},
	}
	for _, number := range numbers {
		if number.value < number.least || number.value > number.bound {
			return eris.Errorf("layout: %s is not from %d to %d", number.key, number.least, number.bound)
		}
	}
	return nil
}

func (load Load) validate() error {
	if load.Clients < 1 || load.Clients > maximumClients || load.Turns < 1 || load.OutputTokens < 1 {
		return eris.Errorf("load: clients must be 1 to %d, turns and output_tokens above 0", maximumClients)
	}
	if load.Think < 0 || load.ToolDelay < 0 {
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
		return eris.Errorf("kind: no kind %q", fault.Kind)
	}
	if fault.At < 0 || fault.At > scenario.Duration || fault.For < 0 {
		return eris.New("at must lie within the duration, for must not be negative")
	}
	if fault.Kind == Rolling {
		return nil
	}
	if (fault.Kind == Inject) != (fault.Effect != "") {
		return eris.New("effect belongs to inject, and inject needs one")
	}
	if fault.mustEnd() && fault.For == 0 {
		return eris.New("for: missing")
	}
	if !scenario.hasTarget(fault) {
		return eris.Errorf("target: no %q that this kind takes", fault.Target)
	}
	return nil
}

// mustEnd tells whether a fault of this kind can't last to the end of the run.
func (fault Fault) mustEnd() bool {
	switch fault.Kind {
	case Freeze, Inject, Cut, CutOff:
		return true
	}
	return false
}

func (fault Fault) cutsZone() bool { return fault.Kind == Cut || fault.Kind == CutOff }

// zone is the number of the zone that a cut is about, 0 for no zone.
func (scenario *Scenario) zone(fault Fault) int {
	for number := 1; number <= scenario.Layout.Zones; number++ {
		if fault.Target == fmt.Sprintf("zone-%d", number) {
			return number
		}
	}
	return 0
}

func (scenario *Scenario) hasTarget(fault Fault) bool {
	if fault.cutsZone() {
		return scenario.zone(fault) > 0
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

// Names of the one model and the one tool service.
const (
	modelName  = "small"
	toolName   = "records"
	deployment = "namibia"
	blocks     = 4096
	running    = 32
)

// Plan is what the scenario starts, at a port.
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
		Blocks:            blocks,
		RunningLimit:      running,
		LogLevel:          "info",
		Deployment:        deployment,
		TierBudgetMicros:  layout.TierBudgetMicros,
		ProgramCapMicros:  layout.ProgramCapMicros,
		Relayed:           slices.ContainsFunc(scenario.Faults, Fault.cutsZone),
	}
}
