package gateway

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// receiver consumes one call's stream on behalf of its caller.
type receiver interface {
	// chunk consumes the next chunk. Each chunk is delivered exactly once and
	// in order. An error ends the relay, but not the call.
	chunk(chunk *schedulerv1.Chunk) error
	// tryReset discards the chunks consumed so far and returns true, or returns
	// false if they have already been sent to the caller.
	tryReset() bool
}

// relay forwards one call's stream from the shard's leader to a receiver. It
// reattaches after leader changes and lost connections.
type relay struct {
	client   *schedulerClient
	request  *schedulerv1.CallRequest
	receiver receiver

	// resumed is true if the caller asked to resume an existing call.
	resumed bool
	// mayBeDelivered is true if a scheduler may have received the call and has
	// not reported it unknown since.
	mayBeDelivered bool
	// accepted is true once a scheduler has accepted the call.
	accepted    bool
	turn        uint32
	attachCount int
	// forwarded counts the chunks passed to the receiver.
	forwarded uint64
	// streamsWithoutProgress counts consecutive accepted streams without a new
	// chunk.
	streamsWithoutProgress int
}

// maxStreamsWithoutProgress limits the consecutive streams that a scheduler
// accepts and breaks without sending a new chunk.
const maxStreamsWithoutProgress = 10

// Errors of one attempt after which the relay reattaches to the call.
var (
	// errNotAccepted means that the scheduler was unreachable or does not lead
	// the shard. The lookup continues.
	errNotAccepted = errors.New("call not accepted by this scheduler")
	// errStreamInterrupted means that an accepted call's stream ended before
	// the call.
	errStreamInterrupted = errors.New("call stream interrupted")
	// errStreamGap means that the stream skipped a chunk.
	errStreamGap = errors.New("gap in the stream's sequence numbers")
)

// run relays the call to its end. It returns the call's result or the error to
// report to the caller.
func (relay *relay) run(ctx context.Context) (*schedulerv1.Finished, error) {
	relay.client.budget.deposit()
	lookup := relay.newLeaderLookup()
	for {
		address, err := lookup.nextAddress(ctx)
		if err != nil {
			return nil, relay.lookupError(err)
		}
		finished, err := relay.attach(ctx, lookup, address)
		switch {
		case err == nil:
			return finished, nil
		case !canReattach(err):
			return nil, err
		case ctx.Err() != nil:
			return nil, errCallerDisconnected
		case errors.Is(err, errNotAccepted):
			continue
		case relay.streamsWithoutProgress > maxStreamsWithoutProgress:
			return nil, relay.outcomeUnknown(err.Error())
		}
		lookup = relay.newLeaderLookup()
	}
}

func canReattach(err error) bool {
	return errors.Is(err, errNotAccepted) || errors.Is(err, errStreamInterrupted) || errors.Is(err, errStreamGap)
}

// newLeaderLookup starts a lookup that is limited by RouteBound until a
// scheduler has accepted the call, and by ReattachBound after that. After two
// or more streams without progress the lookup starts with a backoff.
func (relay *relay) newLeaderLookup() *leaderLookup {
	config := relay.client.config
	if !relay.accepted {
		return relay.client.newLeaderLookup(relay.request.ProgramId, config.RouteBound, false)
	}
	lookup := relay.client.newLeaderLookup(relay.request.ProgramId, config.ReattachBound, true)
	lookup.passes = max(relay.streamsWithoutProgress-1, 0)
	return lookup
}

// attach sends the call to one scheduler and relays the resulting stream.
func (relay *relay) attach(ctx context.Context, lookup *leaderLookup, address string) (*schedulerv1.Finished, error) {
	relay.prepareRequest()
	relay.attachCount++
	tracker := &deliveryTracker{}
	stream, err := relay.client.openCall(tracker.withTrace(ctx), address, relay.request)
	if err != nil {
		lookup.recordUnreachable(address)
		relay.mayBeDelivered = relay.mayBeDelivered || !tracker.notDelivered(err)
		return nil, errNotAccepted
	}
	defer stream.close()
	return relay.receive(lookup, address, stream)
}

// prepareRequest sets whether the next scheduler may run the call or only
// attach to it. A call that may have been delivered is not run again if it is
// not repeatable or if the caller already has part of its output.
func (relay *relay) prepareRequest() {
	if !relay.mayBeDelivered || relay.request.AttachOnly {
		return
	}
	hasChunks := relay.request.ResumeAfter > 0
	relay.request.AttachOnly = !relay.request.Repeatable || hasChunks
}

func (relay *relay) receive(lookup *leaderLookup, address string, stream *callStream) (*schedulerv1.Finished, error) {
	event := &schedulerv1.CallEvent{}
	acceptedHere := false
	for {
		proto.Reset(event)
		if err := stream.receive(event); err != nil {
			return nil, relay.handleInterruption(lookup, address, acceptedHere, stream.timedOut.Load())
		}
		if failed := event.GetFailed(); failed != nil {
			return nil, relay.handleError(lookup, address, failed, acceptedHere)
		}
		if event.Event == nil {
			// An event without content is a keepalive.
			continue
		}
		if !acceptedHere {
			acceptedHere = true
			relay.recordAccepted(lookup, address)
		}
		switch body := event.Event.(type) {
		case *schedulerv1.CallEvent_Accepted:
			relay.turn = body.Accepted.GetTurn()
		case *schedulerv1.CallEvent_Chunk:
			if err := relay.forwardChunk(body.Chunk); err != nil {
				return nil, err
			}
		case *schedulerv1.CallEvent_Finished:
			return relay.checkComplete(body.Finished)
		}
	}
}

