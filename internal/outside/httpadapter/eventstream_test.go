package httpadapter

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const testLineLimit = 64

// readEvents decodes a stream up to its end or an error.
func readEvents(stream string) (data []string, err error) {
	reader := newEventReader(strings.NewReader(stream), testLineLimit)
	for {
		event, err := reader.next()
		if err != nil {
			return data, err
		}
		data = append(data, event.name+"="+string(event.data))
	}
}

var _ = DescribeTable("Event stream",
	func(stream string, wanted []string, failure error) {
		data, err := readEvents(stream)
		Expect(err).To(MatchError(failure))
		Expect(data).To(Equal(wanted))
	},
	Entry("empty", "", nil, io.EOF),
	Entry("two events", "event: a\nid: 1\ndata: x\n\nevent: b\r\ndata:y\r\n\r\n", []string{"a=x", "b=y"}, io.EOF),
	Entry("comments", ": accepted\n\n: more\nevent: a\ndata: x\n\n", []string{"a=x"}, io.EOF),
	Entry("data of two lines", "data: x\ndata: y\n\n", []string{"=x\ny"}, io.EOF),
	Entry("name without data", "event: a\n\ndata: x\n\n", []string{"=x"}, io.EOF),
	Entry("truncated within an event", "event: a\ndata: x\n", nil, io.ErrUnexpectedEOF),
	Entry("truncated within a line", "event: a\ndata: x\n\ndata", []string{"a=x"}, io.ErrUnexpectedEOF),
	Entry("unknown field", "rubbish\n", nil, errUnknownField),
	Entry("long line", "data: "+strings.Repeat("x", testLineLimit)+"\n\n", nil, errLineTooLong),
	Entry("line longer than the buffer", "data: "+strings.Repeat("x", 3*readBufferBytes)+"\n\n", nil, errLineTooLong),
	Entry("endless line", strings.Repeat("x", 3*readBufferBytes), nil, errLineTooLong),
	Entry("long event", strings.Repeat("data: 0123456789\n", 10), nil, errEventTooLong),
)

var _ = It("Event stream accepts a line longer than its buffer within the limit", func() {
	long := strings.Repeat("x", 3*readBufferBytes)
	reader := newEventReader(strings.NewReader("data: "+long+"\n\n"), 4*readBufferBytes)
	event, err := reader.next()
	Expect(err).NotTo(HaveOccurred())
	Expect(string(event.data)).To(Equal(long))
})

// FuzzEventReader checks for panics, endless loops and events above the size limit.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("event: chunk\nid: 1\ndata: {\"sequence\":1}\n\n"))
	f.Add([]byte(": accepted\n\nevent: error\r\ndata:{}\r\n\r\n"))
	f.Add([]byte("\x00\xff{\"sequence\":\"x\nevent: \n\n:::{]"))
	f.Add([]byte("data: a\ndata\ndata:\n\n\n\nid"))
	f.Add(bytes.Repeat([]byte("data: 0123456789\n"), 10))
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := newEventReader(bytes.NewReader(stream), testLineLimit)
		for events := 0; ; events++ {
			event, err := reader.next()
			if err != nil {
				checkStreamEnd(t, err)
				return
			}
			if len(event.data) > testLineLimit || events > len(stream) {
				t.Fatalf("event %d of %d bytes", events, len(event.data))
			}
		}
	})
}

// FuzzGeneration checks for panics, out-of-order chunks and untyped errors.
func FuzzGeneration(f *testing.F) {
	f.Add([]byte("event: chunk\ndata: {\"sequence\":1,\"text\":\"a\",\"tokens\":1}\n\nevent: chunk\ndata: {\"sequence\":2,\"finish\":\"stop\"}\n\n"))
	f.Add([]byte("event: error\ndata: {\"code\":\"x\",\"not_run\":true}\n\n"))
	f.Add([]byte("event: chunk\ndata: {\"sequence\":-1}\n\n"))
	f.Add([]byte("event: chunk\ndata: []\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		sequences, err := readGeneration(body, 0)
		for index, sequence := range sequences {
			if sequence != uint64(index)+1 {
				t.Fatalf("out-of-order chunks %v", sequences)
			}
		}
		var failure *Failure
		if err != nil && !errors.As(err, &failure) {
			t.Fatalf("error is not a *Failure: %v", err)
		}
	})
}

func checkStreamEnd(t *testing.T, err error) {
	for _, known := range []error{io.EOF, io.ErrUnexpectedEOF, errLineTooLong, errEventTooLong, errUnknownField} {
		if err == known {
			return
		}
	}
	t.Fatalf("unexpected error %v", err)
}
