package keeper

import "time"

// decayKept is how much of the past an estimate keeps with each new sample: it
// remembers about the last hundred.
const decayKept = 0.99

// ratio estimates a quotient, such as seconds a token, from decayed sums, so
// that large samples count more than small ones.
type ratio struct {
	above, below float64
}

// add takes one sample in.
func (estimate *ratio) add(above, below float64) {
	estimate.above = estimate.above*decayKept + above
	estimate.below = estimate.below*decayKept + below
}

// value returns the quotient, or fallback before the first sample.
func (estimate *ratio) value(fallback float64) float64 {
	if estimate.below == 0 {
		return fallback
	}
	return estimate.above / estimate.below
}

// Values taken before anything was measured.
const (
	firstHoldSeconds    = 1.0
	firstPrefillSeconds = 0.0001
	firstOutputPart     = 1.0
	firstLoadSeconds    = 2.0
)

// estimates are what the keeper has measured over its pool.
type estimates struct {
	// holdSeconds is how long a call keeps its slot.
	holdSeconds ratio
	// prefillSeconds is the time to compute one prompt token.
	prefillSeconds ratio
	// outputPart is generated tokens over MaxTokens.
	outputPart ratio
	// loadSeconds is how long an adapter's load takes until a report shows it.
	loadSeconds ratio
}

func (e *estimates) hold() float64 { return e.holdSeconds.value(firstHoldSeconds) }

func (e *estimates) load() float64 { return e.loadSeconds.value(firstLoadSeconds) }

func (e *estimates) prefillPerToken() time.Duration {
	return seconds(e.prefillSeconds.value(firstPrefillSeconds))
}

// needTokens is the KV memory a call alone is expected to hold at its end: with
// an answer of mean length, as many calls share the memory.
func (keeper *Keeper) needTokens(request *Request, program *programState) int {
	part := min(keeper.estimates.outputPart.value(firstOutputPart), 1)
	own := max(request.PromptTokens-program.kindRecord().sharedTokens(), 0)
	return own + int(part*float64(request.MaxTokens))
}

// seconds turns a float of seconds into a duration.
func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
