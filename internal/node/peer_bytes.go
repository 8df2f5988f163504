package node

import (
	"io"
	"net/http"
	"path"
)

// countingTransport counts the bytes of this node's calls of other nodes, by call and by the
// zone of the other node: what fills a link between zones shows in no other place.
func (node *Node) countingTransport(next http.RoundTripper) http.RoundTripper {
	return roundTrip(func(request *http.Request) (*http.Response, error) {
		call := path.Base(request.URL.Path)
		zone := node.members.zoneAt(request.URL.Host)
		node.meter.peerBytes(call, zone, max(request.ContentLength, 0))
		response, err := next.RoundTrip(request)
		if err != nil {
			return nil, err
		}
		response.Body = &countedBody{ReadCloser: response.Body, count: func(bytes int) { node.meter.peerBytes(call, zone, int64(bytes)) }}
		return response, nil
	})
}

// countedBody counts what is read of an answer.
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