// recordAccepted records that the scheduler leads the shard and has accepted
// the call.
func (relay *relay) recordAccepted(lookup *leaderLookup, address string) {
	lookup.recordLeader(address)
	lookup.bypassBudget = true
	lookup.deadline = relay.client.clock.Now().Add(relay.client.config.ReattachBound)
	relay.mayBeDelivered, relay.accepted = true, true
	relay.streamsWithoutProgress++
}

// handleInterruption handles a stream that ended before its call. A leader that
// merely timed out stays the first candidate, as the call may just be slow.
func (relay *relay) handleInterruption(lookup *leaderLookup, address string, acceptedHere, timedOut bool) error {
	relay.mayBeDelivered = true
	if !acceptedHere {
		lookup.recordUnreachable(address)
		return errNotAccepted
	}
	if timedOut {
		relay.streamsWithoutProgress = 0
	} else {
		lookup.recordUnreachable(address)
	}
	return errStreamInterrupted
}

// checkComplete returns the call's result if the receiver has every chunk.
func (relay *relay) checkComplete(finished *schedulerv1.Finished) (*schedulerv1.Finished, error) {
	last := finished.GetLastSequence()
	switch {
	case last == relay.request.ResumeAfter:
		return finished, nil
	case last < relay.request.ResumeAfter && relay.forwarded == 0:
		return nil, resultcode.New(resultcode.BadRequest, "after exceeds the last chunk's sequence number, %d", last)
	default:
		return nil, errStreamGap
	}
}

// forwardChunk passes a chunk to the receiver unless the receiver already has
// it.
func (relay *relay) forwardChunk(chunk *schedulerv1.Chunk) error {
	switch {
	case chunk.GetSequence() <= relay.request.ResumeAfter:
		return nil
	case chunk.GetSequence() > relay.request.ResumeAfter+1:
		return errStreamGap
	}
	if err := relay.receiver.chunk(chunk); err != nil {
		return err
	}
	relay.request.ResumeAfter = chunk.GetSequence()
	relay.forwarded++
	relay.streamsWithoutProgress = 0
	return nil
}

// handleError decides whether to try another scheduler after a scheduler's
// error, and otherwise returns the error to report to the caller.
func (relay *relay) handleError(lookup *leaderLookup, address string, failure *schedulerv1.Error, acceptedHere bool) error {
	if lookup.handleNotLeader(address, failure) {
		return errNotAccepted
	}
	lookup.recordLeader(address)
	sentBefore := relay.mayHaveRun() && !acceptedHere
	switch {
	case sentBefore && relay.request.AttachOnly && isUnknownCall(failure):
		return relay.handleUnknownCall()
	case sentBefore && isUncommitted(failure):
		return relay.outcomeUnknown(failure.GetMessage())
	default:
		return convertSchedulerError(failure)
	}
}

// isUnknownCall reports whether the leader has no record of the call.
func isUnknownCall(failure *schedulerv1.Error) bool {
	code := resultcode.Code(failure.GetCode())
	return code == resultcode.UnknownRequest || code == resultcode.UnknownProgram
}

// isUncommitted reports whether the rejection applies to this request only.
// Schedulers commit all other rejections, which then hold for every request
// with the same id; an uncommitted one says nothing about an earlier request.
func isUncommitted(failure *schedulerv1.Error) bool {
	switch resultcode.Code(failure.GetCode()) {
	case resultcode.BadKey, resultcode.UnknownProgram, resultcode.ConfigurationStale, resultcode.ArchiveBacklogFull:
		return true
	default:
		return false
	}
}

// mayHaveRun reports whether the call may have run as a result of this request.
// A request to resume never starts a call.
func (relay *relay) mayHaveRun() bool {
	return relay.accepted || (relay.mayBeDelivered && !relay.resumed)
}

// handleUnknownCall handles a leader that has no record of a call that was sent
// before. The call runs again if it is repeatable and its output can be
// discarded.
func (relay *relay) handleUnknownCall() error {
	if !relay.request.Repeatable || !relay.receiver.tryReset() {
		return relay.outcomeUnknown("the scheduler has no record of the call")
	}
	relay.request.ResumeAfter = 0
	relay.forwarded = 0
	relay.request.AttachOnly = false
	relay.mayBeDelivered = false
	return errNotAccepted
}

// lookupError returns the error to report when no leader was found.
func (relay *relay) lookupError(err error) error {
	var failure *resultcode.Error
	if !relay.mayHaveRun() || !errors.As(err, &failure) {
		return err
	}
	return relay.outcomeUnknown(failure.Message)
}

// outcomeUnknown returns the error for a call that may have run. It must not be
// reported as not run.
func (relay *relay) outcomeUnknown(cause string) error {
	failure := resultcode.New(resultcode.OutcomeUnknown,
		"%s; the call may have run: resume its stream or retry with the same request id to learn its outcome", cause)
	return failure.WithRetryAfter(relay.client.config.RetryAfter)
}
