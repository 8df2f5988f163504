package egress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	nodev1 "github.com/magpielug/magpielug/api/node/v1"
	"github.com/magpielug/magpielug/internal/backend"
	"github.com/magpielug/magpielug/internal/feature"
	"github.com/magpielug/magpielug/internal/forward"
	"github.com/magpielug/magpielug/internal/logging"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// acceptTimeout is how long an egress node may take to say that a request has
	// arrived. A turn whose node did not say so in time is lost, also where that node or
	// this one is only slow: hence longer than the wait for other nodes' answers, and
	// shorter than the silence for which an engine is passed over.
	acceptTimeout = 500 * time.Millisecond
	// firstSuspicion is how long an egress node gets nothing after it did not answer:
	// about as long as machines freeze or are started anew. It doubles with each further
	// failure up to longestSuspicion, since a machine may be gone for good.
	firstSuspicion   = 3 * time.Second
	longestSuspicion = 24 * time.Second
	// mostDoublings is how many lead from the first to the longest one.
	mostDoublings = 3
	// mostTried is how many egress nodes are tried before a node sends itself.
	mostTried = 2
)

// errNotHandedOver says that no egress node got the request.
var errNotHandedOver = errors.New("the request was not handed over")

// Sender implements forward.Sender: it hands turns to egress nodes where that spares
// connections, and sends everything else itself. It is safe for concurrent use.
type Sender struct {
	direct   forward.Sender
	topology Topology
	client   *http.Client
	logger   *zap.Logger
	observe  Observe
	demand   *demand

	// mutex guards suspects.
	mutex    sync.Mutex
	suspects map[string]suspect
}

// suspect is an egress node that did not answer.
type suspect struct {
	until    time.Time
	failures int
}

// NewSender returns a sender that uses direct where it hands nothing over.
func NewSender(direct forward.Sender, topology Topology, client *http.Client, logger *zap.Logger, observe Observe) *Sender {
	return &Sender{direct: direct, topology: topology, client: client, logger: logger, observe: observe,
		demand: newDemand(), suspects: map[string]suspect{}}
}

// Observe is told how each hand-over ended, by one of the Handed names.
type Observe func(outcome string)

// Ends of a hand-over.
const (
	// DelegationSucceeded: the engine answered.
	DelegationSucceeded = "answered"
	// DelegationNotReached: the egress node did not get the request, or does not know the engine.
	DelegationNotReached = "not_reached"
	// DelegationNodeLost: the egress node may have got the request and did not answer.
	DelegationNodeLost = "node_lost"
	// DelegationFailed: the egress node got no answer of the engine, or the caller left.
	DelegationFailed = "failed"
)

func handedOutcome(err error) string {
	switch {
	case err == nil:
		return DelegationSucceeded
	case errors.Is(err, errNotHandedOver):
		return DelegationNotReached
	case errors.Is(err, backend.ErrNodeLost):
		return DelegationNodeLost
	}
	return DelegationFailed
}

// Send implements forward.Sender.
func (sender *Sender) Send(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
	for _, node := range sender.nodesFor(attempt) {
		attempt.Delegated.Store(true)
		reply, err := sender.handOver(ctx, node, attempt)
		sender.observe(handedOutcome(err))
		if !errors.Is(err, errNotHandedOver) {
			return reply, err
		}
		attempt.Delegated.Store(false)
		sender.logger.Info("request not handed over", zap.String("request", attempt.Call.ID),
			zap.String("engine", attempt.Engine.ID), zap.String("node", node.Name), logging.Cause(err))
	}
	return sender.direct.Send(ctx, attempt)
}

// nodesFor returns the egress nodes to try, none where this node sends itself.
func (sender *Sender) nodesFor(attempt *forward.Attempt) []Node {
	if !attempt.Streaming || !feature.Enabled(feature.Egress) {
		return nil
	}
	now := time.Now()
	turns := sender.demand.note(attempt.Engine.Service+"/"+attempt.Engine.Zone, now)
	if turns >= worthKeeping*float64(sender.topology.EngineCount(attempt.Engine)) {
		return nil
	}
	nodes, self := sender.topology.EgressNodes(attempt.Engine)
	if self {
		return nil
	}
	trusted := make([]Node, 0, mostTried)
	for _, node := range nodes {
		if len(trusted) < mostTried && !sender.suspected(node, now) {
			trusted = append(trusted, node)
		}
	}
	return trusted
}

