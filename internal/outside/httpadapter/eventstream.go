package httpadapter

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Errors of an event stream that exceeds its size limits or is malformed.
var (
	errLineTooLong  = errors.New("event stream line exceeds the size limit")
	errEventTooLong = errors.New("event data exceeds the size limit")
	errUnknownField = errors.New("unknown field in event stream")
)

// readBufferBytes is the size of a stream's read buffer. Longer lines are assembled in a
// separate buffer.
const readBufferBytes = 4 << 10

// serverEvent is one server-sent event. Its data is valid until the next event is read.
type serverEvent struct {
	name string
	data []byte
}

// eventReader decodes server-sent events (WHATWG HTML standard, section 9.2) with bounded
// memory. It ignores comments and the fields id and retry. Unlike the standard, it rejects
// unknown fields, because they indicate a malformed stream.
type eventReader struct {
	lines          *bufio.Reader
	limit          int
	data           []byte
	longLineBuffer []byte
}

// newEventReader returns a reader that limits each line, and the data of each event, to
// limit bytes.
func newEventReader(stream io.Reader, limit int) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(stream, readBufferBytes), limit: limit}
}

// next returns the next event that has data. At the end of the stream it returns io.EOF,
// or io.ErrUnexpectedEOF if the stream ends within an event.
func (reader *eventReader) next() (serverEvent, error) {
	name := ""
	hasData := false
	reader.data = reader.data[:0]
	for {
		line, err := reader.readLine()
		if err == io.EOF && hasData {
			return serverEvent{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return serverEvent{}, err
		}
		if len(line) == 0 {
			if hasData {
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
			if hasData {
				reader.data = append(reader.data, '\n')
			}
			hasData = true
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

// readLine returns the next line without its line ending, valid until the next call. A
// last line without a line ending is discarded with io.ErrUnexpectedEOF.
func (reader *eventReader) readLine() ([]byte, error) {
	line, err := reader.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = reader.readLongLine(line)
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

// readLongLine reads the rest of a line that is longer than the read buffer.
func (reader *eventReader) readLongLine(start []byte) ([]byte, error) {
	reader.longLineBuffer = append(reader.longLineBuffer[:0], start...)
	for {
		piece, err := reader.lines.ReadSlice('\n')
		reader.longLineBuffer = append(reader.longLineBuffer, piece...)
		if len(reader.longLineBuffer) > reader.limit {
			return nil, errLineTooLong
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return reader.longLineBuffer, err
		}
	}
}

// splitField splits "field: value"; the field of a comment is empty.
func splitField(line []byte) (field string, value []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	return string(name), bytes.TrimPrefix(value, []byte{' '})
}
