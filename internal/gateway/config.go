package gateway

import "time"

// Config holds the gateway's limits and timeouts. A zero field takes the value
// of DefaultConfig.
type Config struct {
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
	// MaxMessages limits the messages of one call.
	MaxMessages int
	// MaxOutputTokens limits max_tokens; DefaultOutputTokens applies if a
	// request does not set it. The value in effect is reserved against the
	// budget.
	MaxOutputTokens     uint32
	DefaultOutputTokens uint32
	// MaxHistoryLimit is the highest limit, in turns, of one history request;
	// DefaultHistoryLimit applies if the request does not set it.
	MaxHistoryLimit     uint32
	DefaultHistoryLimit uint32
	// MaxWait is the longest deadline that a caller may set.
	MaxWait time.Duration

	// RouteBound is the timeout for finding a shard's leader, after which the
	// request is rejected as not run.
	RouteBound time.Duration
	// ReattachBound is the timeout for finding the leader again for a call that
	// a scheduler has accepted.
	ReattachBound time.Duration
	// FirstEventBound is the timeout for a scheduler's first event; a healthy
	// leader accepts, rejects or redirects a call immediately.
	FirstEventBound time.Duration
	// IdleBound is the longest gap between events of an accepted call. After it
	// the gateway reattaches, in case the leader is frozen.
	IdleBound time.Duration
	// UnaryBound is the timeout of one unary request to a scheduler.
	UnaryBound time.Duration
	// BackoffBase is the mean backoff before the second pass over the
	// candidates; it doubles up to BackoffLimit.
	BackoffBase  time.Duration
	BackoffLimit time.Duration
	// RetryAfter is the Retry-After reported where no better estimate is known.
	RetryAfter time.Duration
	// RedirectLimit limits the leader hints followed in one pass over the
	// candidates.
	RedirectLimit int
	// RetryRatio and RetryBurst set the retry budget: a burst of RetryBurst
	// retries, refilled by RetryRatio for each request.
	RetryRatio float64
	RetryBurst float64
}

// DefaultConfig returns the default limits and timeouts.
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
	setDefault(&config.MaxBodyBytes, defaults.MaxBodyBytes)
	setDefault(&config.MaxMessages, defaults.MaxMessages)
	setDefault(&config.MaxOutputTokens, defaults.MaxOutputTokens)
	setDefault(&config.DefaultOutputTokens, min(defaults.DefaultOutputTokens, config.MaxOutputTokens))
	setDefault(&config.MaxHistoryLimit, defaults.MaxHistoryLimit)
	setDefault(&config.DefaultHistoryLimit, min(defaults.DefaultHistoryLimit, config.MaxHistoryLimit))
	setDefault(&config.MaxWait, defaults.MaxWait)
	setDefault(&config.RouteBound, defaults.RouteBound)
	setDefault(&config.ReattachBound, defaults.ReattachBound)
	setDefault(&config.FirstEventBound, defaults.FirstEventBound)
	setDefault(&config.IdleBound, defaults.IdleBound)
	setDefault(&config.UnaryBound, defaults.UnaryBound)
	setDefault(&config.BackoffBase, defaults.BackoffBase)
	setDefault(&config.BackoffLimit, defaults.BackoffLimit)
	setDefault(&config.RetryAfter, defaults.RetryAfter)
	setDefault(&config.RedirectLimit, defaults.RedirectLimit)
	setDefault(&config.RetryRatio, defaults.RetryRatio)
	setDefault(&config.RetryBurst, defaults.RetryBurst)
	return config
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
