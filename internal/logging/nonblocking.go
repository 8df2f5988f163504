package logging

import (
	"io"
	"sync/atomic"
)

// queueCapacity is the maximum number of lines waiting to be written.
const queueCapacity = 4096

// NonBlockingWriter is an io.Writer that queues lines for a background goroutine and
// drops them when the queue is full, so that logging never blocks a request.
type NonBlockingWriter struct {
	queue   chan []byte
	dropped atomic.Int64
	// closing is closed by Close. queue is never closed, because goroutines may
	// still write after Close.
	closing chan struct{}
	done    chan struct{}
}

// NewNonBlockingWriter returns a writer that forwards lines to output.
func NewNonBlockingWriter(output io.Writer) *NonBlockingWriter {
	writer := &NonBlockingWriter{
		queue:   make(chan []byte, queueCapacity),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go writer.run(output)
	return writer
}

func (writer *NonBlockingWriter) run(output io.Writer) {
	defer close(writer.done)
	var batch []byte
	for {
		select {
		case line := <-writer.queue:
			batch = append(batch[:0], line...)
			batch = writer.drainQueue(batch)
			_, _ = output.Write(batch)
		case <-writer.closing:
			writer.flush(output)
			return
		}
	}
}

// flush writes all queued lines.
func (writer *NonBlockingWriter) flush(output io.Writer) {
	for {
		batch := writer.drainQueue(nil)
		if len(batch) == 0 {
			return
		}
		_, _ = output.Write(batch)
	}
}

// maxBatchBytes is the size from which a batch takes no further line. Batching
// saves system calls.
const maxBatchBytes = 16 << 10

// drainQueue appends queued lines to batch, without blocking.
func (writer *NonBlockingWriter) drainQueue(batch []byte) []byte {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-writer.queue:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Write queues a copy of line. It never blocks and never returns an error.
func (writer *NonBlockingWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case writer.queue <- copied:
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (writer *NonBlockingWriter) Dropped() int64 { return writer.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Lines written
// afterwards are lost. It must be called only once.
func (writer *NonBlockingWriter) Close() {
	close(writer.closing)
	<-writer.done
}
