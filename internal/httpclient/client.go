// Package httpclient makes the HTTP clients that magpielug's processes use
// among themselves and towards the platform.
package httpclient

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/deadpeer"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Defaults of Options.
const (
	DefaultDialTimeout     = 2 * time.Second
	DefaultIdleTimeout     = 60 * time.Second
	DefaultIdlePerAddress  = 64
	keepAliveProbeInterval = 5 * time.Second
)

const (
	plainScheme  = "http"
	secureScheme = "https"
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
	// TLS, where set, is used for every exchange: an http URL is taken for an
	// https one, so that callers need not know. It is called for each new
	// connection, so that certificates can change.
	TLS func() *tls.Config
	// IdlePerAddress is the number of idle connections kept per address.
	IdlePerAddress int
	IdleTimeout    time.Duration
	// SilenceTimeout, where set, ends connections whose other machine has
	// acknowledged nothing for so long.
	SilenceTimeout time.Duration
}

// New returns a client with its own connection pool. It takes no proxy from
// the environment and follows no redirect. A bad SourceAddress is a
// *resultcode.Error with code InvalidSettings.
func New(options Options) (*http.Client, error) {
	dialer := &net.Dialer{
		Timeout:   orDefault(options.DialTimeout, DefaultDialTimeout),
		KeepAlive: keepAliveProbeInterval,
	}
	if options.SilenceTimeout > 0 {
		dialer = deadpeer.Dialer(dialer.Timeout, options.SilenceTimeout)
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
		Transport: secure(transport, dialer, options.TLS),
		Timeout:   options.Timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return client, nil
}

// secure makes every exchange of transport use TLS under config, if any.
func secure(transport *http.Transport, dialer *net.Dialer, config func() *tls.Config) http.RoundTripper {
	if config == nil {
		return transport
	}
	transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		secured := &tls.Dialer{NetDialer: dialer, Config: config()}
		return secured.DialContext(ctx, network, address)
	}
	return &securedTransport{transport: transport}
}

// securedTransport turns http URLs into https ones.
type securedTransport struct{ transport *http.Transport }

// RoundTrip implements http.RoundTripper.
func (secured *securedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Scheme == plainScheme {
		request = request.Clone(request.Context())
		request.URL.Scheme = secureScheme
	}
	return secured.transport.RoundTrip(request)
}

// CloseIdleConnections closes the connections that no exchange uses.
func (secured *securedTransport) CloseIdleConnections() { secured.transport.CloseIdleConnections() }

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
