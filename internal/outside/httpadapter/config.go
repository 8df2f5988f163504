// Package httpadapter implements the interfaces of package platform over HTTP
// and JSON, as docs/INTERFACES.md declares. Every failure is a *Failure whose
// kind is one of the platform package's errors: a request that never reached
// the back end, or was refused before any effect, is ErrNotRun; an older fence
// is ErrStaleFence; everything else is ErrOutcomeUnknown.
package httpadapter

import (
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/httpclient"
)

// Defaults of Config.
const (
	defaultDialTimeout       = time.Second
	defaultOrderTimeout      = 5 * time.Second
	defaultToolTimeout       = 10 * time.Minute
	defaultStreamIdleTimeout = 2 * time.Minute
	defaultMaxLineBytes      = 256 << 10
	defaultMaxAnswerBytes    = 64 << 20
	defaultIdlePerAddress    = 256
)

// Config bounds what the adapters wait for and hold. Zero fields take
// defaults.
type Config struct {
	// SourceAddress is the local IP address that connections come from; empty
	// leaves it to the system.
	SourceAddress string
	// DialTimeout bounds the connecting.
	DialTimeout time.Duration
	// OrderTimeout bounds every exchange but generations and tool calls, and
	// the wait for a generation's acceptance.
	OrderTimeout time.Duration
	// ToolTimeout bounds a tool call whose context has no earlier deadline.
	ToolTimeout time.Duration
	// StreamIdleTimeout bounds the wait for a generation's next line.
	StreamIdleTimeout time.Duration
	// MaxLineBytes bounds one line and one event of a generation's stream.
	MaxLineBytes int
	// MaxAnswerBytes bounds the body of any other answer.
	MaxAnswerBytes int64
	// IdlePerAddress is how many idle connections are kept to one back end.
	IdlePerAddress int
}

func (config Config) withDefaults() Config {
	config.DialTimeout = positive(config.DialTimeout, defaultDialTimeout)
	config.OrderTimeout = positive(config.OrderTimeout, defaultOrderTimeout)
	config.ToolTimeout = positive(config.ToolTimeout, defaultToolTimeout)
	config.StreamIdleTimeout = positive(config.StreamIdleTimeout, defaultStreamIdleTimeout)
	config.MaxLineBytes = positive(config.MaxLineBytes, defaultMaxLineBytes)
	config.MaxAnswerBytes = positive(config.MaxAnswerBytes, defaultMaxAnswerBytes)
	config.IdlePerAddress = positive(config.IdlePerAddress, defaultIdlePerAddress)
	return config
}

func positive[Number int | int64 | time.Duration](value, fallback Number) Number {
	if value > 0 {
		return value
	}
	return fallback
}

// Client is the connection pool that the adapters share. It is safe for
// concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// NewClient makes a pool; a bad SourceAddress is its only error.
func NewClient(config Config) (*Client, error) {
	config = config.withDefaults()
	pool, err := httpclient.New(httpclient.Options{
		SourceAddress:  config.SourceAddress,
		DialTimeout:    config.DialTimeout,
		IdlePerAddress: config.IdlePerAddress,
	})
	if err != nil {
		return nil, err
	}
	return &Client{config: config, http: pool}, nil
}

// Close closes the idle connections.
func (client *Client) Close() { client.http.CloseIdleConnections() }
