package rawengine

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
)

// Form is how the answer of CutAnswer is framed.
type Form string

// Forms. Those that begin with "stream" are streams of two events.
const (
	LengthFirst    Form = "length_first"
	LengthLast     Form = "length_last"
	Chunked        Form = "chunked"
	ChunkedTrailer Form = "chunked_trailer"
	BareLineFeeds  Form = "bare_line_feeds"
	StreamChunked  Form = "stream_chunked"
	StreamLength   Form = "stream_length"
	StreamTrailer  Form = "stream_trailer"
)

// Forms holds all forms.
var Forms = []Form{LengthFirst, LengthLast, Chunked, ChunkedTrailer, BareLineFeeds, StreamChunked, StreamLength, StreamTrailer}

// IsStream reports whether the answer is a stream.
func (form Form) IsStream() bool { return strings.HasPrefix(string(form), "stream") }

// Target returns the path and query of a request that is answered in a form, cut after a number of bytes.
func (form Form) Target(prefix string, cut int) string {
	return fmt.Sprintf("%s%s?form=%s&cut=%d", prefix, Mark, form, cut)
}

// Body returns the body of the whole answer to a request.
func (form Form) Body(id string) string {
	if form.IsStream() {
		return "id: 1\ndata: first of " + id + "\n\nid: 2\ndata: second of " + id + "\n\n"
	}
	return "answer to " + id
}

// Answer returns the whole answer to a request as it is sent.
func (form Form) Answer(id string) string {
	identity := "Request-Id: " + id + "\r\nResponse-Stamp: stamp\r\n"
	body := form.Body(id)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	half := len(body) / 2
	chunks := fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n", half, body[:half], len(body)-half, body[half:])
	success, events := "HTTP/1.1 200 OK\r\n", "Content-Type: text/event-stream\r\n"
	switch form {
	case LengthFirst:
		return success + length + identity + "\r\n" + body
	case LengthLast:
		return success + identity + length + "\r\n" + body
	case Chunked:
		return success + identity + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"
	case ChunkedTrailer:
		return success + identity + "Transfer-Encoding: chunked\r\nTrailer: Digest\r\n\r\n" + chunks + "Digest: abcdef\r\n\r\n"
	case BareLineFeeds:
		return strings.ReplaceAll(success+identity+length+"\r\n", "\r\n", "\n") + body
	case StreamChunked:
		return success + identity + events + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "\r\n"
	case StreamLength:
		return success + identity + events + length + "\r\n" + body
	case StreamTrailer:
		return success + identity + events + "Transfer-Encoding: chunked\r\nTrailer: Digest\r\n\r\n" + chunks + "Digest: abcdef\r\n\r\n"
	}
	return ""
}

// cutAnswer returns the bytes of an answer up to the cut that a target names.
func cutAnswer(id string, query url.Values) string {
	answer := Form(query.Get("form")).Answer(id)
	cut, err := strconv.Atoi(query.Get("cut"))
	if err != nil {
		return answer
	}
	return answer[:min(cut, len(answer))]
}
