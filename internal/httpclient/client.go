// Package httpclient builds the HTTP clients that magpielug's processes use
// to reach each other and the platform.
package httpclient

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/deadpeer"
	"github.com/magpielug/magpielug/internal/responsehead"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Defaults for Options.
const (
	DefaultDialTimeout     = 2 * time.Second
	DefaultIdleTimeout     = 60 * time.Second
	DefaultMaxIdlePerHost  = 64
	keepAliveProbeInterval = 5 * time.Second
)

const (
	httpScheme  = "http"
	httpsScheme = "https"
)

// Options configures a client. Zero fields take their defaults.
type Options struct {
	// SourceAddress is the local IP address of outgoing connections. If empty,
	// the system chooses it.
	SourceAddress string
	DialTimeout   time.Duration
	// HeaderTimeout bounds the wait for the response headers; 0 means no bound.
	HeaderTimeout time.Duration
	// Timeout bounds the whole exchange, including the body; 0 means no bound, as
	// streaming responses require.
	Timeout time.Duration
	// TLS, if set, enables TLS for all requests, including those with an http URL.
	// It is called for each new connection, so that certificates can be rotated.
	TLS func() *tls.Config
	// MaxIdlePerHost is the maximum number of idle connections kept per host.
	MaxIdlePerHost int
	IdleTimeout    time.Duration
	// DeadPeerTimeout, if positive, closes connections whose peer has not
	// acknowledged sent data for this long.
	DeadPeerTimeout time.Duration
}

// New returns a client with its own connection pool. The client ignores proxy
// settings in the environment and does not follow redirects. An invalid
// SourceAddress is reported as a *resultcode.Error with code InvalidSettings.
func New(options Options) (*http.Client, error) {
	dialer := &net.Dialer{
		Timeout:   orDefault(options.DialTimeout, DefaultDialTimeout),
		KeepAlive: keepAliveProbeInterval,
	}
	if options.DeadPeerTimeout > 0 {
		dialer = deadpeer.Dialer(dialer.Timeout, options.DeadPeerTimeout)
	}
	if options.SourceAddress != "" {
		source := net.ParseIP(options.SourceAddress)
		if source == nil {
			return nil, resultcode.New(resultcode.InvalidSettings, "source address %q is not an IP address", options.SourceAddress)
		}
		dialer.LocalAddr = &net.TCPAddr{IP: source}
	}
	idlePerAddress := options.MaxIdlePerHost
	if idlePerAddress == 0 {
		idlePerAddress = DefaultMaxIdlePerHost
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
		Transport: &checkingTransport{base: withTLS(transport, dialer, options.TLS)},
		Timeout:   options.Timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return client, nil
}

// roundTripper is what an http.Client uses of its transport.
type roundTripper interface {
	http.RoundTripper
	CloseIdleConnections()
}

// checkingTransport returns an error for a response whose head has an invalid field name: the body may then not be what
// the server sent. The server has received the request.
type checkingTransport struct{ base roundTripper }

// RoundTrip implements http.RoundTripper.
func (transport *checkingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := transport.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	err = responsehead.CheckNames(response.Header)
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes idle connections; http.Client.CloseIdleConnections calls it.
func (transport *checkingTransport) CloseIdleConnections() { transport.base.CloseIdleConnections() }

// withTLS returns a round tripper that sends all requests over TLS, or transport
// itself if config is nil.
func withTLS(transport *http.Transport, dialer *net.Dialer, config func() *tls.Config) roundTripper {
	if config == nil {
		return transport
	}
	transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		tlsDialer := &tls.Dialer{NetDialer: dialer, Config: config()}
		return tlsDialer.DialContext(ctx, network, address)
	}
	return &httpsTransport{base: transport}
}

// httpsTransport sends requests for http URLs over https.
type httpsTransport struct{ base *http.Transport }

// RoundTrip implements http.RoundTripper.
func (transport *httpsTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Scheme == httpScheme {
		request = request.Clone(request.Context())
		request.URL.Scheme = httpsScheme
	}
	return transport.base.RoundTrip(request)
}

// CloseIdleConnections closes idle connections; http.Client.CloseIdleConnections calls it.
func (transport *httpsTransport) CloseIdleConnections() { transport.base.CloseIdleConnections() }

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}
