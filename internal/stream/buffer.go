// Package stream buffers the output of one call while it is generated. One
// writer appends chunks; each reader follows from its own sequence number.
// Readers share the chunks, so a slow reader uses no extra memory.
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

// Buffer holds one call's output. It is safe for concurrent use.
//
// Invariants: sequence numbers are consecutive from 1; the buffer ends once,
// and nothing is appended after that.
type Buffer struct {
	mutex     sync.Mutex
	chunks    []*schedulerv1.Chunk
	changed   chan struct{}
	finished  *schedulerv1.Finished
	failure   *resultcode.Error
	abandoned bool
}

// New returns an empty buffer.
func New() *Buffer {
	return &Buffer{changed: make(chan struct{})}
}

// NewFinished returns a finished buffer with the output of a stored call, split
// at the stored chunk lengths.
func NewFinished(output string, chunkBytes []uint32, usage *schedulerv1.Usage, finishReason string) *Buffer {
	buffer := NewPartial(output, chunkBytes, usage.GetOutputTokens())
	buffer.Finish(finishReason, usage)
	return buffer
}

// NewPartial returns an open buffer with the first part of a call's output, split at
// the given chunk lengths. Only the total token count is known, so the last
// chunk carries all of it.
func NewPartial(output string, chunkBytes []uint32, tokens uint32) *Buffer {
	buffer := New()
	remaining := output
	for _, size := range chunkBytes {
		size = min(size, uint32(len(remaining)))
		buffer.chunks = append(buffer.chunks, &schedulerv1.Chunk{
			Sequence: uint64(len(buffer.chunks) + 1),
			Text:     remaining[:size],
		})
		remaining = remaining[size:]
	}
	if len(buffer.chunks) > 0 {
		buffer.chunks[len(buffer.chunks)-1].Tokens = tokens
	}
	return buffer
}

// NewFailed returns an empty buffer that has ended with failure.
func NewFailed(failure *resultcode.Error) *Buffer {
	buffer := New()
	buffer.Fail(failure)
	return buffer
}

// Append adds the chunk with the next sequence number and ignores a duplicate.
// It returns false if the chunk would leave a gap or the buffer has ended.
func (buffer *Buffer) Append(sequence uint64, text string, tokens uint32) bool {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	next := uint64(len(buffer.chunks) + 1)
	if sequence < next {
		return true
	}
	if sequence > next || buffer.ended() {
		return false
	}
	chunk := &schedulerv1.Chunk{Sequence: sequence, Text: text, Tokens: tokens}
	buffer.chunks = append(buffer.chunks, chunk)
	buffer.notifyReaders()
	return true
}

// Finish ends the buffer successfully. It has no effect on an ended buffer.
func (buffer *Buffer) Finish(reason string, usage *schedulerv1.Usage) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	if buffer.ended() {
		return
	}
	buffer.finished = &schedulerv1.Finished{
		FinishReason: reason,
		Usage:        usage,
		LastSequence: uint64(len(buffer.chunks)),
	}
	buffer.notifyReaders()
}

// Fail ends the buffer with an error. It has no effect on an ended buffer.
func (buffer *Buffer) Fail(failure *resultcode.Error) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	if buffer.ended() {
		return
	}
	buffer.failure = failure
	buffer.notifyReaders()
}

// Abandon ends the buffer without a result: this process no longer tracks the
// call, and readers must reattach at the shard's new leader. It has no effect
// on an ended buffer.
func (buffer *Buffer) Abandon() {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	if buffer.ended() {
		return
	}
	buffer.abandoned = true
	buffer.notifyReaders()
}

// LastSequence returns the sequence number of the last chunk, or 0 if there is
// none.
func (buffer *Buffer) LastSequence() uint64 {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	return uint64(len(buffer.chunks))
}

// Content returns the text so far and the length of each chunk in bytes.
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

// Tokens returns the total token count of the chunks.
func (buffer *Buffer) Tokens() uint32 {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	total := uint32(0)
	for _, chunk := range buffer.chunks {
		total += chunk.Tokens
	}
	return total
}

func (buffer *Buffer) ended() bool {
	return buffer.finished != nil || buffer.failure != nil || buffer.abandoned
}

func (buffer *Buffer) notifyReaders() {
	close(buffer.changed)
	buffer.changed = make(chan struct{})
}

// View is a reader's snapshot of a buffer.
type View struct {
	// Chunks are those after the reader's sequence number, in order.
	Chunks []*schedulerv1.Chunk
	// Finished or Failure is set once the buffer has ended with a result;
	// Chunks then holds all remaining chunks.
	Finished *schedulerv1.Finished
	Failure  *resultcode.Error
	// Abandoned is true once the buffer has ended without a result.
	Abandoned bool
}

// ErrWaitTimeout is returned by Next when its timeout fires first.
var ErrWaitTimeout = errors.New("timed out waiting for stream data")

// Next waits for chunks after the given sequence number or the buffer's end. It
// returns an error when timeout fires or ctx is done.
func (buffer *Buffer) Next(ctx context.Context, timeout <-chan time.Time, after uint64) (View, error) {
	for {
		view, changed, ready := buffer.view(after)
		if ready {
			return view, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return View{}, ErrWaitTimeout
		case <-ctx.Done():
			return View{}, ctx.Err()
		}
	}
}

// Peek returns the current view after the given sequence number without
// waiting.
func (buffer *Buffer) Peek(after uint64) View {
	view, _, _ := buffer.view(after)
	return view
}

func (buffer *Buffer) view(after uint64) (View, <-chan struct{}, bool) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	view := View{Finished: buffer.finished, Failure: buffer.failure, Abandoned: buffer.abandoned}
	if after < uint64(len(buffer.chunks)) {
		view.Chunks = buffer.chunks[after:len(buffer.chunks):len(buffer.chunks)]
	}
	ready := len(view.Chunks) > 0 || buffer.ended()
	return view, buffer.changed, ready
}
