package node

import (
	"io"
	"net/http"
	"path"
)

// countingTransport counts requests to other nodes by call and outcome, and the bytes of requests
// and responses by call and the other node's zone.
func (node *Node) countingTransport(next http.RoundTripper) http.RoundTripper {
	return roundTripperFunc(func(request *http.Request) (*http.Response, error) {
		call := path.Base(request.URL.Path)
		zone := node.members.zoneOfAddress(request.URL.Host)
		node.meter.countPeerBytes(call, zone, max(request.ContentLength, 0))
		response, err := next.RoundTrip(request)
		node.meter.countPeerCall(call, err)
		if err != nil {
			return nil, err
		}
		response.Body = &countedBody{ReadCloser: response.Body, count: func(bytes int) { node.meter.countPeerBytes(call, zone, int64(bytes)) }}
		return response, nil
	})
}

// countedBody counts the bytes read from a response body.
type countedBody struct {
	io.ReadCloser
	count func(bytes int)
}

// Read implements io.Reader.
func (body *countedBody) Read(buffer []byte) (int, error) {
	read, err := body.ReadCloser.Read(buffer)
	if read > 0 {
		body.count(read)
	}
	return read, err
}
