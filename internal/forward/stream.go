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
	// eventBufferBytes is the size of the read buffer for server-sent events.
	eventBufferBytes = 4 << 10
	// maxEventBytes is the size limit of one event.
	maxEventBytes = 1 << 20
	// maxTurnOutputBytes is the size limit of a turn that is to be recorded, which is held in memory until
	// then. No log takes a record of that size.
	maxTurnOutputBytes = 1 << 20
)

// event is a server-sent event.
type event struct {
	// raw is the event as the engine sent it, including the terminating blank line.
	raw []byte
	// data is the value of the data fields, hasData whether there is any.
	data    []byte
	hasData bool
}

// errTurnTooLong means that an engine's output is larger than a turn may be.
var errTurnTooLong = eris.New("turn exceeds the size limit")

// eventReader parses a body of server-sent events.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(body, eventBufferBytes)}
}

var dataField = []byte("data:")

// next returns the next complete event. It returns io.EOF after the last one, and
// io.ErrUnexpectedEOF if the body ends within an event.
func (reader *eventReader) next() (event, error) {
	var read event
	for {
		line, err := reader.reader.ReadSlice('\n')
		read.raw = append(read.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(read.raw) < maxEventBytes {
			continue
		}
		if err != nil {
			return read, readError(err, len(read.raw))
		}
		if endsWithBlankLine(read.raw) {
			read.parseData()
			return read, nil
		}
		if len(read.raw) > maxEventBytes {
			return read, eris.New("event exceeds the size limit")
		}
	}
}

// readError returns io.ErrUnexpectedEOF for an EOF within an event, otherwise err.
func readError(err error, pending int) error {
	if errors.Is(err, io.EOF) && pending > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

func endsWithBlankLine(raw []byte) bool {
	return bytes.HasSuffix(raw, []byte("\n\n")) || bytes.HasSuffix(raw, []byte("\n\r\n")) ||
		string(raw) == "\n" || string(raw) == "\r\n"
}

// parseData joins the values of the event's data fields.
func (read *event) parseData() {
	for line := range bytes.Lines(read.raw) {
		if !bytes.HasPrefix(line, dataField) {
			continue
		}
		value := bytes.TrimRight(line[len(dataField):], "\r\n")
		value = bytes.TrimPrefix(value, []byte(" "))
		if read.hasData {
			read.data = append(read.data, '\n')
		}
		read.data = append(read.data, value...)
		read.hasData = true
	}
}

// relayStream relays events as they arrive. If the turn must be recorded, the response ends only
// once it is.
func (inflight *inflightCall) relayStream(ctx context.Context, response *EngineResponse) (backend.Outcome, error) {
	reader := newEventReader(response.Body)
	var output []byte
	for {
		inflight.awaitingSince = time.Now()
		read, err := reader.next()
		if errors.Is(err, io.EOF) {
			inflight.releaseEngine(backend.Succeeded)
			inflight.streamCompleted()
			return backend.Succeeded, inflight.finishStream(ctx, response, output)
		}
		if err != nil {
			return inflight.interruptedStream(ctx, err)
		}
		if read.hasData && inflight.mustRecord() {
			output = append(output, read.data...)
			output = append(output, '\n')
		}
		if len(output) > maxTurnOutputBytes {
			return inflight.interruptedStream(ctx, errTurnTooLong)
		}
		failure := inflight.relayEvent(response, read)
		if failure != nil {
			return backend.Abandoned, failure
		}
	}
}

// relayEvent sends one event to the caller.
func (inflight *inflightCall) relayEvent(response *EngineResponse, read event) error {
	if !inflight.responseStarted {
		inflight.responseStarted = true
		inflight.firstByteReceived()
		inflight.service.Metrics.FirstEvent(time.Since(inflight.call.Received))
		err := inflight.writer.Begin(response.Status, response.Header)
		if err != nil {
			return errCallerCanceled
		}
	}
	if read.hasData {
		inflight.recordEvent(time.Now())
	}
	began := time.Now()
	err := inflight.writer.Write(read.raw)
	inflight.writeDuration += time.Since(began)
	if err != nil {
		return errCallerCanceled
	}
	return nil
}

func (inflight *inflightCall) recordEvent(now time.Time) {
	inflight.eventCount++
	if inflight.eventCount == 1 {
		inflight.firstEventAt = now
	}
	inflight.lastEventAt = now
}

// interruptedStream returns the outcome and the error of a stream that the engine broke off or
// stopped sending.
func (inflight *inflightCall) interruptedStream(ctx context.Context, err error) (backend.Outcome, error) {
	outcome := backend.Failed
	if inflight.via != "" {
		outcome = backend.FailedRemotely
	}
	if ctx.Err() != nil {
		if !inflight.responseStarted || time.Since(inflight.awaitingSince) < minFirstByteTimeout {
			outcome = backend.Abandoned
		}
		return outcome, inflight.timeoutError(ctx)
	}
	inflight.service.Logger.Info("stream interrupted", zap.String("request", inflight.call.ID),
		zap.String("engine", inflight.lastEngine), zap.Int64("events", inflight.eventCount), logging.ErrorField(err))
	return outcome, inflight.outcomeUnknownError()
}

// finishStream completes the response after recording the turn.
func (inflight *inflightCall) finishStream(ctx context.Context, response *EngineResponse, output []byte) error {
	if !inflight.responseStarted {
		inflight.responseStarted = true
		err := inflight.writer.Begin(response.Status, response.Header)
		if err != nil {
			return errCallerCanceled
		}
	}
	var turn *history.Turn
	if inflight.mustRecord() {
		turn = inflight.newTurn(output)
		began := time.Now()
		err := inflight.service.Programs.Record(ctx, turn)
		inflight.recordDuration = time.Since(began)
		if err != nil {
			inflight.service.Logger.Warn("turn not recorded", zap.String("request", inflight.call.ID),
				zap.String("program", inflight.call.Program), logging.ErrorField(err))
			return recordError(err)
		}
	}
	if inflight.reserved {
		inflight.settle(turn)
	}
	inflight.writer.End()
	return nil
}

func (inflight *inflightCall) newTurn(output []byte) *history.Turn {
	return &history.Turn{
		ID:         inflight.call.ID,
		Tenant:     inflight.call.Tenant,
		Program:    inflight.call.Program,
		PreviousID: inflight.call.Turn.Previous,
		Input:      inflight.call.Body,
		Output:     output,
		EndedAt:    time.Now(),
		Retention:  inflight.route.Retention,
		Zones:      inflight.zones,
	}
}

func recordError(err error) error {
	return resultcode.New(resultcode.LogUnavailable, "turn not recorded in time: %v", err)
}
