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
	// CallPath is the path that accepts a CallRequest and streams CallEvents.
	CallPath = "/internal/v1/call"
	// keepaliveInterval is the interval between empty events on an idle stream. They let a
	// gateway distinguish a slow call from a frozen process.
	keepaliveInterval = time.Second
)

// Handler serves the scheduler's internal HTTP interface.
func (scheduler *Scheduler) Handler() http.Handler {
	mux := http.NewServeMux()
	programs := schedulerv1.NewProgramsServer(scheduler)
	mux.Handle(programs.PathPrefix(), programs)
	peer := schedulerv1.NewPeerServer(scheduler)
	mux.Handle(peer.PathPrefix(), peer)
	mux.HandleFunc(CallPath, scheduler.serveCall)
	return mux
}

// serveCall streams one call. Once the request body is read, the status is always 200 and errors
// are sent as events.
func (scheduler *Scheduler) serveCall(writer http.ResponseWriter, request *http.Request) {
	callRequest := &schedulerv1.CallRequest{}
	body, err := io.ReadAll(request.Body)
	if err == nil {
		err = proto.Unmarshal(body, callRequest)
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	events := &eventWriter{writer: writer}
	if scheduler.receiver.Expired(request.Header, time.Since(scheduler.startedAt)) {
		events.fail(wireError(resultcode.New(resultcode.NoLeader, "the request was delayed in transit and has expired")))
		return
	}
	// The call may wait for escrow; keepalives prevent the gateway from timing out.
	answer, err := scheduler.loop.askWithKeepalive(request.Context(), func(replyTo ReplyID) Event {
		return CallRequested{ReplyTo: replyTo, Request: callRequest}
	}, events.keepalive)
	switch {
	case err != nil:
		events.fail(unavailable())
	case answer.failure != nil:
		events.fail(answer.failure)
	default:
		events.accept(answer.turn)
		follow(request.Context(), events, answer.buffer, callRequest.ResumeAfter)
	}
}

// follow relays the buffer's chunks after the given sequence number until the call ends or the
// client disconnects. If the buffer is abandoned, the stream ends without a final event.
func follow(ctx context.Context, events *eventWriter, buffer *stream.Buffer, after uint64) {
	idleTimer := time.NewTimer(keepaliveInterval)
	defer idleTimer.Stop()
	for {
		view, err := buffer.Next(ctx, idleTimer.C, after)
		idleTimer.Reset(keepaliveInterval)
		switch {
		case errors.Is(err, stream.ErrWaitTimeout):
			if events.keepalive() != nil {
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

func (events *eventWriter) keepalive() error {
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

// end writes the final event, if there is one, and reports whether the stream is complete.
func (events *eventWriter) end(view stream.View) bool {
	switch {
	case view.Finished != nil:
		events.write(&schedulerv1.CallEvent{Event: &schedulerv1.CallEvent_Finished{Finished: view.Finished}})
	case view.Failure != nil:
		events.fail(wireError(view.Failure))
	case !view.Abandoned:
		return false
	}
	events.flush()
	return true
}

func (events *eventWriter) fail(failure *schedulerv1.Error) {
	events.write(&schedulerv1.CallEvent{Event: &schedulerv1.CallEvent_Failed{Failed: failure}})
	events.flush()
}
