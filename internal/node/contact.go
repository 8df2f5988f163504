package node

import (
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/feature"
)

// isolatedAfter is how long no other node may have been heard before a node that
// the store does not answer either takes itself for cut off.
const isolatedAfter = 900 * time.Millisecond

// contact notes when other nodes were last heard, by their answers to this one or
// by their calls. It is safe for concurrent use.
type contact struct {
	heard moment
}

func (contact *contact) note() { contact.heard.set(time.Now()) }

// transport notes the answers that come to calls of other nodes.
func (contact *contact) transport(next http.RoundTripper) http.RoundTripper {
	return roundTrip(func(request *http.Request) (*http.Response, error) {
		response, err := next.RoundTrip(request)
		if err == nil {
			contact.note()
		}
		return response, err
	})
}

// handler notes the calls that other nodes make.
func (contact *contact) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		contact.note()
		next.ServeHTTP(writer, request)
	})
}

// roundTrip is a http.RoundTripper made of a function.
type roundTrip func(request *http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (trip roundTrip) RoundTrip(request *http.Request) (*http.Response, error) { return trip(request) }

// unheard tells whether no other node was heard for long.
func (node *Node) unheard(now time.Time) bool {
	return node.awakeAge(&node.contact.heard, now) > isolatedAfter
}

// isolated tells whether this node reaches neither the store nor another node,
// though it knows of some. Its callers are better off at any other node: it is not
// ready then, and does not let turns wait for what it can't ask.
func (node *Node) isolated() bool {
	if node.zoneCutOff(time.Now()) {
		return true
	}
	return feature.Enabled(feature.Isolation) && node.logAway() && node.unheard(time.Now()) && len(node.members.others(node.settings.Name)) > 0
}
