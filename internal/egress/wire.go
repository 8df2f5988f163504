package egress

import (
	"encoding/binary"
	"io"
	"net/http"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

const (
	// lengthBytes is the size of the head's length.
	lengthBytes = 4
	// maxHead bounds an answer's head, bytes.
	maxHead = 1 << 20
)

func encodeRequest(attempt *forward.Attempt) ([]byte, error) {
	message := &nodev1.EgressRequest{
		Request:        attempt.Call.ID,
		Method:         attempt.Call.Method,
		Host:           attempt.Call.Host,
		Target:         attempt.Call.Target,
		Headers:        toHeaders(attempt.Call.Header),
		Body:           attempt.Body,
		Engine:         attempt.Engine.ID,
		RemainingMs:    attempt.Remaining.Milliseconds(),
		Streams:        attempt.Streaming,
		Urgency:        int32(attempt.Priority),
		MaxConnections: int32(attempt.MaxSharedConnections),
		Tenant:         attempt.Call.Tenant,
	}
	content, err := proto.Marshal(message)
	return content, eris.Wrap(err, "encode a request for an egress node")
}

func decodeRequest(content []byte) (*nodev1.EgressRequest, error) {
	message := &nodev1.EgressRequest{}
	err := proto.Unmarshal(content, message)
	return message, eris.Wrap(err, "decode a request for an egress node")
}

// attemptOf makes an attempt of a request that another node has handed over.
func attemptOf(message *nodev1.EgressRequest, engine backend.Instance) *forward.Attempt {
	return &forward.Attempt{
		Call: &forward.Call{
			ID:     message.Request,
			Method: message.Method,
			Host:   message.Host,
			Target: message.Target,
			Header: fromHeaders(message.Headers),
			Tenant: message.Tenant,
		},
		Engine:         engine,
		Body:           message.Body,
		Remaining:      time.Duration(message.RemainingMs) * time.Millisecond,
		Streaming:      message.Streams,
		Priority:       int(message.Urgency),
		MaxConnections: int(message.MaxConnections),
	}
}

func toHeaders(header http.Header) []*nodev1.Header {
	headers := make([]*nodev1.Header, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			headers = append(headers, &nodev1.Header{Name: name, Value: value})
		}
	}
	return headers
}

func fromHeaders(headers []*nodev1.Header) http.Header {
	header := make(http.Header, len(headers))
	for _, each := range headers {
		header[each.Name] = append(header[each.Name], each.Value)
	}
	return header
}

func writeHead(writer io.Writer, head *nodev1.EgressHead) error {
	content, err := proto.Marshal(head)
	if err != nil {
		return eris.Wrap(err, "encode an answer's head")
	}
	framed := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(content)), uint32(len(content)))
	_, err = writer.Write(append(framed, content...))
	return eris.Wrap(err, "write an answer's head")
}

func readHead(reader io.Reader) (*nodev1.EgressHead, error) {
	var length [lengthBytes]byte
	_, err := io.ReadFull(reader, length[:])
	if err != nil {
		return nil, eris.Wrap(err, "read an answer's head")
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxHead {
		return nil, eris.Errorf("an answer's head has %d bytes", size)
	}
	content := make([]byte, size)
	_, err = io.ReadFull(reader, content)
	if err != nil {
		return nil, eris.Wrap(err, "read an answer's head")
	}
	head := &nodev1.EgressHead{}
	err = proto.Unmarshal(content, head)
	return head, eris.Wrap(err, "decode an answer's head")
}
