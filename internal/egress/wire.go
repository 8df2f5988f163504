package egress

import (
	"encoding/binary"
	"io"
	"net/http"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/quarantine"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

const (
	// headLengthBytes is the size of the length prefix of a response head.
	headLengthBytes = 4
	// maxHeadBytes is the largest response head that is accepted.
	maxHeadBytes = 1 << 20
)

func encodeRequest(attempt *forward.Attempt) ([]byte, error) {
	message := &nodev1.EgressRequest{
		Request:        attempt.Call.ID,
		Method:         attempt.Call.Method,
		Host:           attempt.Call.Host,
		Target:         attempt.Call.Target,
		Headers:        headersToProto(attempt.Call.Header),
		Body:           attempt.Body,
		Engine:         attempt.Engine.ID,
		RemainingMs:    attempt.Remaining.Milliseconds(),
		Streams:        attempt.Streaming,
		Urgency:        int32(attempt.Priority),
		MaxConnections: int32(attempt.MaxSharedConnections),
		Tenant:         attempt.Call.Tenant,
		RequestHash:    attempt.Identity.Request[:],
		ContentHash:    attempt.Identity.Content[:],
	}
	content, err := proto.Marshal(message)
	return content, eris.Wrap(err, "encode egress request")
}

func decodeRequest(content []byte) (*nodev1.EgressRequest, error) {
	message := &nodev1.EgressRequest{}
	err := proto.Unmarshal(content, message)
	return message, eris.Wrap(err, "decode egress request")
}

// newAttempt returns the attempt for a delegated request.
func newAttempt(message *nodev1.EgressRequest, engine backend.Instance) *forward.Attempt {
	return &forward.Attempt{
		Call: &forward.Call{
			ID:     message.Request,
			Method: message.Method,
			Host:   message.Host,
			Target: message.Target,
			Header: headersFromProto(message.Headers),
			Tenant: message.Tenant,
		},
		Engine:         engine,
		Identity:       quarantine.Identity{Request: fingerprintFromProto(message.RequestHash), Content: fingerprintFromProto(message.ContentHash)},
		Body:           message.Body,
		Remaining:      time.Duration(message.RemainingMs) * time.Millisecond,
		Streaming:      message.Streams,
		Priority:       int(message.Urgency),
		MaxConnections: int(message.MaxConnections),
	}
}

// fingerprintFromProto decodes a fingerprint, the zero value if there is none.
func fingerprintFromProto(hash []byte) quarantine.Fingerprint {
	if len(hash) != len(quarantine.Fingerprint{}) {
		return quarantine.Fingerprint{}
	}
	return quarantine.Fingerprint(hash)
}

func headersToProto(header http.Header) []*nodev1.Header {
	headers := make([]*nodev1.Header, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			headers = append(headers, &nodev1.Header{Name: name, Value: []byte(value)})
		}
	}
	return headers
}

func headersFromProto(headers []*nodev1.Header) http.Header {
	header := make(http.Header, len(headers))
	for _, entry := range headers {
		header[entry.Name] = append(header[entry.Name], string(entry.Value))
	}
	return header
}

func writeHead(writer io.Writer, head *nodev1.EgressHead) error {
	content, err := proto.Marshal(head)
	if err != nil {
		return eris.Wrap(err, "encode response head")
	}
	framed := binary.BigEndian.AppendUint32(make([]byte, 0, headLengthBytes+len(content)), uint32(len(content)))
	_, err = writer.Write(append(framed, content...))
	return eris.Wrap(err, "write response head")
}

func readHead(reader io.Reader) (*nodev1.EgressHead, error) {
	var length [headLengthBytes]byte
	_, err := io.ReadFull(reader, length[:])
	if err != nil {
		return nil, eris.Wrap(err, "read response head")
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxHeadBytes {
		return nil, eris.Errorf("response head too large: %d bytes", size)
	}
	content := make([]byte, size)
	_, err = io.ReadFull(reader, content)
	if err != nil {
		return nil, eris.Wrap(err, "read response head")
	}
	head := &nodev1.EgressHead{}
	err = proto.Unmarshal(content, head)
	return head, eris.Wrap(err, "decode response head")
}
