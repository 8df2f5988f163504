// Package httpadapter implements the interfaces of package outside over HTTP and JSON, as
// specified in docs/INTERFACES.md. Errors are *Failure and wrap an error of package
// outside: ErrNotRun for a request that did not reach the back end or was rejected before
// any effect, ErrStaleFence (with ErrNotRun) for an outdated fence, and ErrOutcomeUnknown
// for everything else.
package httpadapter

import (
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/httpclient"
)

// Default values of Config.
const (
	defaultDialTimeout               = time.Second
	defaultRequestTimeout            = 5 * time.Second
	defaultToolTimeout               = 10 * time.Minute
	defaultStreamIdleTimeout         = 2 * time.Minute
	defaultMaxLineBytes              = 256 << 10
	defaultMaxResponseBytes          = 64 << 20
	defaultIdleConnectionsPerAddress = 256
)

// Config holds the timeouts and limits of the adapters. Numeric fields that are not
// positive take default values.
type Config struct {
	// SourceAddress is the local IP address of connections; empty means that the system
	// chooses it.
	SourceAddress string
	// DialTimeout bounds the establishment of a connection.
	DialTimeout time.Duration
	// RequestTimeout bounds every request except generations and tool calls, and the wait
	// for the response header of a generation.
	RequestTimeout time.Duration
	// ToolTimeout bounds a tool call.
	ToolTimeout time.Duration
	// StreamIdleTimeout bounds the wait for the next event of a generation.
	StreamIdleTimeout time.Duration
	// MaxLineBytes bounds the size of a line, and of an event's data, in a generation's
	// stream.
	MaxLineBytes int
	// MaxResponseBytes bounds the body of any other successful response.
	MaxResponseBytes int64
	// IdlePerAddress is the maximum number of idle connections per address.
	IdlePerAddress int
}

func (config Config) withDefaults() Config {
	config.DialTimeout = positiveOr(config.DialTimeout, defaultDialTimeout)
	config.RequestTimeout = positiveOr(config.RequestTimeout, defaultRequestTimeout)
	config.ToolTimeout = positiveOr(config.ToolTimeout, defaultToolTimeout)
	config.StreamIdleTimeout = positiveOr(config.StreamIdleTimeout, defaultStreamIdleTimeout)
	config.MaxLineBytes = positiveOr(config.MaxLineBytes, defaultMaxLineBytes)
	config.MaxResponseBytes = positiveOr(config.MaxResponseBytes, defaultMaxResponseBytes)
	config.IdlePerAddress = positiveOr(config.IdlePerAddress, defaultIdleConnectionsPerAddress)
	return config
}

func positiveOr[Number int | int64 | time.Duration](value, fallback Number) Number {
	if value > 0 {
		return value
	}
	return fallback
}

// Client is the HTTP client that the adapters share. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// NewClient returns a client. It fails only if SourceAddress is invalid.
func NewClient(config Config) (*Client, error) {
	config = config.withDefaults()
	pool, err := httpclient.New(httpclient.Options{
		SourceAddress:  config.SourceAddress,
		DialTimeout:    config.DialTimeout,
		MaxIdlePerHost: config.IdlePerAddress,
	})
	if err != nil {
		return nil, err
	}
	return &Client{config: config, http: pool}, nil
}

// Close closes the idle connections.
func (client *Client) Close() { client.http.CloseIdleConnections() }
