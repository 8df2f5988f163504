package node

import (
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

// isolatedAfter is how long no peer may have been in contact before a node that the durable log
// does not answer either considers itself isolated.
const isolatedAfter = 900 * time.Millisecond

// peerContact records when a peer last answered or called this node. It is safe for concurrent
// use.
type peerContact struct {
	last atomicTime
}

func (contact *peerContact) record() { contact.last.set(time.Now()) }

// transport records responses from peers.
func (contact *peerContact) transport(next http.RoundTripper) http.RoundTripper {
	return roundTripperFunc(func(request *http.Request) (*http.Response, error) {
		response, err := next.RoundTrip(request)
		if err == nil {
			contact.record()
		}
		return response, err
	})
}

// handler records requests from peers.
func (contact *peerContact) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		contact.record()
		next.ServeHTTP(writer, request)
	})
}

// roundTripperFunc adapts a function to http.RoundTripper.
type roundTripperFunc func(request *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (roundTrip roundTripperFunc) RoundTrip(request *http.Request) (*http.Response, error) {
	return roundTrip(request)
}

// peersUnresponsive reports whether no peer has been in contact for longer than isolatedAfter.
func (node *Node) peersUnresponsive(now time.Time) bool {
	return node.ageExcludingFreeze(&node.contact.last, now) > isolatedAfter
}

// isolated reports whether this node, or its whole zone, reaches neither the durable log nor any
// other node that it knows of. An isolated node is not ready and does not let turns wait for
// replies that cannot come.
func (node *Node) isolated() bool {
	if node.zoneIsolated(time.Now()) {
		return true
	}
	return feature.Enabled(feature.Isolation) && node.logUnavailable() && node.peersUnresponsive(time.Now()) && len(node.members.activePeers(node.settings.Name)) > 0
}
