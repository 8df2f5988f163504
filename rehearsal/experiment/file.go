// Package experiment runs generated agent programs against scheduling policies
// over the engine model, on a virtual clock, and measures what the brief asks
// for: program latency per tier and wasted cache.
package experiment

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"

	"github.com/magpielug/magpielug/internal/keeper"
	"github.com/magpielug/magpielug/internal/queue"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
	"github.com/magpielug/magpielug/rehearsal/workload"
)

// File is an experiment as its YAML file declares it. An unknown key is
// refused.
type File struct {
	Name string `yaml:"name"`
	// Workload names a deployment: namibia or cairo.
	Workload string `yaml:"workload"`
	// Engines replaces the deployment's number of model engines; 0 keeps it.
	Engines int `yaml:"engines"`
	// OnlyTier keeps the programs of one tier alone; empty keeps all.
	OnlyTier string `yaml:"only_tier"`
	// EndlessPrograms is how many programs loop without end.
	EndlessPrograms int `yaml:"endless_programs"`
	// LoseEngineAt is the share of the duration after which the first engine is
	// lost; 0 loses none.
	LoseEngineAt float64 `yaml:"lose_engine_at"`
	// Loads are factors of the capacity.
	Loads []float64 `yaml:"loads"`
	Seeds []uint64  `yaml:"seeds"`
	// Duration is how long programs arrive; those that arrive before WarmUp are
	// run and not measured.
	Duration time.Duration `yaml:"duration"`
	WarmUp   time.Duration `yaml:"warm_up"`
	// CapacityRate is the capacity in programs a second; 0 measures it by
	// saturating the engines under CapacityPolicy, the baseline where empty.
	CapacityRate   float64  `yaml:"capacity_rate"`
	CapacityPolicy string   `yaml:"capacity_policy"`
	Engine         Engine   `yaml:"engine"`
	Policies       []Policy `yaml:"policies"`
	// Baseline, Oracle and Candidate name the policies that the aim compares.
	Baseline  string `yaml:"baseline"`
	Oracle    string `yaml:"oracle"`
	Candidate string `yaml:"candidate"`
}

// Engine is the engine model's configuration.
type Engine struct {
	BlockTokens          int           `yaml:"block_tokens"`
	Blocks               int           `yaml:"blocks"`
	RunningLimit         int           `yaml:"running_limit"`
	PrefillTokensPerStep int           `yaml:"prefill_tokens_per_step"`
	StepBase             time.Duration `yaml:"step_base"`
	StepPerSequence      time.Duration `yaml:"step_per_sequence"`
	StepPerPrefillToken  time.Duration `yaml:"step_per_prefill_token"`
}

// Policy is one scheduling setting under test.
type Policy struct {
	Name            string `yaml:"name"`
	Queue           string `yaml:"queue"`
	Placement       string `yaml:"placement"`
	Cache           string `yaml:"cache"`
	AffinityPercent uint32 `yaml:"affinity_percent"`
	// EnginesPerKeeper splits the engines over several keepers; 0 is one keeper
	// for all of them.
	EnginesPerKeeper int `yaml:"engines_per_keeper"`
	// KeeperBinding binds a program to one of several keepers at its arrival:
	// fewest-programs, which needs an exact view of all keepers, or hash, which
	// needs none. Empty is fewest-programs.
	KeeperBinding string `yaml:"keeper_binding"`
}

// Bindings of programs to keepers.
const (
	bindingFewestPrograms = "fewest-programs"
	bindingHash           = "hash"
)

// ReadFile reads and checks an experiment file.
func ReadFile(path string) (File, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return File{}, eris.Wrap(err, "read experiment file")
	}
	return ParseFile(content)
}

// ParseFile parses and checks the content of an experiment file.
func ParseFile(content []byte) (File, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	var file File
	if err := decoder.Decode(&file); err != nil {
		return File{}, resultcode.New(resultcode.InvalidSettings, "experiment file: %v", err)
	}
	return file, file.check()
}

