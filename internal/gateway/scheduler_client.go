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

// CallPath is where a scheduler takes a CallRequest and streams CallEvents.
const CallPath = "/internal/v1/call"

// Bounds of one event of a scheduler's stream.
const (
	streamBufferBytes = 16 << 10
	maxEventBytes     = 4 << 20
)

// schedulerClient speaks to the schedulers, finding each shard's leader.
type schedulerClient struct {
	config  Config
	router  Router
	client  *http.Client
	clock   Clock
	metrics *metrics
	budget  *retryBudget
	sender  *arrival.Sender
	// services holds one twirp client by scheduler address.
	services sync.Map
}

func newSchedulerClient(config Config, dependencies Dependencies, metrics *metrics) *schedulerClient {
	return &schedulerClient{
		config:  config,
		router:  dependencies.Router,
		client:  dependencies.Client,
		clock:   dependencies.Clock,
		metrics: metrics,
		budget:  newRetryBudget(config.RetryRatio, config.RetryBurst),
		sender:  arrival.NewSender(),
	}
}

func (client *schedulerClient) service(address string) schedulerv1.Programs {
	if known, ok := client.services.Load(address); ok {
		return known.(schedulerv1.Programs)
	}
	service := schedulerv1.NewProgramsProtobufClient("http://"+address, client.client)
	known, _ := client.services.LoadOrStore(address, service)
	return known.(schedulerv1.Programs)
}

// reply is the part that all answers of the Programs service share.
type reply interface{ GetError() *schedulerv1.Error }

// ask sends one request to the leader of the program's shard and returns its
// answer. All requests of the Programs service can be sent again: they read,
// or they name the state to reach. mutates tells which, for an honest answer
// when it is not known whether the request arrived.
func ask[Reply reply](ctx context.Context, client *schedulerClient, program string, mutates bool,
	send func(ctx context.Context, service schedulerv1.Programs) (Reply, error)) (Reply, error) {
	var none Reply
	client.budget.deposit()
	search := client.newSearch(program, client.config.RouteBound, false)
	mayHaveRun := false
	for {
		address, err := search.next(ctx)
		if err != nil {
			return none, unansweredRequest(err, mayHaveRun)
		}
		delivery := &delivery{}
		answer, err := sendOnce(delivery.watch(ctx), client, address, send)
		if err != nil {
			if ctx.Err() != nil {
				return none, errCallerGone
			}
			mayHaveRun = mayHaveRun || (mutates && !delivery.ruledOut(err))
			search.unreachable(address)
			continue
		}
		failure := answer.GetError()
		if search.moved(address, failure) {
			continue
		}
		search.found(address)
		if failure.GetCode() != 0 {
			refusal := fromScheduler(failure)
			return none, unansweredRequest(refusal, mayHaveRun && isUncommitted(failure))
		}
		return answer, nil
	}
}

func sendOnce[Reply reply](ctx context.Context, client *schedulerClient, address string,
	send func(ctx context.Context, service schedulerv1.Programs) (Reply, error)) (Reply, error) {
	bounded, cancel := context.WithTimeout(ctx, client.config.UnaryBound)
	defer cancel()
	return send(bounded, client.service(address))
}

// unansweredRequest is the final answer of a request that no leader took. err
// stands unless the request may have taken effect at a scheduler whose answer
// was lost.
func unansweredRequest(err error, mayHaveRun bool) error {
	var failure *resultcode.Error
	if !mayHaveRun || !errors.As(err, &failure) {
		return err
	}
	unknown := resultcode.New(resultcode.OutcomeUnknown,
		"the scheduler's answer was lost; the request may have taken effect, and the same request can be sent again")
	return unknown.After(failure.RetryAfter)
}

// moved reports whether the answer means that another scheduler, or the same
// one later, is to be asked; nothing ran there.
func (search *search) moved(address string, failure *schedulerv1.Error) bool {
	switch resultcode.Code(failure.GetCode()) {
	case resultcode.NotLeader:
		search.redirected(address, failure.GetLeaderAddress())
		return true
	case resultcode.NoLeader, resultcode.Stopping:
		search.redirected(address, "")
		return true
	default:
		return false
	}
}

// callStream is the open stream of one call from one scheduler.
type callStream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	cancel context.CancelFunc
	timer  *time.Timer
	idle   time.Duration
	// silent is true once the stream was ended for the scheduler's silence.
	silent atomic.Bool
}

// open sends a call to address. The stream ends by itself when the scheduler
// stays silent too long: FirstEventBound until its first event, IdleBound
// later on.
func (client *schedulerClient) open(ctx context.Context, address string, request *schedulerv1.CallRequest) (*callStream, error) {
	content, err := proto.Marshal(request)
	if err != nil {
		return nil, err
	}
	streamContext, cancel := context.WithCancel(ctx)
	stream := &callStream{cancel: cancel, idle: client.config.IdleBound}
	stream.timer = time.AfterFunc(client.config.FirstEventBound, stream.endSilent)
	response, err := client.post(streamContext, address, content)
	if err != nil {
		stream.timer.Stop()
		cancel()
		return nil, err
	}
	stream.body = response.Body
	stream.reader = bufio.NewReaderSize(response.Body, streamBufferBytes)
	return stream, nil
}

// post sends the request once. The transport sends it again only where it
// knows that nothing of it was written.
func (client *schedulerClient) post(ctx context.Context, address string, content []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+CallPath, bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/protobuf")
	client.sender.Stamp(request.Header, client.config.FirstEventBound)
	response, err := client.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		return nil, &statusError{status: response.StatusCode}
	}
	return response, nil
}

func (stream *callStream) endSilent() {
	stream.silent.Store(true)
	stream.cancel()
}

// receive reads the stream's next event.
func (stream *callStream) receive(event *schedulerv1.CallEvent) error {
	options := protodelim.UnmarshalOptions{MaxSize: maxEventBytes}
	if err := options.UnmarshalFrom(stream.reader, event); err != nil {
		return err
	}
	stream.timer.Reset(stream.idle)
	return nil
}

// close detaches from the call; the scheduler goes on with it.
func (stream *callStream) close() {
	stream.timer.Stop()
	stream.cancel()
	_ = stream.body.Close()
}
