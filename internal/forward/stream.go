package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/history"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// eventBuffer is the read buffer of a stream of events, bytes.
	eventBuffer = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// event is one event of a stream.
type event struct {
	// raw is the event as the engine sent it, with the blank line behind it.
	raw []byte
	// data is what counts as said, and present where the event has data at all.
	data    []byte
	present bool
}

// eventReader takes a body of events apart.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBuffer)}
}

var dataField = []byte("data:")

// next returns the next whole event. It returns io.EOF after the last one, and
// io.ErrUnexpectedEOF where the body ends within one.
func (reader *eventReader) next() (event, error) {
	var read event
	for {
		line, err := reader.reader.ReadSlice('\n')
		read.raw = append(read.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(read.raw) < maxEventBytes {
			continue
		}
		if err != nil {
			return read, endOf(err, len(read.raw))
		}
		if isBlank(read.raw) {
			read.split()
			return read, nil
		}
		if len(read.raw) > maxEventBytes {
			return read, eris.New("an event is too long")
		}
	}
}

func endOf(err error, pending int) error {
	if errors.Is(err, io.EOF) && pending > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// isBlank tells whether the bytes end with a blank line.
func isBlank(raw []byte) bool {
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n")) ||
		string(raw) == "\n" || string(raw) == "\r\n"
}

// split gathers the event's data lines.
func (read *event) split() {
	for line := range bytes.Lines(read.raw) {
		if !bytes.HasPrefix(line, dataField) {
			continue
		}
		value := bytes.TrimRight(line[len(dataField):], "\r\n")
		value = bytes.TrimPrefix(value, []byte(" "))
		if read.present {
			read.data = append(read.data, '\n')
		}
		read.data = append(read.data, value...)
		read.present = true
	}
}

// relayStream passes events on as they come. The end of a kept turn's answer is
// held until the turn is recorded.
func (current *course) relayStream(ctx context.Context, reply *EngineResponse) (backend.Outcome, error) {
	reader := newEventReader(reply.Body)
	var said []byte
	for {
		current.awaiting = time.Now()
		read, err := reader.next()
		if errors.Is(err, io.EOF) {
			current.release(backend.Succeeded)
			current.streamed()
			return backend.Succeeded, current.endStream(ctx, reply, said)
		}
		if err != nil {
			return current.brokenStream(ctx, err)
		}
		if read.present {
			said = append(said, read.data...)
			said = append(said, '\n')
		}
		failure := current.passOn(reply, read)
		if failure != nil {
			return backend.Abandoned, failure
		}
	}
}

// passOn gives the caller one event.
func (current *course) passOn(reply *EngineResponse, read event) error {
	if !current.begun {
		current.begun = true
		current.heard()
		current.service.Meter.FirstEvent(time.Since(current.call.Received))
		err := current.answer.Begin(reply.Status, reply.Header)
		if err != nil {
			return errCallerGone
		}
	}
	if read.present {
		current.noteEvent(time.Now())
	}
	began := time.Now()
	err := current.answer.Write(read.raw)
	current.writing += time.Since(began)
	if err != nil {
		return errCallerGone
	}
	return nil
}

// noteEvent counts an event with data.
func (current *course) noteEvent(now time.Time) {
	current.events++
	if current.events == 1 {
		current.firstEvent = now
	}
	current.lastEvent = now
}

// brokenStream ends a stream that its engine broke off, or ceased to send.
func (current *course) brokenStream(ctx context.Context, err error) (backend.Outcome, error) {
	outcome := backend.Failed
	if current.via != "" {
		outcome = backend.FailedRemotely
	}
	if ctx.Err() != nil {
		if !current.begun || time.Since(current.awaiting) < leastSilence {
			outcome = backend.Abandoned
		}
		return outcome, current.timedOut(ctx)
	}
	current.service.Logger.Info("stream broken off", zap.String("request", current.call.ID),
		zap.String("engine", current.lastEngine), zap.Int64("events", current.events), logging.Cause(err))
	return outcome, current.outcomeUnknown()
}

// endStream completes the answer once nothing of it can be lost.
func (current *course) endStream(ctx context.Context, reply *EngineResponse, said []byte) error {
	if !current.begun {
		current.begun = true
		err := current.answer.Begin(reply.Status, reply.Header)
		if err != nil {
			return errCallerGone
		}
	}
	var turn *history.Turn
	if current.recorded() {
		turn = current.turn(said)
		began := time.Now()
		err := current.service.Programs.Record(ctx, turn)
		current.recordTook = time.Since(began)
		if err != nil {
			current.service.Logger.Warn("turn not recorded", zap.String("request", current.call.ID),
				zap.String("program", current.call.Program), logging.Cause(err))
			return resultcodeOfRecord(err)
		}
	}
	if current.reserved {
		current.settle(turn)
	}
	current.answer.End()
	return nil
}

func (current *course) turn(said []byte) *history.Turn {
	return &history.Turn{
		ID:         current.call.ID,
		Tenant:     current.call.Tenant,
		Program:    current.call.Program,
		PreviousID: current.call.Turn.Previous,
		Input:      current.call.Body,
		Output:     said,
		Ended:      time.Now(),
		Retention:  current.route.Retention,
		Zones:      current.zones,
	}
}

func resultcodeOfRecord(err error) error {
	return resultcode.New(resultcode.LogUnavailable, "the turn could not be recorded in time: %v", err)
}
