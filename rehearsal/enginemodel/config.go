// Package enginemodel is a pure model of one model-serving engine on a virtual
// clock: continuous batching in steps, a bounded KV cache of blocks with prefix
// reuse, priorities, preemption and release. It has no goroutine, no wall clock
// and no random source; every method takes the time as a duration since an
// epoch of the caller's choice. It is not safe for concurrent use.
//
// Wasted cache is measured in block-seconds. A block is held from its
// allocation to the moment it is freed (evicted, released, or dropped with the
// request that filled it). It is reused once a later request finds it by its
// hash when it is admitted; a preempted request that finds its own blocks again
// does not count. The wasted share is the block-seconds held by blocks that
// were never reused, over the block-seconds held by all blocks, whole
// lifetimes counted. Blocks still held at the time of a Stats call are counted
// as though they were freed at that time. See Stats.
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

// Config sizes one engine.
type Config struct {
	// BlockTokens is how many tokens one cache block holds.
	BlockTokens int
	// Blocks bounds the cache.
	Blocks int
	// RunningLimit bounds the requests in one batch.
	RunningLimit int
	// PrefillTokensPerStep bounds the prompt tokens computed in one step.
	PrefillTokensPerStep int
	// StepBase is the duration of an empty step; each decoding sequence and
	// each prompt token adds to it.
	StepBase            time.Duration
	StepPerSequence     time.Duration
	StepPerPrefillToken time.Duration
}

// DefaultConfig is an engine with 16-token blocks and a base step of 3 ms.
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

// Validate tells the first field that is out of bounds.
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
			return fmt.Errorf("enginemodel: %s must be at least 1, is %d", count.name, count.value)
		}
	}
	if config.StepBase <= 0 {
		return errors.New("enginemodel: StepBase must be positive")
	}
	if config.StepPerSequence < 0 || config.StepPerPrefillToken < 0 {
		return errors.New("enginemodel: step durations must not be negative")
	}
	return nil
}
