// Package enginemodel is a deterministic model of one LLM inference engine on a
// virtual clock: continuous batching, a bounded KV cache of blocks with prefix
// reuse, priorities, preemption and release. It has no goroutines, wall clock
// or random source; methods take the time as a duration since an epoch that the
// caller chooses. It is not safe for concurrent use.
//
// Cache usage is measured in block-seconds. A block is held from its allocation
// until it is freed: evicted, released, or dropped with the request that filled
// it. It is reused once a later request finds it by its hash at admission; a
// preempted request that finds its own blocks does not count. Wasted
// block-seconds are the whole lifetimes of blocks that were never reused. See
// Stats.
package enginemodel

import (
	"errors"
	"fmt"
	"time"
)

// Defaults of DefaultConfig.
const (
	defaultBlockTokens          = 16
	defaultBlocks               = 8192
	defaultRunningLimit         = 64
	defaultPrefillTokensPerStep = 512
	defaultStepBase             = 3 * time.Millisecond
	defaultStepPerSequence      = 20 * time.Microsecond
	defaultStepPerPrefillToken  = 20 * time.Microsecond
)

// Config describes the capacity and speed of one engine.
type Config struct {
	// BlockTokens is the number of tokens in one cache block.
	BlockTokens int
	// Blocks is the size of the cache in blocks.
	Blocks int
	// RunningLimit is the maximum number of requests in one batch.
	RunningLimit int
	// PrefillTokensPerStep is the maximum number of prompt tokens computed in
	// one step.
	PrefillTokensPerStep int
	// StepBase is the fixed part of a step's duration; StepPerSequence is added
	// for each decoding sequence and StepPerPrefillToken for each prompt token.
	StepBase            time.Duration
	StepPerSequence     time.Duration
	StepPerPrefillToken time.Duration
}

// DefaultConfig returns the configuration of an engine with 16-token blocks and
// a base step of 3 ms.
func DefaultConfig() Config {
	return Config{
		BlockTokens:          defaultBlockTokens,
		Blocks:               defaultBlocks,
		RunningLimit:         defaultRunningLimit,
		PrefillTokensPerStep: defaultPrefillTokensPerStep,
		StepBase:             defaultStepBase,
		StepPerSequence:      defaultStepPerSequence,
		StepPerPrefillToken:  defaultStepPerPrefillToken,
	}
}

// Validate returns an error that names the first field that is out of bounds.
func (config Config) Validate() error {
	counts := []struct {
		name  string
		value int
	}{
		{"BlockTokens", config.BlockTokens},
		{"Blocks", config.Blocks},
		{"RunningLimit", config.RunningLimit},
		{"PrefillTokensPerStep", config.PrefillTokensPerStep},
	}
	for _, count := range counts {
		if count.value < 1 {
			return fmt.Errorf("enginemodel: %s must be at least 1, got %d", count.name, count.value)
		}
	}
	if config.StepBase <= 0 {
		return errors.New("enginemodel: StepBase must be positive")
	}
	if config.StepPerSequence < 0 || config.StepPerPrefillToken < 0 {
		return errors.New("enginemodel: StepPerSequence and StepPerPrefillToken must not be negative")
	}
	return nil
}
