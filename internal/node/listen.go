package node

import (
	"net/http"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/egress"
	"github.com/magpielug/magpielug/internal/httpserver"
	"github.com/magpielug/magpielug/internal/routing"
)

// listenerSettings is one address to listen on.
type listenerSettings struct {
	address string
	handler http.Handler
	limits  httpserver.Limits
}

// listen opens the node's addresses, the callers' last.
func (node *Node) listen() error {
	peerHandler := node.contact.handler(node.peerHandler())
	listeners := []listenerSettings{
		{node.settings.PeerAddress, peerHandler, httpserver.Limits{DrainGrace: node.settings.ShutdownTimeout}},
		{node.settings.MetricsAddress, node.metricsHandler(), httpserver.Limits{}},
		{node.settings.ReadinessAddress, http.HandlerFunc(node.answerReadiness), httpserver.Limits{DrainGrace: node.settings.ShutdownTimeout}},
		{node.settings.CallerAddress, node.around.CallerHandler(node.service), node.callerLimits()},
	}
	if node.settings.ControlAddress != "" {
		listeners = append([]listenerSettings{{node.settings.ControlAddress, peerHandler, httpserver.Limits{DrainGrace: node.settings.ShutdownTimeout}}}, listeners...)
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

// peerHandler serves the other nodes.
func (node *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(egress.ExchangePath, node.egress)
	mux.Handle("/", nodev1.NewNodeServer(&peerServer{node: node}))
	return mux
}

func (node *Node) callerLimits() httpserver.Limits {
	return httpserver.Limits{
		MaxConnections: node.settings.MaxConnections,
		DrainGrace:     drainNotice,
		MaxBodyBytes:   maxBodyBytes,
		MaxHeaderBytes: maxHeaderBytes,
		IdleTimeout:    callerIdleTimeout,
		Sent:           node.held.sent,
		Unread:         node.held.unread,
		TurnAway:       node.isolated,
	}
}

const (
	// maxBodyBytes and maxHeaderBytes bound callers' requests whatever the
	// configuration says.
	maxBodyBytes   = 64 << 20
	maxHeaderBytes = 64 << 10
	// headerSlack is added to the configuration's bound, which may be counted in
	// another way.
	headerSlack = 1 << 10
	// callerIdleTimeout closes callers' quiet connections.
	callerIdleTimeout = 60 * time.Second
)

// adjustCallers puts the configuration's bounds in force.
func (node *Node) adjustCallers(limits routing.Limits) {
	bounds := httpserver.Bounds{
		MaxBodyBytes:   limits.MaxBodyBytes,
		RequestTimeout: limits.HeaderTimeout + bodyTimeout,
		IdleTimeout:    limits.IdleTimeout,
	}
	if limits.MaxHeaderBytes > 0 {
		bounds.MaxHeaderBytes = limits.MaxHeaderBytes + headerSlack
	}
	node.servers[len(node.servers)-1].Adjust(bounds)
}

// bodyTimeout is how long a body may take beyond the bound of the headers.
const bodyTimeout = 30 * time.Second