// check returns the first fault of the file, naming its key.
func (file File) check() error {
	checks := []func() error{
		file.checkWorkload,
		file.checkTimes,
		file.checkLoads,
		file.Engine.check,
		file.checkPolicies,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (file File) checkWorkload() error {
	if file.Name == "" {
		return invalid("name", "is missing")
	}
	deployment, err := workload.DeploymentByName(file.Workload)
	if err != nil {
		return invalid("workload", err.Error())
	}
	if file.Engines < 0 {
		return invalid("engines", "is below 0")
	}
	if file.OnlyTier != "" && deployment.TierByName(file.OnlyTier).Name == "" {
		return invalid("only_tier", fmt.Sprintf("names no tier of %s", file.Workload))
	}
	if file.EndlessPrograms < 0 {
		return invalid("endless_programs", "is below 0")
	}
	return nil
}

func (file File) checkTimes() error {
	if file.Duration <= 0 {
		return invalid("duration", "is not above 0")
	}
	if file.WarmUp < 0 || file.WarmUp >= file.Duration {
		return invalid("warm_up", "is not between 0 and duration")
	}
	if file.LoseEngineAt < 0 || file.LoseEngineAt >= 1 {
		return invalid("lose_engine_at", "is not between 0 and 1")
	}
	return nil
}

func (file File) checkLoads() error {
	if len(file.Loads) == 0 {
		return invalid("loads", "is empty")
	}
	for _, load := range file.Loads {
		if load <= 0 {
			return invalid("loads", "has a load that is not above 0")
		}
	}
	if len(file.Seeds) == 0 {
		return invalid("seeds", "is empty")
	}
	if file.CapacityRate < 0 {
		return invalid("capacity_rate", "is below 0")
	}
	return nil
}

func (file File) checkPolicies() error {
	names := map[string]bool{}
	for index, policy := range file.Policies {
		key := fmt.Sprintf("policies[%d]", index)
		if policy.Name == "" || names[policy.Name] {
			return invalid(key+".name", "is missing or used twice")
		}
		names[policy.Name] = true
		if policy.EnginesPerKeeper < 0 {
			return invalid(key+".engines_per_keeper", "is below 0")
		}
		if !policy.bindingKnown() {
			return invalid(key+".keeper_binding", "is neither fewest-programs nor hash")
		}
		if _, err := policy.policies(); err != nil {
			return invalid(key, err.Error())
		}
	}
	for _, reference := range []struct{ key, name string }{
		{"baseline", file.Baseline}, {"oracle", file.Oracle}, {"candidate", file.Candidate}, {"capacity_policy", file.CapacityPolicy},
	} {
		if reference.name != "" && !names[reference.name] {
			return invalid(reference.key, "names no policy of the file")
		}
	}
	if !names[file.Baseline] {
		return invalid("baseline", "is missing")
	}
	return nil
}

func (policy Policy) bindingKnown() bool {
	switch policy.KeeperBinding {
	case "", bindingFewestPrograms, bindingHash:
		return true
	default:
		return false
	}
}

// policies looks the keeper's policies up by name.
func (policy Policy) policies() (keeper.Policies, error) {
	return keeper.PoliciesByName(policy.Queue, policy.Placement, policy.Cache, policy.AffinityPercent)
}

// knowsTiers is false for first come first served, which gives no priority to
// the engine's own queue either.
func (policy Policy) knowsTiers() bool { return policy.Queue != queue.FirstCome }

func (engine Engine) check() error {
	values := []struct {
		key   string
		value int64
	}{
		{"block_tokens", int64(engine.BlockTokens)},
		{"blocks", int64(engine.Blocks)},
		{"running_limit", int64(engine.RunningLimit)},
		{"prefill_tokens_per_step", int64(engine.PrefillTokensPerStep)},
		{"step_base", int64(engine.StepBase)},
	}
	for _, entry := range values {
		if entry.value <= 0 {
			return invalid("engine."+entry.key, "is not above 0")
		}
	}
	if engine.StepPerSequence < 0 || engine.StepPerPrefillToken < 0 {
		return invalid("engine", "has a duration below 0")
	}
	return nil
}

// model converts to the engine model's own configuration.
func (engine Engine) model() enginemodel.Config {
	return enginemodel.Config{
		BlockTokens:          engine.BlockTokens,
		Blocks:               engine.Blocks,
		RunningLimit:         engine.RunningLimit,
		PrefillTokensPerStep: engine.PrefillTokensPerStep,
		StepBase:             engine.StepBase,
		StepPerSequence:      engine.StepPerSequence,
		StepPerPrefillToken:  engine.StepPerPrefillToken,
	}
}

func invalid(key, fault string) error {
	return resultcode.New(resultcode.InvalidSettings, "experiment file: key %s %s", key, fault)
}
