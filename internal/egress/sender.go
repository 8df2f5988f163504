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
	"github.com/magpielug/magpielug/internal/responsehead"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// acceptTimeout is how long an egress node may take to confirm that a request has arrived. It
	// is longer than the timeouts of other calls between nodes, because a turn that is not
	// confirmed counts as lost, and shorter than the timeout after which an engine counts as
	// unresponsive.
	acceptTimeout = 500 * time.Millisecond
	// initialBackoff is how long an egress node is skipped after a failure: about the duration of a
	// host's freeze or restart. It doubles with each further failure up to maxBackoff, since the
	// host may be gone for good.
	initialBackoff = 3 * time.Second
	maxBackoff     = 24 * time.Second
	// maxDoublings is the number of doublings from initialBackoff to maxBackoff.
	maxDoublings = 3
	// maxNodesTried is the number of egress nodes to try before the node sends the turn itself.
	maxNodesTried = 2
)

// errNotDelegated means that no egress node received the request.
var errNotDelegated = errors.New("request was not delegated")

// Sender implements forward.Sender. It delegates turns to egress nodes if that saves
// connections, and sends everything else directly. It is safe for concurrent use.
type Sender struct {
	direct      forward.Sender
	topology    Topology
	client      *http.Client
	logger      *zap.Logger
	observe     OutcomeFunc
	turnCounter *turnCounter

	// mutex guards backoffs.
	mutex    sync.Mutex
	backoffs map[string]backoff
}

// backoff is the state of an egress node that failed.
type backoff struct {
	until    time.Time
	failures int
}

// NewSender returns a sender that uses direct for what it does not delegate.
func NewSender(direct forward.Sender, topology Topology, client *http.Client, logger *zap.Logger, observe OutcomeFunc) *Sender {
	return &Sender{direct: direct, topology: topology, client: client, logger: logger, observe: observe,
		turnCounter: newTurnCounter(), backoffs: map[string]backoff{}}
}

// OutcomeFunc is called with the outcome of each delegation, one of the Delegation constants.
type OutcomeFunc func(outcome string)

// Outcomes of a delegation.
const (
	// DelegationSucceeded: the engine responded.
	DelegationSucceeded = "answered"
	// DelegationNotReached: the egress node did not receive the request, or did not send it
	// because it does not know the engine or is shutting down.
	DelegationNotReached = "not_reached"
	// DelegationNodeLost: the egress node may have received the request and did not respond.
	DelegationNodeLost = "node_lost"
	// DelegationFailed: the egress node got no response from the engine, or the caller canceled.
	DelegationFailed = "failed"
)

func delegationOutcome(err error) string {
	switch {
	case err == nil:
		return DelegationSucceeded
	case errors.Is(err, errNotDelegated):
		return DelegationNotReached
	case errors.Is(err, backend.ErrNodeLost):
		return DelegationNodeLost
	}
	return DelegationFailed
}

// Send implements forward.Sender.
func (sender *Sender) Send(ctx context.Context, attempt *forward.Attempt) (*forward.EngineResponse, error) {
	for _, node := range sender.egressNodes(attempt) {
		attempt.Delegated.Store(true)
		response, err := sender.delegate(ctx, node, attempt)
		sender.observe(delegationOutcome(err))
		if !errors.Is(err, errNotDelegated) {
			return response, err
		}
		attempt.Delegated.Store(false)
		sender.logger.Info("delegation failed", zap.String("request", attempt.Call.ID),
			zap.String("engine", attempt.Engine.ID), zap.String("node", node.Name), logging.ErrorField(err))
	}
	return sender.direct.Send(ctx, attempt)
}

// egressNodes returns the egress nodes to try, none if this node is to send the turn itself.
func (sender *Sender) egressNodes(attempt *forward.Attempt) []Node {
	if !attempt.Streaming || !feature.Enabled(feature.Egress) {
		return nil
	}
	now := time.Now()
	turns := sender.turnCounter.record(attempt.Engine.Service+"/"+attempt.Engine.Zone, now)
	if turns >= minTurnsPerEngine*float64(sender.topology.EngineCount(attempt.Engine)) {
		return nil
	}
	nodes, self := sender.topology.EgressNodes(attempt.Engine)
	if self {
		return nil
	}
	candidates := make([]Node, 0, maxNodesTried)
	for _, node := range nodes {
		if len(candidates) < maxNodesTried && !sender.backingOff(node, now) {
			candidates = append(candidates, node)
		}
	}
	return candidates
}

// backingOff reports whether an egress node failed recently and is skipped.
func (sender *Sender) backingOff(node Node, now time.Time) bool {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	return now.Before(sender.backoffs[node.Name].until)
}

