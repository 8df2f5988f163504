package httpadapter

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Errors of an event stream that breaks its bounds or its form.
var (
	errLineTooLong  = errors.New("line of the event stream too long")
	errEventTooLong = errors.New("event too long")
	errUnknownField = errors.New("unknown field in the event stream")
)

// readBuffer is the size of a stream's read buffer; longer lines are collected
// apart.
const readBuffer = 4 << 10

// serverEvent is one server-sent event. Its data is valid until the next one is
// read.
type serverEvent struct {
	name string
	data []byte
}

// eventReader decodes server-sent events (the field lines of the WHATWG HTML
// standard, section 9.2) with a bound on the bytes it holds. Comments, ids and
// retry fields are passed over. Other than the standard it refuses unknown
// fields: they show that a back end sends rubbish.
type eventReader struct {
	lines *bufio.Reader
	limit int
	data  []byte
	long  []byte
}

// newEventReader reads events whose lines and data are at most limit bytes.
func newEventReader(stream io.Reader, limit int) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(stream, readBuffer), limit: limit}
}

// next returns the next event that has data. At the end of the stream it
// returns io.EOF, or io.ErrUnexpectedEOF inside an event.
func (reader *eventReader) next() (serverEvent, error) {
	name := ""
	begun := false
	reader.data = reader.data[:0]
	for {
		line, err := reader.line()
		if err == io.EOF && begun {
			return serverEvent{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return serverEvent{}, err
		}
		if len(line) == 0 {
			if begun {
				return serverEvent{name: name, data: reader.data}, nil
			}
			name = ""
			continue
		}
		field, value := splitField(line)
		switch field {
		case "event":
			name = string(value)
		case "data":
			if begun {
				reader.data = append(reader.data, '\n')
			}
			begun = true
			reader.data = append(reader.data, value...)
			if len(reader.data) > reader.limit {
				return serverEvent{}, errEventTooLong
			}
		case "", "id", "retry":
		default:
			return serverEvent{}, errUnknownField
		}
	}
}

// line returns the next line without its end, valid until the next call; a last
// line without an end is the stream's cut and is dropped.
func (reader *eventReader) line() ([]byte, error) {
	line, err := reader.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = reader.longLine(line)
	}
	if err == io.EOF && len(line) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if len(line) > reader.limit {
		return nil, errLineTooLong
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte{'\r'}), nil
}

// longLine collects a line that is longer than the read buffer.
func (reader *eventReader) longLine(begin []byte) ([]byte, error) {
	reader.long = append(reader.long[:0], begin...)
	for {
		piece, err := reader.lines.ReadSlice('\n')
		reader.long = append(reader.long, piece...)
		if len(reader.long) > reader.limit {
			return nil, errLineTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return reader.long, err
		}
	}
}

// splitField splits "field: value"; the field of a comment is empty.
func splitField(line []byte) (field string, value []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	return string(name), bytes.TrimPrefix(value, []byte{' '})
}
