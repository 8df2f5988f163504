package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	schedulerv1 "github.com/magpielug/magpielug/api/scheduler/v1"
	"github.com/magpielug/magpielug/internal/arrival"
	"github.com/magpielug/magpielug/internal/resultcode"
)

// CallPath is the HTTP path at which a scheduler accepts a CallRequest and
// streams CallEvents.
const CallPath = "/internal/v1/call"

// Limits for reading a scheduler's event stream.
const (
	streamBufferBytes = 16 << 10
	maxEventBytes     = 4 << 20
)

// schedulerClient sends requests to the leaders of shards.
type schedulerClient struct {
	config     Config
	router     Router
	httpClient *http.Client
	clock      Clock
	metrics    *metrics
	budget     *retryBudget
	sender     *arrival.Sender
	// programsClients caches a twirp client for each scheduler address.
	programsClients sync.Map
}

func newSchedulerClient(config Config, dependencies Dependencies, metrics *metrics) *schedulerClient {
	return &schedulerClient{
		config:     config,
		router:     dependencies.Router,
		httpClient: dependencies.Client,
		clock:      dependencies.Clock,
		metrics:    metrics,
		budget:     newRetryBudget(config.RetryRatio, config.RetryBurst),
		sender:     arrival.NewSender(),
	}
}

func (client *schedulerClient) programsClient(address string) schedulerv1.Programs {
	if known, ok := client.programsClients.Load(address); ok {
		return known.(schedulerv1.Programs)
	}
	service := schedulerv1.NewProgramsProtobufClient("http://"+address, client.httpClient)
	known, _ := client.programsClients.LoadOrStore(address, service)
	return known.(schedulerv1.Programs)
}

// unaryReply is implemented by all replies of the Programs service.
type unaryReply interface{ GetError() *schedulerv1.Error }

// sendUnary sends one request to the leader of the program's shard and returns
// its reply. Requests of the Programs service are idempotent, so it may send
// them again. mutates marks those that change state: if it is unknown whether
// one arrived, the error says so.
func sendUnary[Reply unaryReply](ctx context.Context, client *schedulerClient, program string, mutates bool,
	send func(ctx context.Context, service schedulerv1.Programs) (Reply, error)) (Reply, error) {
	var zero Reply
	client.budget.deposit()
	lookup := client.newLeaderLookup(program, client.config.RouteBound, false)
	mayHaveRun := false
	for {
		address, err := lookup.nextAddress(ctx)
		if err != nil {
			return zero, finalUnaryError(err, mayHaveRun)
		}
		tracker := &deliveryTracker{}
		reply, err := sendUnaryOnce(tracker.withTrace(ctx), client, address, send)
		if err != nil {
			if ctx.Err() != nil {
				return zero, errCallerDisconnected
			}
			mayHaveRun = mayHaveRun || (mutates && !tracker.notDelivered(err))
			lookup.recordUnreachable(address)
			continue
		}
		failure := reply.GetError()
		if lookup.handleNotLeader(address, failure) {
			continue
		}
		lookup.recordLeader(address)
		if failure.GetCode() != 0 {
			rejection := convertSchedulerError(failure)
			return zero, finalUnaryError(rejection, mayHaveRun && isUncommitted(failure))
		}
		return reply, nil
	}
}

func sendUnaryOnce[Reply unaryReply](ctx context.Context, client *schedulerClient, address string,
	send func(ctx context.Context, service schedulerv1.Programs) (Reply, error)) (Reply, error) {
	bounded, cancel := context.WithTimeout(ctx, client.config.UnaryBound)
	defer cancel()
	return send(bounded, client.programsClient(address))
}

// finalUnaryError returns the error of a request without a reply. It reports an
// unknown outcome if the request may have taken effect at a scheduler whose
// reply was lost, and err otherwise.
func finalUnaryError(err error, mayHaveRun bool) error {
	var failure *resultcode.Error
	if !mayHaveRun || !errors.As(err, &failure) {
		return err
	}
	unknown := resultcode.New(resultcode.OutcomeUnknown,
		"the scheduler's reply was lost; the request may have taken effect, and the same request can be retried")
	return unknown.WithRetryAfter(failure.RetryAfter)
}

// handleNotLeader reports whether the scheduler rejected the request without
// running it because it is not the shard's leader or is stopping. The lookup
// then continues.
func (lookup *leaderLookup) handleNotLeader(address string, failure *schedulerv1.Error) bool {
	switch resultcode.Code(failure.GetCode()) {
	case resultcode.NotLeader:
		lookup.recordNotLeader(address, failure.GetLeaderAddress())
		return true
	case resultcode.NoLeader, resultcode.Stopping:
		lookup.recordNotLeader(address, "")
		return true
	default:
		return false
	}
}

// callStream is the event stream of one call from one scheduler.
type callStream struct {
	body        io.ReadCloser
	reader      *bufio.Reader
	cancel      context.CancelFunc
	timer       *time.Timer
	idleTimeout time.Duration
	// timedOut is true once the stream was cancelled because no event arrived
	// in time.
	timedOut atomic.Bool
}

// openCall sends a call to address. The stream is cancelled if the first event
// takes longer than FirstEventBound or a later one longer than IdleBound.
func (client *schedulerClient) openCall(ctx context.Context, address string, request *schedulerv1.CallRequest) (*callStream, error) {
	content, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	streamContext, cancel := context.WithCancel(ctx)
	stream := &callStream{cancel: cancel, idleTimeout: client.config.IdleBound}
	stream.timer = time.AfterFunc(client.config.FirstEventBound, stream.onTimeout)
	response, err := client.postCall(streamContext, address, content)
	if err != nil {
		stream.timer.Stop()
		cancel()
		return nil, err
	}
	stream.body = response.Body
	stream.reader = bufio.NewReaderSize(response.Body, streamBufferBytes)
	return stream, nil
}

// postCall sends the request once. The HTTP transport retries it only if
// nothing of it was written.
func (client *schedulerClient) postCall(ctx context.Context, address string, content []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+CallPath, bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/protobuf")
	client.sender.Stamp(request.Header, client.config.FirstEventBound)
	response, err := client.httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, &statusError{status: response.StatusCode}
	}
	return response, nil
}

func (stream *callStream) onTimeout() {
	stream.timedOut.Store(true)
	stream.cancel()
}

// receive reads the next event.
func (stream *callStream) receive(event *schedulerv1.CallEvent) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxEventBytes}
	if err := options.UnmarshalFrom(stream.reader, event); err != nil {
		return err
	}
	stream.timer.Reset(stream.idleTimeout)
	return nil
}

// close detaches from the call, which continues at the scheduler.
func (stream *callStream) close() {
	stream.timer.Stop()
	stream.cancel()
	_ = stream.body.Close()
}
