package node

import (
	"net/http"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/egress"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/routing"
)

// listenerConfig describes one listening address.
type listenerConfig struct {
	address string
	handler http.Handler
	limits  httpserver.Limits
}

// listen opens the node's addresses, the callers' address last.
func (node *Node) listen() error {
	peerHandler := node.contact.handler(node.peerHandler())
	listeners := []listenerConfig{
		{node.settings.PeerAddress, peerHandler, httpserver.Limits{DrainGrace: node.settings.ShutdownTimeout}},
		{node.settings.MetricsAddress, node.metricsHandler(), httpserver.Limits{}},
		{node.settings.ReadinessAddress, http.HandlerFunc(node.serveReadiness), httpserver.Limits{DrainGrace: node.settings.ShutdownTimeout}},
		{node.settings.CallerAddress, node.dependencies.CallerHandler(node.service), node.callerLimits()},
	}
	if node.settings.ControlAddress != "" {
		listeners = append([]listenerConfig{{node.settings.ControlAddress, peerHandler, httpserver.Limits{DrainGrace: node.settings.ShutdownTimeout}}}, listeners...)
	}
	for _, listener := range listeners {
		if listener.address == "" {
			continue
		}
		server, err := httpserver.Start(listener.address, listener.handler, listener.limits)
		if err != nil {
			return err
		}
		node.servers = append(node.servers, server)
	}
	return nil
}

// peerHandler serves requests from other nodes.
func (node *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(egress.ExchangePath, node.egress)
	mux.Handle("/", nodev1.NewNodeServer(&peerServer{node: node}))
	return mux
}

func (node *Node) callerLimits() httpserver.Limits {
	return httpserver.Limits{
		MaxConnections:    node.settings.MaxConnections,
		DrainGrace:        drainDelay,
		MaxBodyBytes:      maxBodyBytes,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       callerIdleTimeout,
		RequestBytes:      node.bufferLimits.requests,
		ResponseBytes:     node.bufferLimits.unreadResponses,
		DisableKeepAlives: node.isolated,
	}
}

const (
	// maxBodyBytes and maxHeaderBytes bound callers' requests regardless of the configuration.
	maxBodyBytes   = 64 << 20
	maxHeaderBytes = 64 << 10
	// headerSlack is added to the configured header limit, since the configuration may count
	// header bytes differently.
	headerSlack = 1 << 10
	// callerIdleTimeout is how long a caller's connection may be idle before it is closed.
	callerIdleTimeout = 60 * time.Second
)

// applyCallerLimits applies the configured limits to the callers' server.
func (node *Node) applyCallerLimits(limits routing.Limits) {
	bounds := httpserver.AdjustableLimits{
		MaxBodyBytes:   limits.MaxBodyBytes,
		RequestTimeout: limits.HeaderTimeout + bodyTimeout,
		IdleTimeout:    limits.IdleTimeout,
	}
	if limits.MaxHeaderBytes > 0 {
		bounds.MaxHeaderBytes = limits.MaxHeaderBytes + headerSlack
	}
	node.servers[len(node.servers)-1].Adjust(bounds)
}

// bodyTimeout is how long reading a body may take in addition to the header timeout.
const bodyTimeout = 30 * time.Second
