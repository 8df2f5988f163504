package keeper

import "time"

// decayFactor is applied to past samples on each new one, for a window of about
// 100 samples.
const decayFactor = 0.99

// decayedRatio estimates a quotient, such as seconds per token, from
// exponentially decayed sums. Larger samples weigh more.
type decayedRatio struct {
	numerator, denominator float64
}

// add adds one sample.
func (estimate *decayedRatio) add(numerator, denominator float64) {
	estimate.numerator = estimate.numerator*decayFactor + numerator
	estimate.denominator = estimate.denominator*decayFactor + denominator
}

// value returns the quotient, or fallback if there are no samples.
func (estimate *decayedRatio) value(fallback float64) float64 {
	if estimate.denominator == 0 {
		return fallback
	}
	return estimate.numerator / estimate.denominator
}

// Estimates used before the first sample.
const (
	initialHoldSeconds    = 1.0
	initialPrefillSeconds = 0.0001
	initialOutputRatio    = 1.0
	initialLoadSeconds    = 2.0
)

// estimates holds the measurements of the pool.
type estimates struct {
	// holdSeconds is how long a call holds its slot.
	holdSeconds decayedRatio
	// prefillSeconds is the prefill time per prompt token.
	prefillSeconds decayedRatio
	// outputRatio is generated tokens per MaxTokens.
	outputRatio decayedRatio
	// loadSeconds is the time from an adapter load request to the report that
	// confirms it.
	loadSeconds decayedRatio
}

func (e *estimates) hold() float64 { return e.holdSeconds.value(initialHoldSeconds) }

func (e *estimates) load() float64 { return e.loadSeconds.value(initialLoadSeconds) }

func (e *estimates) prefillPerToken() time.Duration {
	return seconds(e.prefillSeconds.value(initialPrefillSeconds))
}

// predictKVTokens predicts the KV memory that a call holds exclusively at its
// end, in tokens. It assumes an output of mean length, because many calls share
// the memory.
func (keeper *Keeper) predictKVTokens(request *Request, program *programState) int {
	outputRatio := min(keeper.estimates.outputRatio.value(initialOutputRatio), 1)
	exclusive := max(request.PromptTokens-program.kindStats().sharedTokens(), 0)
	return exclusive + int(outputRatio*float64(request.MaxTokens))
}

// seconds converts seconds to a Duration.
func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
