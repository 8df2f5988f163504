package logging

import (
	"io"
	"sync/atomic"
)

// queuedLines is how many lines may wait for a reader of the log.
const queuedLines = 4096

// NonBlocking hands lines to a writer on a goroutine of its own and drops them
// where the writer does not keep up, so that logging never holds up a request.
type NonBlocking struct {
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed by Close. The lines' channel never is: goroutines that
	// outlast the end of their work may still write.
	closing chan struct{}
	done    chan struct{}
}

// NewNonBlocking returns a writer in front of output.
func NewNonBlocking(output io.Writer) *NonBlocking {
	writer := &NonBlocking{
		lines:   make(chan []byte, queuedLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go writer.run(output)
	return writer
}

func (writer *NonBlocking) run(output io.Writer) {
	defer close(writer.done)
	var batch []byte
	for {
		select {
		case line := <-writer.lines:
			batch = append(batch[:0], line...)
			batch = writer.takeWaiting(batch)
			_, _ = output.Write(batch)
		case <-writer.closing:
			writer.flush(output)
			return
		}
	}
}

// flush writes what waits.
func (writer *NonBlocking) flush(output io.Writer) {
	for {
		batch := writer.takeWaiting(nil)
		if len(batch) == 0 {
			return
		}
		_, _ = output.Write(batch)
	}
}

// batchBytes is how much is written at once, so that lines that wait cost one
// call of the system.
const batchBytes = 16 << 10

// takeWaiting adds what waits already.
func (writer *NonBlocking) takeWaiting(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line := <-writer.lines:
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Write implements io.Writer. It copies the line and never blocks.
func (writer *NonBlocking) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case writer.lines <- copied:
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped so far.
func (writer *NonBlocking) Dropped() int64 { return writer.dropped.Load() }

// Close writes what waits. What is written afterwards is lost. It must be called
// once.
func (writer *NonBlocking) Close() {
	close(writer.closing)
	<-writer.done
}
