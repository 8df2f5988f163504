// Package responsehead finds malformed heads of HTTP responses that net/http accepts: it takes a blank in a field's
// name, joins a line that begins with a blank to the one before, and ends lines, and the head itself, at a bare line
// feed. A field in such a line is not found by its name, so that its line is passed on, or other bytes than the body
// are taken for it.
package responsehead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Errors of malformed heads.
var (
	// ErrFieldName means that the name of a field is not a token (RFC 9110, section 5.6.2).
	ErrFieldName = errors.New("malformed response head: invalid field name")
	// ErrFolded means that a line begins with a blank (RFC 9112, section 5.2).
	ErrFolded = errors.New("malformed response head: line begins with a blank")
	// ErrLineEnd means that some lines end with a bare line feed and others do not.
	ErrLineEnd = errors.New("malformed response head: line feed without carriage return")
	// ErrIncomplete means that the head has not ended.
	ErrIncomplete = errors.New("malformed response head: no end")
)

// CheckNames returns ErrFieldName if a name in a header that was received is not a token.
func CheckNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w %q", ErrFieldName, name)
		}
	}
	return nil
}

// position is where a Checker is in a head.
type position int

const (
	inStatusLine position = iota
	atLineStart
	inName
	inValue
	// inLastLine is behind the carriage return of the empty line that ends the head.
	inLastLine
	atEnd
)

// Checker checks the bytes of one head as they arrive. What it leaves to net/http, which reads the same bytes, are the
// status line and the values. The zero value is at the start of a head.
type Checker struct {
	position position
	// carriageReturn is true if the last byte of the current line is a carriage return.
	carriageReturn bool
	// bareLineFeeds is true if the status line ends with a bare line feed; all other lines must end like it.
	bareLineFeeds bool
	err           error
}

// Add checks the next bytes. Those behind the head are ignored.
func (checker *Checker) Add(part []byte) {
	for len(part) > 0 && checker.position != atEnd && checker.err == nil {
		part = part[checker.step(part):]
	}
}

// Err returns nil if a whole head was added that is well-formed.
func (checker *Checker) Err() error {
	if checker.err == nil && checker.position != atEnd {
		return ErrIncomplete
	}
	return checker.err
}

// step checks the first bytes of a part that is not empty, and returns their number.
func (checker *Checker) step(part []byte) int {
	switch checker.position {
	case inStatusLine, inValue:
		return checker.skipLine(part)
	case inName:
		return checker.checkName(part)
	case atLineStart:
		return checker.beginLine(part[0])
	}
	if part[0] != '\n' { // In the last line.
		checker.err = ErrFieldName
		return 1
	}
	checker.endLine(atEnd)
	return 1
}

// skipLine goes on behind the line feed, if there is one.
func (checker *Checker) skipLine(part []byte) int {
	lineFeed := bytes.IndexByte(part, '\n')
	if lineFeed < 0 {
		checker.carriageReturn = part[len(part)-1] == '\r'
		return len(part)
	}
	if lineFeed > 0 {
		checker.carriageReturn = part[lineFeed-1] == '\r'
	}
	if checker.position == inStatusLine {
		checker.bareLineFeeds = !checker.carriageReturn
	}
	checker.endLine(atLineStart)
	return lineFeed + 1
}

// beginLine returns 0 if the byte belongs to a name.
func (checker *Checker) beginLine(first byte) int {
	checker.carriageReturn = first == '\r'
	switch first {
	case ' ', '\t':
		checker.err = ErrFolded
	case ':':
		checker.err = ErrFieldName
	case '\r':
		checker.position = inLastLine
	case '\n':
		checker.endLine(atEnd)
	default:
		checker.position = inName
		return 0
	}
	return 1
}

func (checker *Checker) checkName(part []byte) int {
	for index, character := range part {
		if character == ':' {
			checker.position = inValue
			return index + 1
		}
		if !httpguts.IsTokenRune(rune(character)) {
			checker.err = ErrFieldName
			return index + 1
		}
	}
	return len(part)
}

// endLine goes on behind a line feed.
func (checker *Checker) endLine(following position) {
	if checker.carriageReturn == checker.bareLineFeeds {
		checker.err = ErrLineEnd
		return
	}
	checker.position = following
}