// recordFailure makes the sender skip an egress node for a while.
func (sender *Sender) recordFailure(node Node, now time.Time) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	failures := sender.backoffs[node.Name].failures
	duration := min(initialBackoff<<min(failures, maxDoublings), maxBackoff)
	sender.backoffs[node.Name] = backoff{until: now.Add(duration), failures: failures + 1}
}

// recordSuccess clears an egress node's failures.
func (sender *Sender) recordSuccess(node Node) {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	delete(sender.backoffs, node.Name)
}

// delegate sends the request to an egress node and returns the engine's response. The error is
// errNotDelegated only if the engine cannot have received the request.
func (sender *Sender) delegate(ctx context.Context, node Node, attempt *forward.Attempt) (*forward.EngineResponse, error) {
	content, err := encodeRequest(attempt)
	if err != nil {
		return nil, errors.Join(errNotDelegated, err)
	}
	exchange, cancel := context.WithCancel(ctx)
	acceptTimer := time.AfterFunc(acceptTimeout, cancel)
	request, err := http.NewRequestWithContext(exchange, http.MethodPost, "http://"+node.Address+ExchangePath, bytes.NewReader(content))
	if err != nil {
		cancel()
		return nil, errors.Join(errNotDelegated, err)
	}
	response, err := sender.client.Do(request)
	accepted := acceptTimer.Stop()
	if err == nil && !accepted {
		_ = response.Body.Close()
	}
	if err != nil || !accepted {
		cancel()
		return nil, sender.delegationError(ctx, node, err)
	}
	sender.recordSuccess(node)
	engineResponse, err := readResponse(response, cancel)
	if err != nil {
		_ = response.Body.Close()
		cancel()
		return nil, err
	}
	engineResponse.Via = node.Name
	return engineResponse, nil
}

// delegationError classifies a failed delegation by whether the egress node may have received the
// request, and makes the sender skip the node unless the caller canceled.
func (sender *Sender) delegationError(ctx context.Context, node Node, cause error) error {
	if ctx.Err() != nil {
		return eris.Wrap(backend.ErrResponseLost, "caller canceled the request")
	}
	sender.recordFailure(node, time.Now())
	var operation *net.OpError
	if errors.As(cause, &operation) && operation.Op == "dial" {
		return errors.Join(errNotDelegated, cause)
	}
	return eris.Wrapf(backend.ErrNodeLost, "egress node %s did not accept the request: %v", node.Name, cause)
}

// readResponse reads the head of an egress node's response. cancel is called when the body of the
// returned response is closed.
func readResponse(response *http.Response, cancel context.CancelFunc) (*forward.EngineResponse, error) {
	if response.StatusCode != http.StatusOK {
		return nil, eris.Wrapf(errNotDelegated, "egress node returned status %d", response.StatusCode)
	}
	head, err := readHead(response.Body)
	if err != nil {
		return nil, eris.Wrapf(backend.ErrNodeLost, "%v", err)
	}
	switch head.Outcome {
	case nodev1.EgressOutcome_EGRESS_OUTCOME_ANSWERED:
		// An earlier version of the egress node passes on any status and any field name.
		if !backend.IsStatus(int(head.Status)) {
			return nil, eris.Wrapf(backend.ErrResponseLost, "status %d is none", head.Status)
		}
		header := headersFromProto(head.Headers)
		err = responsehead.CheckNames(header)
		if err != nil {
			return nil, eris.Wrapf(backend.ErrResponseLost, "egress node: %v", err)
		}
		return &forward.EngineResponse{
			Status:      int(head.Status),
			Header:      header,
			NotRun:      head.NotRun,
			Misdirected: head.Misdirected,
			Body:        &responseBody{ReadCloser: response.Body, cancel: cancel},
		}, nil
	case nodev1.EgressOutcome_EGRESS_OUTCOME_NO_CONNECTION:
		return nil, eris.Wrap(backend.ErrTooManyConnections, head.Failure)
	case nodev1.EgressOutcome_EGRESS_OUTCOME_NOT_SENT:
		return nil, eris.Wrap(backend.ErrNotSent, head.Failure)
	case nodev1.EgressOutcome_EGRESS_OUTCOME_UNKNOWN_ENGINE:
		return nil, eris.Wrap(errNotDelegated, "egress node does not know the engine or is shutting down")
	}
	return nil, eris.Wrap(backend.ErrResponseLost, head.Failure)
}

// responseBody is the body of a delegated response. Closing it before its end cancels the
// exchange, and with it the engine's work.
type responseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (body *responseBody) Close() error {
	err := body.ReadCloser.Close()
	body.cancel()
	return err
}
