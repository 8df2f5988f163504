package gateway

import "time"

// Config holds the gateway's limits and bounds. A zero field takes the value
// of DefaultConfig.
type Config struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// MaxMessages bounds the messages of one call.
	MaxMessages int
	// MaxOutputTokens bounds max_tokens; DefaultOutputTokens stands in for a
	// request that names none. Both are reserved against the budget.
	MaxOutputTokens     uint32
	DefaultOutputTokens uint32
	// MaxHistoryLimit bounds and DefaultHistoryLimit stands in for the limit
	// of one read of a program's history, in turns.
	MaxHistoryLimit     uint32
	DefaultHistoryLimit uint32
	// MaxWait bounds the deadline a caller may ask for a call.
	MaxWait time.Duration

	// RouteBound is the longest the gateway looks for a shard's leader before
	// it refuses a request as not run.
	RouteBound time.Duration
	// ReattachBound is the longest it looks for the leader of a call that a
	// scheduler has accepted.
	ReattachBound time.Duration
	// FirstEventBound is the longest silence of a scheduler after a call is
	// sent to it; a live leader accepts, refuses or redirects at once.
	FirstEventBound time.Duration
	// IdleBound is the longest silence on an accepted call before the gateway
	// attaches anew, so that a frozen leader is noticed.
	IdleBound time.Duration
	// UnaryBound is the longest wait for one answer that is no stream.
	UnaryBound time.Duration
	// BackoffBase is the mean wait before the second look at all candidates;
	// it doubles up to BackoffLimit.
	BackoffBase  time.Duration
	BackoffLimit time.Duration
	// RetryAfter is what callers are told where no better figure is known.
	RetryAfter time.Duration
	// RedirectLimit bounds the leader hints followed for one request between
	// two waits.
	RedirectLimit int
	// RetryRatio and RetryBurst bound the retries: RetryBurst plus RetryRatio
	// for each request.
	RetryRatio float64
	RetryBurst float64
}

// DefaultConfig returns the values used where settings name none.
func DefaultConfig() Config {
	return Config{
		MaxBodyBytes:        4 << 20,
		MaxMessages:         4096,
		MaxOutputTokens:     32768,
		DefaultOutputTokens: 1024,
		MaxHistoryLimit:     1000,
		DefaultHistoryLimit: 100,
		MaxWait:             30 * time.Minute,
		RouteBound:          3 * time.Second,
		ReattachBound:       20 * time.Second,
		FirstEventBound:     2 * time.Second,
		IdleBound:           3 * time.Second,
		UnaryBound:          2 * time.Second,
		BackoffBase:         50 * time.Millisecond,
		BackoffLimit:        500 * time.Millisecond,
		RetryAfter:          time.Second,
		RedirectLimit:       4,
		RetryRatio:          0.1,
		RetryBurst:          64,
	}
}

func (config Config) withDefaults() Config {
	defaults := DefaultConfig()
	orDefault(&config.MaxBodyBytes, defaults.MaxBodyBytes)
	orDefault(&config.MaxMessages, defaults.MaxMessages)
	orDefault(&config.MaxOutputTokens, defaults.MaxOutputTokens)
	orDefault(&config.DefaultOutputTokens, min(defaults.DefaultOutputTokens, config.MaxOutputTokens))
	orDefault(&config.MaxHistoryLimit, defaults.MaxHistoryLimit)
	orDefault(&config.DefaultHistoryLimit, min(defaults.DefaultHistoryLimit, config.MaxHistoryLimit))
	orDefault(&config.MaxWait, defaults.MaxWait)
	orDefault(&config.RouteBound, defaults.RouteBound)
	orDefault(&config.ReattachBound, defaults.ReattachBound)
	orDefault(&config.FirstEventBound, defaults.FirstEventBound)
	orDefault(&config.IdleBound, defaults.IdleBound)
	orDefault(&config.UnaryBound, defaults.UnaryBound)
	orDefault(&config.BackoffBase, defaults.BackoffBase)
	orDefault(&config.BackoffLimit, defaults.BackoffLimit)
	orDefault(&config.RetryAfter, defaults.RetryAfter)
	orDefault(&config.RedirectLimit, defaults.RedirectLimit)
	orDefault(&config.RetryRatio, defaults.RetryRatio)
	orDefault(&config.RetryBurst, defaults.RetryBurst)
	return config
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
