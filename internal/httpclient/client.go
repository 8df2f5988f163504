// Package httpclient makes the HTTP clients that magpielug's processes use
// among themselves and towards the platform.
package httpclient

import (
	"net"
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/resultcode"
)

// Defaults of Options.
const (
	DefaultDialTimeout     = 2 * time.Second
	DefaultIdleTimeout     = 60 * time.Second
	DefaultIdlePerAddress  = 64
	keepAliveProbeInterval = 5 * time.Second
)

// Options tunes a client; zero fields take their defaults.
type Options struct {
	// SourceAddress is the local IP address that connections come from; empty
	// leaves it to the system.
	SourceAddress string
	DialTimeout   time.Duration
	// HeaderTimeout bounds the wait for an answer's headers; 0 is no bound.
	HeaderTimeout time.Duration
	// Timeout bounds a whole exchange, body included; 0 is no bound, as
	// streams need.
	Timeout time.Duration
	// IdlePerAddress is the number of idle connections kept per address.
	IdlePerAddress int
	IdleTimeout    time.Duration
}

// New returns a client with its own connection pool. It takes no proxy from
// the environment and follows no redirect. A bad SourceAddress is a
// *resultcode.Error with code InvalidSettings.
func New(options Options) (*http.Client, error) {
	dialer := &net.Dialer{
		Timeout:   orDefault(options.DialTimeout, DefaultDialTimeout),
		KeepAlive: keepAliveProbeInterval,
	}
	if options.SourceAddress != "" {
		source := net.ParseIP(options.SourceAddress)
		if source == nil {
			return nil, resultcode.New(resultcode.InvalidSettings, "source address %q is not an IP address", options.SourceAddress)
		}
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	idlePerAddress := options.IdlePerAddress
	if idlePerAddress == 0 {
		idlePerAddress = DefaultIdlePerAddress
	}
	transport := &http.Transport{
		Proxy:                 nil,
		DialContext:           dialer.DialContext,
		MaxIdleConnsPerHost:   idlePerAddress,
		IdleConnTimeout:       orDefault(options.IdleTimeout, DefaultIdleTimeout),
		ResponseHeaderTimeout: options.HeaderTimeout,
		DisableCompression:    true,
	}
	client := &http.Client{
		Transport: transport,
		Timeout:   options.Timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return client, nil
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
