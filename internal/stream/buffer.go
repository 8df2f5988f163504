// Package stream holds the answer of one call while it is generated: one writer
// appends chunks, any number of readers follow from a sequence number of their
// own. Readers share the one copy, so a slow reader costs no memory.
package stream

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// Buffer is one call's answer, safe for concurrent use.
//
// Invariants: sequence numbers rise by one from 1; nothing is appended after
// the end; the end is set once.
type Buffer struct {
	mutex    sync.Mutex
	chunks   []*schedulerv1.Chunk
	changed  chan struct{}
	finished *schedulerv1.Finished
	failure  *resultcode.Error
	dropped  bool
}

// New returns an empty buffer.
func New() *Buffer {
	return &Buffer{changed: make(chan struct{})}
}

// Recorded returns a buffer that holds a whole recorded answer, cut where its
// chunks ended.
func Recorded(output string, chunkBytes []uint32, usage *schedulerv1.Usage, finishReason string) *Buffer {
	buffer := Begun(output, chunkBytes, usage.GetOutputTokens())
	buffer.Finish(finishReason, usage)
	return buffer
}

// Begun returns a buffer that holds the beginning of an answer. Its tokens are
// known as a sum only, which the last chunk carries.
func Begun(output string, chunkBytes []uint32, tokens uint32) *Buffer {
	buffer := New()
	rest := output
	for _, size := range chunkBytes {
		size = min(size, uint32(len(rest)))
		buffer.chunks = append(buffer.chunks, &schedulerv1.Chunk{
			Sequence: uint64(len(buffer.chunks) + 1),
			Text:     rest[:size],
		})
		rest = rest[size:]
	}
	if len(buffer.chunks) > 0 {
		buffer.chunks[len(buffer.chunks)-1].Tokens = tokens
	}
	return buffer
}

// Failed returns a buffer that ends with a failure at once.
func Failed(failure *resultcode.Error) *Buffer {
	buffer := New()
	buffer.Fail(failure)
	return buffer
}

// Append adds a chunk whose sequence number is the next; a chunk seen already
// changes nothing. It returns false for a gap or after the end.
func (buffer *Buffer) Append(sequence uint64, text string, tokens uint32) bool {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	next := uint64(len(buffer.chunks) + 1)
	if sequence < next {
		return true
	}
	if sequence > next || buffer.over() {
		return false
	}
	chunk := &schedulerv1.Chunk{Sequence: sequence, Text: text, Tokens: tokens}
	buffer.chunks = append(buffer.chunks, chunk)
	buffer.wake()
	return true
}

// Finish ends the buffer with a result.
func (buffer *Buffer) Finish(reason string, usage *schedulerv1.Usage) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	if buffer.over() {
		return
	}
	buffer.finished = &schedulerv1.Finished{
		FinishReason: reason,
		Usage:        usage,
		LastSequence: uint64(len(buffer.chunks)),
	}
	buffer.wake()
}

// Fail ends the buffer with an error.
func (buffer *Buffer) Fail(failure *resultcode.Error) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	if buffer.over() {
		return
	}
	buffer.failure = failure
	buffer.wake()
}

// Drop ends the buffer with no answer: this process no longer knows the call's
// fate, and its readers have to ask the shard's new leader.
func (buffer *Buffer) Drop() {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	if buffer.over() {
		return
	}
	buffer.dropped = true
	buffer.wake()
}

// LastSequence returns the number of the last chunk, 0 before the first.
func (buffer *Buffer) LastSequence() uint64 {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return uint64(len(buffer.chunks))
}

// Content returns the text so far and the bytes of each chunk.
func (buffer *Buffer) Content() (string, []uint32) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	var text strings.Builder
	sizes := make([]uint32, len(buffer.chunks))
	for index, chunk := range buffer.chunks {
		text.WriteString(chunk.Text)
		sizes[index] = uint32(len(chunk.Text))
	}
	return text.String(), sizes
}

// Tokens returns how many tokens the chunks hold.
func (buffer *Buffer) Tokens() uint32 {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	total := uint32(0)
	for _, chunk := range buffer.chunks {
		total += chunk.Tokens
	}
	return total
}

func (buffer *Buffer) over() bool {
	return buffer.finished != nil || buffer.failure != nil || buffer.dropped
}

func (buffer *Buffer) wake() {
	close(buffer.changed)
	buffer.changed = make(chan struct{})
}

// View is what a reader sees at one moment.
type View struct {
	// Chunks after the reader's sequence number, in order.
	Chunks []*schedulerv1.Chunk
	// Finished or Failure is set once the buffer has ended with an answer and
	// Chunks holds the rest of it.
	Finished *schedulerv1.Finished
	Failure  *resultcode.Error
	// Dropped is true once the buffer has ended with no answer.
	Dropped bool
}

// ErrQuiet is returned by Next where the wait has ended first.
var ErrQuiet = errors.New("nothing new in the stream")

// Next waits until there is something after the sequence number and returns it.
// It returns ErrQuiet once quiet is ready.
func (buffer *Buffer) Next(ctx context.Context, quiet <-chan time.Time, after uint64) (View, error) {
	for {
		view, changed, ready := buffer.view(after)
		if ready {
			return view, nil
		}
		select {
		case <-changed:
		case <-quiet:
			return View{}, ErrQuiet
		case <-ctx.Done():
			return View{}, ctx.Err()
		}
	}
}

// Look returns what there is after the sequence number now, without waiting.
func (buffer *Buffer) Look(after uint64) View {
	view, _, _ := buffer.view(after)
	return view
}

func (buffer *Buffer) view(after uint64) (View, <-chan struct{}, bool) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	view := View{Finished: buffer.finished, Failure: buffer.failure, Dropped: buffer.dropped}
	if after < uint64(len(buffer.chunks)) {
		view.Chunks = buffer.chunks[after:len(buffer.chunks):len(buffer.chunks)]
	}
	ready := len(view.Chunks) > 0 || buffer.over()
	return view, buffer.changed, ready
}