func (sender *Sender) suspected(node Node, now time.Time) bool {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	return now.Before(sender.suspects[node.Name].until)
}

// noteFailure passes a node over for a while.
func (sender *Sender) noteFailure(node Node, now time.Time) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	failures := sender.suspects[node.Name].failures
	pause := min(firstSuspicion<<min(failures, mostDoublings), longestSuspicion)
	sender.suspects[node.Name] = suspect{until: now.Add(pause), failures: failures + 1}
}

// noteSuccess forgets a node's failures.
func (sender *Sender) noteSuccess(node Node) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	delete(sender.suspects, node.Name)
}

// handOver has an egress node send the request. Its error is errNotHandedOver where
// neither that node nor the engine can have got it.
func (sender *Sender) handOver(ctx context.Context, node Node, attempt *forward.Attempt) (*forward.EngineResponse, error) {
	content, err := encodeRequest(attempt)
	if err != nil {
		return nil, errors.Join(errNotHandedOver, err)
	}
	exchanging, giveUp := context.WithCancel(ctx)
	accepting := time.AfterFunc(acceptTimeout, giveUp)
	request, err := http.NewRequestWithContext(exchanging, http.MethodPost, "http://"+node.Address+ExchangePath, bytes.NewReader(content))
	if err != nil {
		giveUp()
		return nil, errors.Join(errNotHandedOver, err)
	}
	response, err := sender.client.Do(request)
	inTime := accepting.Stop()
	if err == nil && !inTime {
		_ = response.Body.Close()
	}
	if err != nil || !inTime {
		giveUp()
		return nil, sender.refused(ctx, node, err)
	}
	sender.noteSuccess(node)
	reply, err := answerOf(response, giveUp)
	if err != nil {
		_ = response.Body.Close()
		giveUp()
		return nil, err
	}
	reply.Via = node.Name
	return reply, nil
}

// refused tells what the failure of a hand-over leaves open.
func (sender *Sender) refused(ctx context.Context, node Node, cause error) error {
	if ctx.Err() != nil {
		return eris.Wrap(backend.ErrResponseLost, "the caller left")
	}
	sender.noteFailure(node, time.Now())
	var operation *net.OpError
	if errors.As(cause, &operation) && operation.Op == "dial" {
		return errors.Join(errNotHandedOver, cause)
	}
	return eris.Wrapf(backend.ErrNodeLost, "%s did not accept the request: %v", node.Name, cause)
}

// answerOf reads the head of an egress node's answer.
func answerOf(response *http.Response, done context.CancelFunc) (*forward.EngineResponse, error) {
	if response.StatusCode != http.StatusOK {
		return nil, eris.Wrapf(errNotHandedOver, "status %d", response.StatusCode)
	}
	head, err := readHead(response.Body)
	if err != nil {
		return nil, eris.Wrapf(backend.ErrNodeLost, "%v", err)
	}
	switch head.Outcome {
	case nodev1.EgressOutcome_EGRESS_OUTCOME_ANSWERED:
		return &forward.EngineResponse{
			Status:      int(head.Status),
			Header:      fromHeaders(head.Headers),
			NotRun:      head.NotRun,
			Misdirected: head.Misdirected,
			Body:        &replyBody{ReadCloser: response.Body, done: done},
		}, nil
	case nodev1.EgressOutcome_EGRESS_OUTCOME_NO_CONNECTION:
		return nil, eris.Wrap(backend.ErrTooManyConnections, head.Failure)
	case nodev1.EgressOutcome_EGRESS_OUTCOME_NOT_SENT:
		return nil, eris.Wrap(backend.ErrNotSent, head.Failure)
	case nodev1.EgressOutcome_EGRESS_OUTCOME_UNKNOWN_ENGINE:
		return nil, eris.Wrap(errNotHandedOver, "the node does not know the engine, or stops")
	}
	return nil, eris.Wrap(backend.ErrResponseLost, head.Failure)
}

// replyBody is an answer's body; closing it before its end ends the engine's work.
type replyBody struct {
	io.ReadCloser
	done context.CancelFunc
}

// Close implements io.Closer.
func (body *replyBody) Close() error {
	err := body.ReadCloser.Close()
	body.done()
	return err
}
