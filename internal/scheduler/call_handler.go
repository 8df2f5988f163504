package scheduler

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/magpielug/magpielug/internal/stream"
)

const (
	// CallPath takes a CallRequest and streams CallEvents.
	CallPath = "/internal/v1/call"
	// aliveInterval is how often a stream with nothing to say sends an empty
	// event, so that a gateway can tell a quiet call from a frozen process.
	aliveInterval = time.Second
)

// Handler serves the schedulers' whole internal interface.
func (scheduler *Scheduler) Handler() http.Handler {
	mux := http.NewServeMux()
	programs := schedulerv1.NewProgramsServer(scheduler)
	mux.Handle(programs.PathPrefix(), programs)
	peer := schedulerv1.NewPeerServer(scheduler)
	mux.Handle(peer.PathPrefix(), peer)
	mux.HandleFunc(CallPath, scheduler.serveCall)
	return mux
}

// serveCall streams one call. Errors are events: the status is always 200 once
// the body could be read.
func (scheduler *Scheduler) serveCall(writer http.ResponseWriter, request *http.Request) {
	asked := &schedulerv1.CallRequest{}
	body, err := io.ReadAll(request.Body)
	if err == nil {
		err = proto.Unmarshal(body, asked)
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	events := &eventWriter{writer: writer}
	if scheduler.arrivals.Expired(request.Header, time.Since(scheduler.begun)) {
		events.fail(wireError(resultcode.New(resultcode.NoLeader, "the request was held up on its way")))
		return
	}
	// A call may wait for escrow: the gateway must not take that for silence.
	answer, err := scheduler.loop.askWhile(request.Context(), func(ask AskID) Event {
		return CallAsked{Ask: ask, Request: asked}
	}, events.alive)
	switch {
	case err != nil:
		events.fail(unavailable())
	case answer.failure != nil:
		events.fail(answer.failure)
	default:
		events.accept(answer.turn)
		follow(request.Context(), events, answer.buffer, asked.ResumeAfter)
	}
}

// follow relays the buffer from the caller's sequence number on, until the end
// or until the caller is gone. A buffer that ends with no answer ends the
// stream with no final event.
func follow(ctx context.Context, events *eventWriter, buffer *stream.Buffer, after uint64) {
	quiet := time.NewTimer(aliveInterval)
	defer quiet.Stop()
	for {
		view, err := buffer.Next(ctx, quiet.C, after)
		quiet.Reset(aliveInterval)
		switch {
		case errors.Is(err, stream.ErrQuiet):
			if events.alive() != nil {
				return
			}
			continue
		case err != nil:
			return
		}
		if events.chunks(view.Chunks) != nil {
			return
		}
		after += uint64(len(view.Chunks))
		if events.end(view) {
			return
		}
	}
}

// eventWriter writes length-delimited events.
type eventWriter struct{ writer http.ResponseWriter }

func (events *eventWriter) write(event *schedulerv1.CallEvent) error {
	_, err := protodelim.MarshalTo(events.writer, event)
	return err
}

func (events *eventWriter) flush() error {
	return http.NewResponseController(events.writer).Flush()
}

func (events *eventWriter) accept(turn uint32) {
	events.write(&schedulerv1.CallEvent{Event: &schedulerv1.CallEvent_Accepted{
		Accepted: &schedulerv1.Accepted{Turn: turn},
	}})
	events.flush()
}

func (events *eventWriter) alive() error {
	if err := events.write(&schedulerv1.CallEvent{}); err != nil {
		return err
	}
	return events.flush()
}

func (events *eventWriter) chunks(chunks []*schedulerv1.Chunk) error {
	for _, chunk := range chunks {
		event := &schedulerv1.CallEvent{Event: &schedulerv1.CallEvent_Chunk{Chunk: chunk}}
		if err := events.write(event); err != nil {
			return err
		}
	}
	return events.flush()
}

// end writes the final event, if the view has one, and tells whether the
// stream is over.
func (events *eventWriter) end(view stream.View) bool {
	switch {
	case view.Finished != nil:
		events.write(&schedulerv1.CallEvent{Event: &schedulerv1.CallEvent_Finished{Finished: view.Finished}})
	case view.Failure != nil:
		events.fail(wireError(view.Failure))
	case !view.Dropped:
		return false
	}
	events.flush()
	return true
}

func (events *eventWriter) fail(failure *schedulerv1.Error) {
	events.write(&schedulerv1.CallEvent{Event: &schedulerv1.CallEvent_Failed{Failed: failure}})
	events.flush()
}
