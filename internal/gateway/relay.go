package gateway

import (
	"context"
	"errors"

	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// receiver takes one call's stream on behalf of its caller.
type receiver interface {
	// chunk takes the next chunk: each exactly once and in order. An error
	// ends the relay, not the call.
	chunk(chunk *schedulerv1.Chunk) error
	// canRestart reports whether chunks taken so far can be dropped, and if
	// so drops them.
	canRestart() bool
}

// relay carries one call from the shard's leader to its receiver, across
// leaders and lost connections.
type relay struct {
	client   *schedulerClient
	request  *schedulerv1.CallRequest
	receiver receiver

	// resumed is true for a caller's request to resume a call's stream.
	resumed bool
	// delivered is true once a scheduler may have taken the call and the
	// gateway has not been told otherwise.
	delivered bool
	// accepted is true once a scheduler has said so.
	accepted bool
	turn     uint32
	attaches int
	// taken counts the chunks passed on.
	taken uint64
	// fruitless counts the streams accepted in a row without a new chunk.
	fruitless int
}

// maxFruitlessStreams bounds the streams in a row that a scheduler accepted
// and that broke without a new chunk.
const maxFruitlessStreams = 10

// Errors of one attachment after which the call is to be attached to again.
var (
	// errNotTaken means that the scheduler was not reached or does not lead
	// the shard now: the search goes on.
	errNotTaken = errors.New("not taken by this scheduler")
	// errStreamBroken means that an accepted call's stream ended too early.
	errStreamBroken = errors.New("stream broken")
	// errStreamGap means that the stream skipped a chunk.
	errStreamGap = errors.New("gap in the stream's sequence numbers")
)

// run relays the call to its end. It returns the call's end, or the error to
// tell the caller.
func (relay *relay) run(ctx context.Context) (*schedulerv1.Finished, error) {
	relay.client.budget.deposit()
	search := relay.newSearch()
	for {
		address, err := search.next(ctx)
		if err != nil {
			return nil, relay.giveUp(err)
		}
		finished, err := relay.attach(ctx, search, address)
		switch {
		case err == nil:
			return finished, nil
		case !canAttachAgain(err):
			return nil, err
		case ctx.Err() != nil:
			return nil, errCallerGone
		case errors.Is(err, errNotTaken):
			continue
		case relay.fruitless > maxFruitlessStreams:
			return nil, relay.lost(err.Error())
		}
		search = relay.newSearch()
	}
}

func canAttachAgain(err error) bool {
	return errors.Is(err, errNotTaken) || errors.Is(err, errStreamBroken) || errors.Is(err, errStreamGap)
}

// newSearch begins the search for the leader: within the short bound while the
// call has not been accepted, and within the long one after. From the second
// fruitless stream in a row on it begins with a pause.
func (relay *relay) newSearch() *search {
	config := relay.client.config
	if !relay.accepted {
		return relay.client.newSearch(relay.request.ProgramId, config.RouteBound, false)
	}
	search := relay.client.newSearch(relay.request.ProgramId, config.ReattachBound, true)
	search.passes = max(relay.fruitless-1, 0)
	return search
}

// attach sends the call to one scheduler and relays what comes.
func (relay *relay) attach(ctx context.Context, search *search, address string) (*schedulerv1.Finished, error) {
	relay.prepare()
	relay.attaches++
	delivery := &delivery{}
	stream, err := relay.client.open(delivery.watch(ctx), address, relay.request)
	if err != nil {
		search.unreachable(address)
		relay.delivered = relay.delivered || !delivery.ruledOut(err)
		return nil, errNotTaken
	}
	defer stream.close()
	return relay.receive(search, address, stream)
}

// prepare sets how the next scheduler is to take the request. A call that may
// have been taken before is only attached to, never run anew, if it must run
// at most once or if the caller already holds a part of its answer.
func (relay *relay) prepare() {
	if !relay.delivered || relay.request.AttachOnly {
		return
	}
	holdsChunks := relay.request.ResumeAfter > 0
	relay.request.AttachOnly = !relay.request.Repeatable || holdsChunks
}

func (relay *relay) receive(search *search, address string, stream *callStream) (*schedulerv1.Finished, error) {
	event := &schedulerv1.CallEvent{}
	acceptedHere := false
	for {
		proto.Reset(event)
		if err := stream.receive(event); err != nil {
			return nil, relay.broken(search, address, acceptedHere, stream.silent.Load())
		}
		if failed := event.GetFailed(); failed != nil {
			return nil, relay.failed(search, address, failed, acceptedHere)
		}
		if event.Event == nil {
			// The scheduler only shows that it is alive.
			continue
		}
		if !acceptedHere {
			acceptedHere = true
			relay.acceptedBy(search, address)
		}
		switch body := event.Event.(type) {
		case *schedulerv1.CallEvent_Accepted:
			relay.turn = body.Accepted.GetTurn()
		case *schedulerv1.CallEvent_Chunk:
			if err := relay.take(body.Chunk); err != nil {
				return nil, err
			}
		case *schedulerv1.CallEvent_Finished:
			return relay.finished(body.Finished)
		}
	}
}

// acceptedBy notes that the scheduler leads the shard and has taken the call.
func (relay *relay) acceptedBy(search *search, address string) {
	search.found(address)
	search.free = true
	search.deadline = relay.client.clock.Now().Add(relay.client.config.ReattachBound)
	relay.delivered, relay.accepted = true, true
	relay.fruitless++
}

// broken weighs a stream that ended before its call. A leader that was only
// silent stays the first to be asked: the call may just wait long.
func (relay *relay) broken(search *search, address string, acceptedHere, silent bool) error {
	relay.delivered = true
	if !acceptedHere {
		search.unreachable(address)
		return errNotTaken
	}
	if silent {
		relay.fruitless = 0
	} else {
		search.unreachable(address)
	}
	return errStreamBroken
}

// finished checks that the receiver holds every chunk.
func (relay *relay) finished(finished *schedulerv1.Finished) (*schedulerv1.Finished, error) {
	last := finished.GetLastSequence()
	switch {
	case last == relay.request.ResumeAfter:
		return finished, nil
	case last < relay.request.ResumeAfter && relay.taken == 0:
		return nil, resultcode.New(resultcode.BadRequest, "after is past the stream's last chunk, %d", last)
	default:
		return nil, errStreamGap
	}
}

// take passes a chunk on unless the receiver has it already.
func (relay *relay) take(chunk *schedulerv1.Chunk) error {
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
	relay.taken++
	relay.fruitless = 0
	return nil
}

// failed weighs a scheduler's error: whether to go on elsewhere, or what to
// tell the caller.
func (relay *relay) failed(search *search, address string, failure *schedulerv1.Error, acceptedHere bool) error {
	if search.moved(address, failure) {
		return errNotTaken
	}
	search.found(address)
	sentBefore := relay.mayHaveRun() && !acceptedHere
	switch {
	case sentBefore && relay.request.AttachOnly && isUnknown(failure):
		return relay.forgotten()
	case sentBefore && isUncommitted(failure):
		return relay.lost(failure.GetMessage())
	default:
		return fromScheduler(failure)
	}
}

// isUnknown reports whether the leader knows nothing of the call.
func isUnknown(failure *schedulerv1.Error) bool {
	code := resultcode.Code(failure.GetCode())
	return code == resultcode.UnknownRequest || code == resultcode.UnknownProgram
}

// isUncommitted reports whether the refusal speaks of this request alone: the
// scheduler commits its other refusals, so that they hold for every request of
// the same id, but these say nothing of one that was sent before.
func isUncommitted(failure *schedulerv1.Error) bool {
	switch resultcode.Code(failure.GetCode()) {
	case resultcode.BadKey, resultcode.UnknownProgram, resultcode.ConfigurationStale, resultcode.ArchiveBacklogFull:
		return true
	default:
		return false
	}
}

// mayHaveRun reports whether the call may have run for all that the gateway
// knows. A request to resume can't make a call run.
func (relay *relay) mayHaveRun() bool {
	return relay.accepted || (relay.delivered && !relay.resumed)
}

// forgotten handles a leader that does not know a call which was sent before.
func (relay *relay) forgotten() error {
	if !relay.request.Repeatable || !relay.receiver.canRestart() {
		return relay.lost("the call's place was lost")
	}
	relay.request.ResumeAfter = 0
	relay.taken = 0
	relay.request.AttachOnly = false
	relay.delivered = false
	return errNotTaken
}

// giveUp is the final answer when no leader was found.
func (relay *relay) giveUp(err error) error {
	var failure *resultcode.Error
	if !relay.mayHaveRun() || !errors.As(err, &failure) {
		return err
	}
	return relay.lost(failure.Message)
}

// lost answers a call that may have run: never as not run.
func (relay *relay) lost(cause string) error {
	failure := resultcode.New(resultcode.OutcomeUnknown,
		"%s; the call may have run; resume its stream, or send the same request id again to learn its outcome", cause)
	return failure.After(relay.client.config.RetryAfter)
}
