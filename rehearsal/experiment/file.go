// Package experiment simulates generated agent programs under scheduling
// policies, with the engine model on a virtual clock, and measures program
// latency per tier and wasted cache.
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

// File is the YAML definition of an experiment. Unknown keys are rejected.
type File struct {
	Name string `yaml:"name"`
	// Workload is the name of a deployment: namibia or cairo.
	Workload string `yaml:"workload"`
	// Engines overrides the deployment's number of model engines if not 0.
	Engines int `yaml:"engines"`
	// OnlyTier restricts the workload to the programs of one tier; empty keeps
	// all.
	OnlyTier string `yaml:"only_tier"`
	// EndlessPrograms is the number of programs that loop until their token cap.
	EndlessPrograms int `yaml:"endless_programs"`
	// LoseEngineAt is the fraction of Duration after which the first engine is
	// lost; 0 loses none.
	LoseEngineAt float64 `yaml:"lose_engine_at"`
	// Loads are multiples of the capacity.
	Loads []float64 `yaml:"loads"`
	Seeds []uint64  `yaml:"seeds"`
	// Duration is the length of the arrival period. Programs that arrive before
	// WarmUp are not measured.
	Duration time.Duration `yaml:"duration"`
	WarmUp   time.Duration `yaml:"warm_up"`
	// CapacityRate is the capacity in programs per second. If it is 0, the
	// capacity is measured under CapacityPolicy, or under Baseline if that is
	// empty; see MeasureCapacity.
	CapacityRate   float64  `yaml:"capacity_rate"`
	CapacityPolicy string   `yaml:"capacity_policy"`
	Engine         Engine   `yaml:"engine"`
	Policies       []Policy `yaml:"policies"`
	// Baseline, Oracle and Candidate name the policies that the report compares.
	Baseline  string `yaml:"baseline"`
	Oracle    string `yaml:"oracle"`
	Candidate string `yaml:"candidate"`
}

// Engine is the configuration of the engine model; see enginemodel.Config.
type Engine struct {
	BlockTokens          int           `yaml:"block_tokens"`
	Blocks               int           `yaml:"blocks"`
	RunningLimit         int           `yaml:"running_limit"`
	PrefillTokensPerStep int           `yaml:"prefill_tokens_per_step"`
	StepBase             time.Duration `yaml:"step_base"`
	StepPerSequence      time.Duration `yaml:"step_per_sequence"`
	StepPerPrefillToken  time.Duration `yaml:"step_per_prefill_token"`
}

// Policy is a combination of scheduling policies under test.
type Policy struct {
	Name            string `yaml:"name"`
	Queue           string `yaml:"queue"`
	Placement       string `yaml:"placement"`
	Cache           string `yaml:"cache"`
	AffinityPercent uint32 `yaml:"affinity_percent"`
	// EnginesPerKeeper is the number of engines per keeper; 0 means one keeper
	// for all engines.
	EnginesPerKeeper int `yaml:"engines_per_keeper"`
	// KeeperBinding determines how arriving programs are bound to keepers:
	// fewest-programs (the default) uses exact program counts of all keepers;
	// hash uses only the program's ID.
	KeeperBinding string `yaml:"keeper_binding"`
}

// Values of Policy.KeeperBinding.
const (
	bindingFewestPrograms = "fewest-programs"
	bindingHash           = "hash"
)

// ReadFile reads and validates an experiment file.
func ReadFile(path string) (File, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return File{}, eris.Wrap(err, "read experiment file")
	}
	return ParseFile(content)
}

// ParseFile parses and validates the content of an experiment file.
func ParseFile(content []byte) (File, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	var file File
	if err := decoder.Decode(&file); err != nil {
		return File{}, resultcode.New(resultcode.InvalidSettings, "experiment file: %v", err)
	}
	return file, file.check()
}

// check returns an error that names the key of the first invalid value.
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
		return invalid("engines", "must not be negative")
	}
	if file.OnlyTier != "" && deployment.TierByName(file.OnlyTier).Name == "" {
		return invalid("only_tier", fmt.Sprintf("is not a tier of %s", file.Workload))
	}
	if file.EndlessPrograms < 0 {
		return invalid("endless_programs", "must not be negative")
	}
	return nil
}

func (file File) checkTimes() error {
	if file.Duration <= 0 {
		return invalid("duration", "must be positive")
	}
	if file.WarmUp < 0 || file.WarmUp >= file.Duration {
		return invalid("warm_up", "must be at least 0 and less than duration")
	}
	if file.LoseEngineAt < 0 || file.LoseEngineAt >= 1 {
		return invalid("lose_engine_at", "must be at least 0 and less than 1")
	}
	return nil
}

func (file File) checkLoads() error {
	if len(file.Loads) == 0 {
		return invalid("loads", "is empty")
	}
	for _, load := range file.Loads {
		if load <= 0 {
			return invalid("loads", "must contain positive loads only")
		}
	}
	if len(file.Seeds) == 0 {
		return invalid("seeds", "is empty")
	}
	if file.CapacityRate < 0 {
		return invalid("capacity_rate", "must not be negative")
	}
	return nil
}

func (file File) checkPolicies() error {
	names := map[string]bool{}
	for index, policy := range file.Policies {
		key := fmt.Sprintf("policies[%d]", index)
		if policy.Name == "" || names[policy.Name] {
			return invalid(key+".name", "is missing or not unique")
		}
		names[policy.Name] = true
		if policy.EnginesPerKeeper < 0 {
			return invalid(key+".engines_per_keeper", "must not be negative")
		}
		if !policy.hasKnownBinding() {
			return invalid(key+".keeper_binding", "must be fewest-programs or hash")
		}
		if _, err := policy.policies(); err != nil {
			return invalid(key, err.Error())
		}
	}
	for _, reference := range []struct{ key, name string }{
		{"baseline", file.Baseline}, {"oracle", file.Oracle}, {"candidate", file.Candidate}, {"capacity_policy", file.CapacityPolicy},
	} {
		if reference.name != "" && !names[reference.name] {
			return invalid(reference.key, "is not a policy of this file")
		}
	}
	if !names[file.Baseline] {
		return invalid("baseline", "is missing")
	}
	return nil
}

func (policy Policy) hasKnownBinding() bool {
	switch policy.KeeperBinding {
	case "", bindingFewestPrograms, bindingHash:
		return true
	default:
		return false
	}
}

// policies returns the keeper policies with the configured names.
func (policy Policy) policies() (keeper.Policies, error) {
	return keeper.PoliciesByName(policy.Queue, policy.Placement, policy.Cache, policy.AffinityPercent)
}

// usesPriorities reports whether engines get the priorities of the keeper's
// grants: under every queue policy except first come, first served.
func (policy Policy) usesPriorities() bool { return policy.Queue != queue.FCFS }

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
			return invalid("engine."+entry.key, "must be positive")
		}
	}
	if engine.StepPerSequence < 0 || engine.StepPerPrefillToken < 0 {
		return invalid("engine", "must not contain negative durations")
	}
	return nil
}

// model converts engine to the configuration of the engine model.
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

func invalid(key, problem string) error {
	return resultcode.New(resultcode.InvalidSettings, "experiment file: key %s %s", key, problem)
}
